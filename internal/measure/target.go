package measure

import (
	"context"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// Target is a deployment to which a load is sent.
type Target struct {
	bundle    *configuration.Bundle
	addresses []string
	keys      map[string]string
	outputs   engine.Range
	// counts is nil if the counters of the stand-ins are not accessible.
	counts countSource
	// site is used to inject faults; nil for a running system.
	site *localsite.Site
}

// SiteTarget returns the target for a deployment in this process. The keys are
// the bearer keys by team, outputs is the range of the stand-ins' answer lengths
// in tokens.
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

// systemTarget returns the target for a running system.
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
	// MemoryWait limits the wait after the run for the engines to release their
	// KV cache memory.
	MemoryWait time.Duration
	// Progress is called with the counts of requests during the run; nil
	// disables it.
	Progress func(Progress)
}

// Progress holds the numbers of requests of a run that are planned and that have
// finished so far.
type Progress struct {
	Planned, Answered, Refused, Failed int
}

// startLead is the time between planning and the start of a run, so that planning
// is finished before the first request is due.
const startLead = 500 * time.Millisecond

// answerTimeout limits the time from sending a request to the end of its answer.
const answerTimeout = time.Minute

// Measure runs a load and returns the measured values. The error is UnknownClass
// or NoCounts, or that of ctx.
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

// send sends the requests of a run and injects its faults meanwhile. It also
// returns how much work each leaving endpoint received after its grace period.
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

// readCounts returns nil if the counters of the stand-ins are not accessible.
func (t *Target) readCounts(ctx context.Context) (*counts, error) {
	if t.counts == nil {
		return nil, nil
	}
	c, err := t.counts.read(ctx)
	return &c, err
}

// prefillSince returns the prefill tokens between two reads of the counters.
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

// awaitMemory waits until the engines hold no KV cache memory or the limit has
// passed and returns the counters read last.
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
