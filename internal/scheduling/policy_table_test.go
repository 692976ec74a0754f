package scheduling

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

var (
	wasteWeights   = configuration.Weights{Goodput: 1, WastedPrefill: 4}
	goodputWeights = configuration.Weights{Goodput: 4, WastedPrefill: 1}

	dossiers = workload{
		name: "dossiers", prefills: 15, decodes: 5, rate: 20_000, slowdown: 1,
		promptMin: 8000, promptMax: 30_000, output: 300, weights: wasteWeights,
		targets: configuration.Targets{
			FirstToken:    configuration.Duration(20 * time.Second),
			BetweenTokens: configuration.Duration(60 * time.Millisecond),
		},
	}
	shortPrompts = workload{
		name: "short", prefills: 13, decodes: 7, rate: 4000, slowdown: 1,
		promptMin: 200, promptMax: 2000, output: 150, weights: goodputWeights,
		targets: configuration.Targets{
			FirstToken:    configuration.Duration(1500 * time.Millisecond),
			BetweenTokens: configuration.Duration(50 * time.Millisecond),
		},
	}
)

// result summarizes one run.
type result struct {
	offered, good, goodRate float64
	wasted                  float64
	refused, late           int
	p50, p95                time.Duration
}

func (s *poolSim) result(warmUp, length time.Duration) result {
	var res result
	var waits []time.Duration
	wasted := 0
	for _, r := range s.requests {
		if s.good(r) && r.end >= warmUp && r.end < length {
			res.goodRate += 1 / (length - warmUp).Seconds()
		}
		if r.firstToken == 0 {
			wasted += r.spent
		} else {
			wasted += r.spent - r.demand.PromptTokens
		}
		if r.arrival < warmUp {
			continue
		}
		res.offered++
		if r.refused {
			res.refused++
			continue
		}
		if r.firstToken > 0 {
			waits = append(waits, r.firstToken-r.arrival)
		}
		if s.good(r) {
			res.good++
		} else {
			res.late++
		}
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		res.p50, res.p95 = waits[len(waits)/2], waits[len(waits)*95/100]
	}
	res.wasted = float64(wasted) / float64(max(1, s.computed))
	return res
}

// good reports whether a request met both targets.
func (s *poolSim) good(r *simRequest) bool {
	if r.firstToken == 0 || r.end == 0 {
		return false
	}
	between := (r.end - r.firstToken) / time.Duration(max(1, r.tokens-1))
	return r.firstToken-r.arrival <= r.demand.Targets.FirstToken.D() && between <= r.demand.Targets.BetweenTokens.D()
}

const (
	tableLength = 3 * time.Minute
	tableWarmUp = time.Minute
	tableSeed   = 11
)

// run is one run of the table; simulate fills in its result.
type run struct {
	policy string
	shape  workload
	load   float64
	result result
}

// simulate executes runs concurrently.
func simulate(runs []run) {
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range runs {
		r := &runs[i]
		group.Go(func() error {
			sim := runPool(r.policy, r.shape, r.load, tableLength, tableSeed)
			r.result = sim.result(tableWarmUp, tableLength)
			return nil
		})
	}
	_ = group.Wait()
}

func (r *run) String() string {
	res := r.result
	return fmt.Sprintf("%-8s %.1f %-12s offered %5.0f good %5.0f (%5.1f%%, %5.2f/s) wasted %6.3f%% refused %5d late %5d first token p50 %6.0f ms p95 %6.0f ms",
		r.shape.name, r.load, r.policy, res.offered, res.good, 100*res.good/res.offered, res.goodRate, 100*res.wasted,
		res.refused, res.late, res.p50.Seconds()*1000, res.p95.Seconds()*1000)
}

func TestPolicyTable(t *testing.T) {
	t.Parallel()
	for _, sh := range []workload{dossiers, shortPrompts} {
		t.Logf("%s: capacity %.1f requests/s", sh.name, sh.capacity())
		var runs []run
		for _, load := range []float64{0.5, 0.8, 1.0, 1.3, 2.0} {
			for _, name := range PolicyNames() {
				runs = append(runs, run{policy: name, shape: sh, load: load})
			}
		}
		simulate(runs)
		checkGoals(t, runs)
	}
}

func checkGoals(t *testing.T, runs []run) {
	t.Helper()
	var atCapacity, atTwiceCapacity result
	best := 0.0
	for i := range runs {
		r := &runs[i]
		t.Log(r)
		switch {
		case r.policy == PolicyReservation && r.load == 1.0:
			atCapacity = r.result
		case r.policy == PolicyReservation && r.load == 2.0:
			atTwiceCapacity = r.result
		case r.policy != PolicyReservation && r.load == 1.0:
			best = max(best, r.result.good)
		}
		assert.Check(t, r.policy != PolicyReservation || r.result.wasted < 0.01, r)
	}
	assert.Check(t, atCapacity.good >= 1.5*best || atCapacity.good >= 0.95*atCapacity.offered, "at capacity")
	assert.Check(t, atTwiceCapacity.goodRate >= 0.95*atCapacity.goodRate, "at twice the capacity")
}

func TestWeightsTradeGoodputForWaste(t *testing.T) {
	t.Parallel()
	var runs []run
	for _, sh := range []workload{dossiers, shortPrompts} {
		for _, load := range []float64{0.8, 1.0, 1.3, 2.0} {
			for _, weights := range []configuration.Weights{wasteWeights, goodputWeights} {
				sh.weights = weights
				runs = append(runs, run{policy: PolicyReservation, shape: sh, load: load})
			}
		}
	}
	simulate(runs)
	for i := 0; i < len(runs); i += 2 {
		careful, eager := &runs[i], &runs[i+1]
		t.Logf("%-8s %.1f waste-weighted %5.2f/s wasted %.3f%%, goodput-weighted %5.2f/s wasted %.3f%%", careful.shape.name, careful.load,
			careful.result.goodRate, 100*careful.result.wasted, eager.result.goodRate, 100*eager.result.wasted)
		assert.Check(t, careful.result.wasted == 0, careful)
		if careful.load >= 1 {
			assert.Check(t, eager.result.wasted > careful.result.wasted, eager)
			assert.Check(t, eager.result.goodRate > 1.01*careful.result.goodRate, eager)
		}
	}
}

func TestPredictionsAdaptToSlowEngines(t *testing.T) {
	t.Parallel()
	slow := dossiers
	slow.slowdown = 1.5
	sim := runPool(PolicyReservation, slow, 2.0, tableLength, tableSeed)
	assert.Equal(t, sim.result(tableWarmUp, tableLength).late, 0)
	for _, a := range sim.policies[0].(*Coordinator).pool.prefill {
		ratio := a.prefillRatio.ratio()
		assert.Check(t, ratio > 1.45 && ratio < 1.55, "%s: %.2f", a.Name, ratio)
	}
}
