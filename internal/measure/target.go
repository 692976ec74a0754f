package measure

import (
	"context"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/standin"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

// Target is a deployment on loopback that takes a load.
type Target struct {
	Site *localsite.Site
	// Keys are the teams' bearer keys.
	Keys map[string]string
	// Outputs is the range of the stand-ins' answer lengths.
	Outputs engine.Range
}

// Run is one run of a load against a target.
type Run struct {
	Policy string
	// Load is the offered rate relative to the capacity, Rate the same in
	// requests per second.
	Load, Rate float64
	Duration   time.Duration
	Seed       uint64
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

// answerGrace bounds the time from the sending of a request to its answer.
const answerGrace = time.Minute

// Measure runs a load and returns what was seen. The error is UnknownClass.
func (t *Target) Measure(ctx context.Context, load *Load, run *Run) (Point, error) {
	classes, err := offeredClasses(&t.Site.Bundle, load)
	if err != nil {
		return Point{}, err
	}
	addresses := t.Site.CallerAddrs()
	start := time.Now()
	requests := newPlanner(load, classes, len(addresses), run.Seed).plan(start, run.Rate, run.Duration)
	before := t.Site.Platform.Totals()
	faults := startFaults(ctx, t.Site, start, run.Faults)
	counter := newProgressCounter(len(requests), run.Progress)
	s := &sender{addresses: addresses, keys: t.Keys, grace: answerGrace, progress: counter.add}
	records := s.run(ctx, start, requests)
	lateWork := faults.end()
	held := awaitMemory(ctx, t.Site.Platform, run.MemoryWait)
	proof := &evidence{
		records:    records,
		executions: executionsOf(t.Site.Platform),
		outputs:    t.Outputs,
		piecesHeld: held,
		memoryWait: run.MemoryWait,
		lateWork:   lateWork,
	}
	return Point{
		Policy:  run.Policy,
		Load:    run.Load,
		Rate:    run.Rate,
		Fault:   faultName(run.Faults),
		Model:   summarize(records, run.Duration, func(r *record) bool { return r.class.ModelBacked() }),
		Classes: summarizeClasses(records, run.Duration, classes),
		Prefill: prefillSince(before, t.Site.Platform.Totals()),
		Checks:  proof.check(),
	}, nil
}

// prefillSince returns the prefill between two readings of the counts.
func prefillSince(before, after standin.Totals) Prefill {
	p := Prefill{
		Computed: after.TokensPrefilled - before.TokensPrefilled,
		Cached:   after.TokensCached - before.TokensCached,
		Wasted:   after.PrefillTokensWasted - before.PrefillTokensWasted,
	}
	p.WastedShare = float64(p.Wasted) / float64(max(p.Computed, 1))
	return p
}

const memoryPoll = 20 * time.Millisecond

// awaitMemory waits until the engines hold no memory and returns the pieces
// that they still hold at the end of the wait.
func awaitMemory(ctx context.Context, p *standin.Platform, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		held := p.Totals().PiecesHeld
		if held == 0 || !sleepUntil(ctx, time.Now().Add(memoryPoll)) {
			return held
		}
	}
}
