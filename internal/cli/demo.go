package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/measure"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

var demoCommand = command{
	name:  "demo",
	short: "Run a whole deployment in this process and send requests through it",
	long: "Starts entry VMs, engines and plain services on loopback ports, sends requests of every class " +
		"through all entry VMs, prints what became of them and stops everything. It takes about ten seconds. " +
		"Exit codes: 0 if every request was answered whole, 1 otherwise.",
	new: func(b base) flags.Commander { return &demo{base: b} },
}

// The load and the limits of the demo. demoRate is in requests per second.
const (
	demoTeam        = "quickstart"
	demoTimeout     = 40 * time.Second
	demoRate        = 12.0
	demoSeed        = 1
	demoMemoryWait  = 5 * time.Second
	demoMaxDuration = 10 * time.Second
)

// demoFailed means that a request of the demo got no complete answer or that a
// check failed.
var demoFailed = errorx.NewNamespace("demo").ApplyModifiers(errorx.TypeModifierOmitStackTrace).NewType("failed")

type demo struct {
	base

	Duration time.Duration `long:"duration" default:"6s" description:"how long to send requests, at most 10s"`
}

func demoLoad() *measure.Load {
	return &measure.Load{Classes: []measure.ClassLoad{
		{Team: demoTeam, Class: "summary", Weight: 2, PromptTokens: engine.Range{Min: 500, Max: 4000}},
		{Team: demoTeam, Class: "explanation", Weight: 2, PromptTokens: engine.Range{Min: 100, Max: 1000}},
		{Team: demoTeam, Class: "lookup", Weight: 5},
		{Team: demoTeam, Class: "booking", Weight: 3},
	}}
}

// Execute implements flags.Commander.
func (d *demo) Execute(rest []string) error {
	if err := noArguments(rest); err != nil {
		return err
	}
	if d.Duration <= 0 || d.Duration > demoMaxDuration {
		return &usageError{fmt.Sprintf("--duration must be above 0 and at most %s", demoMaxDuration)}
	}
	ctx, cancel := context.WithTimeout(d.ctx, demoTimeout)
	defer cancel()
	bundle, err := localsite.BundleOf("quickstart.json", examples.Quickstart)
	if err != nil {
		return err
	}
	d.printf("starting %d entry VMs and %d endpoints\n", len(bundle.Fleet.VMs), len(bundle.Fleet.Endpoints))
	site, err := localsite.Start(ctx, localsite.Options{Bundle: bundle})
	if err != nil {
		return err
	}
	point, err := d.measure(ctx, site)
	d.printf("stopping\n")
	if err := errors.Join(err, site.Close(context.WithoutCancel(ctx))); err != nil {
		return err
	}
	return d.report(&point)
}

// measure sends the load and shows its progress.
func (d *demo) measure(ctx context.Context, site *localsite.Site) (measure.Point, error) {
	d.printf("sending requests to %v for %s\n", site.CallerAddrs(), d.Duration)
	keys := map[string]string{demoTeam: examples.QuickstartKey}
	target := measure.SiteTarget(site, keys, engine.DefaultOptions().OutputTokens)
	return target.Measure(ctx, demoLoad(), &measure.Run{
		Policy:     measure.RouterPolicy,
		Rate:       demoRate,
		Duration:   d.Duration,
		Seed:       demoSeed,
		MemoryWait: demoMemoryWait,
		Progress:   newProgressPrinter(d.streams.Out).show,
	})
}

// report prints the results and returns an error if a request got no complete
// answer or a check failed.
func (d *demo) report(point *measure.Point) error {
	if err := measure.WriteClasses(d.streams.Out, point); err != nil {
		return err
	}
	if err := measure.WriteChecks(d.streams.Out, point); err != nil {
		return err
	}
	for i := range point.Classes {
		if c := &point.Classes[i]; c.Answered < c.Offered || c.Offered == 0 {
			return demoFailed.New("class %s: %d of %d requests were answered whole", c.Class, c.Answered, c.Offered)
		}
	}
	if broken := point.Broken(); len(broken) > 0 {
		return demoFailed.New("%d checks failed", len(broken))
	}
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.streams.Out, format, args...)
}
