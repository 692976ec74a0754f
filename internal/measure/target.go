package measure

import (
	"context"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// Target is a deployment that takes a load.
type Target struct {
	bundle    *configuration.Bundle
	addresses []string
	keys      map[string]string
	outputs   engine.Range
	// counts is nil if the stand-ins cannot be asked.
	counts countSource
	// site takes faults; nil for a running system.
	site *localsite.Site
}

// SiteTarget returns a deployment of this process as a target, with the teams'
// bearer keys and the range of the stand-ins' answer lengths.
func SiteTarget(site *localsite.Site, keys map[string]string, outputs engine.Range) *Target {
	return &Target{
		bundle:    &site.Bundle,
		addresses: site.CallerAddrs(),
		keys:      keys,
		outputs:   outputs,
		counts:    localCounts{site.Platform},
		site:      site,
	}
}

// systemTarget returns a running system as a target.
func systemTarget(system *System, bundle *configuration.Bundle, settings *Settings) *Target {
	t := &Target{
		bundle:    bundle,
		addresses: system.Addresses,
		keys:      settings.BearerKeys,
		outputs:   settings.OutputTokens,
	}
	if len(system.Engines)+len(system.Plain) > 0 {
		t.counts = remoteCounts{engines: system.Engines, plain: system.Plain}
	}
	return t
}

// Run is one run of a load against a target.
type Run struct {
	// Variant and Policy label the result.
	Variant, Policy string
	// Load is the offered rate relative to the capacity, Rate the same in
	// requests per second.
	Load, Rate float64
	// WarmUp precedes Duration; its requests are checked but not measured.
	WarmUp, Duration time.Duration
	Seed             uint64
	// Faults are injected during the run.
	Faults []Fault
	// MemoryWait bounds the wait for the engines' memory to be free.
	MemoryWait time.Duration
	// Progress is told the counts of requests while the run goes on; nil means
	// not at all.
	Progress func(Progress)
}

// Progress is the state of a run.
type Progress struct {
	Planned, Answered, Refused, Failed int
}

// startLead is the time for planning before the first request may be sent.
const startLead = 500 * time.Millisecond

// answerTimeout bounds the time from the sending of a request to its answer.
const answerTimeout = time.Minute

// Measure runs a load and returns what was seen. The error is UnknownClass or
// NoCounts, or that of ctx.
func (t *Target) Measure(ctx context.Context, load *Load, run *Run) (Point, error) {
	classes, err := offeredClasses(t.bundle, load)
	if err != nil {
		return Point{}, err
	}
	before, err := t.readCounts(ctx)
	if err != nil {
		return Point{}, err
	}
	records, workAfterGrace := t.send(ctx, load, classes, run)
	if err := ctx.Err(); err != nil {
		return Point{}, err
	}
	after, err := t.awaitMemory(ctx, run.MemoryWait)
	if err != nil {
		return Point{}, err
	}
	input := &evaluation{
		records:        records,
		outputs:        t.outputs,
		counts:         after,
		memoryWait:     run.MemoryWait,
		workAfterGrace: workAfterGrace,
	}
	point := Point{Variant: run.Variant, Policy: run.Policy, Load: run.Load, Rate: run.Rate, Fault: faultName(run.Faults)}
	point.Checks = input.check()
	point.Prefill = prefillSince(before, after)
	point.summarize(records, classes, run)
	return point, nil
}

// send sends the requests of a run while its faults are injected. It also
// returns the work that leaving endpoints got too late.
func (t *Target) send(ctx context.Context, load *Load, classes []offeredClass, run *Run) ([]record, map[string]int) {
	start := time.Now().Add(startLead)
	length := run.WarmUp + run.Duration
	requests := newPlanner(load, classes, len(t.addresses), run.Seed).plan(start, run.Rate, length)
	loadBalancer := newBalancer(t.addresses)
	faults := startFaults(ctx, t.site, loadBalancer, start, run.Faults)
	counter := newProgressCounter(len(requests), run.Progress)
	s := &sender{balancer: loadBalancer, keys: t.keys, answerTimeout: answerTimeout, progress: counter.add}
	records := s.run(ctx, start, requests)
	return records, faults.end()
}

// summarize fills in the summaries of the requests after the warm-up.
func (p *Point) summarize(records []record, classes []offeredClass, run *Run) {
	var measured []record
	for i := range records {
		if records[i].at >= run.WarmUp {
			measured = append(measured, records[i])
		}
	}
	p.Model = summarize(measured, run.Duration, func(r *record) bool { return r.class.ModelBacked() })
	p.Classes = summarizeClasses(measured, run.Duration, classes)
}

// readCounts returns nil if the stand-ins cannot be asked.
func (t *Target) readCounts(ctx context.Context) (*counts, error) {
	if t.counts == nil {
		return nil, nil
	}
	c, err := t.counts.read(ctx)
	return &c, err
}

// prefillSince returns the prefill between two readings of the counts.
func prefillSince(before, after *counts) Prefill {
	if before == nil || after == nil {
		return Prefill{}
	}
	p := Prefill{
		Computed: after.prefilled - before.prefilled,
		Cached:   after.cached - before.cached,
		Wasted:   after.wasted - before.wasted,
	}
	p.WastedShare = float64(p.Wasted) / float64(max(p.Computed, 1))
	return p
}

const memoryPollInterval = 50 * time.Millisecond

// awaitMemory waits until the engines hold no memory or the limit has passed
// and returns the counts then.
func (t *Target) awaitMemory(ctx context.Context, limit time.Duration) (*counts, error) {
	deadline := time.Now().Add(limit)
	for {
		c, err := t.readCounts(ctx)
		if err != nil || c == nil || c.piecesHeld == 0 || time.Now().After(deadline) {
			return c, err
		}
		if !sleepUntil(ctx, time.Now().Add(memoryPollInterval)) {
			return c, ctx.Err()
		}
	}
}
