package claim

import (
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Parameters of TestExecutionsPerKey.
const (
	countedKeys  = 10_000
	countedSpan  = 100 * time.Second
	repeatsOfKey = 3
	repeatWithin = 3 * time.Second
	countSeed    = 4
)

// TestExecutionsPerKey counts executions at the endpoint over many keyed calls
// with repeats to other VMs, while the log, the network and the VMs fail.
func TestExecutionsPerKey(t *testing.T) {
	t.Parallel()
	var r *run
	synctest.Test(t, func(t *testing.T) {
		r = newRun(t, countSeed, correctClaim)
		rng := rand.New(rand.NewSource(countSeed))
		var work sync.WaitGroup
		work.Go(func() { r.injectFaults(rand.New(rand.NewSource(countSeed+1)), countedSpan) })
		for key := range countedKeys {
			r.addKey(key)
			for n := range repeatsOfKey {
				a := randomCall(rng, key)
				a.at *= time.Duration(min(n, 1))
				work.Go(func() { r.do(a) })
			}
			time.Sleep(countedSpan / countedKeys)
		}
		work.Wait()
		time.Sleep(recoveryTime)
		r.cluster.stop()
	})
	assert.Equal(t, r.violation(), "")
	executed, refused, closed := r.totals()
	t.Logf("%d calls with %d keys: %d executed, %d refused every time, %d reported as not run", len(r.attempts)*repeatsOfKey, len(r.attempts), executed, refused, closed)
	assert.Equal(t, len(r.attempts), countedKeys)
	assert.Assert(t, executed > countedKeys/3)
	assert.Assert(t, refused > 0)
	assert.Assert(t, closed > 0)
}

func randomCall(rng *rand.Rand, key int) action {
	a := action{
		at:        time.Duration(rng.Int63n(int64(repeatWithin))),
		vm:        rng.Intn(scheduleVMs),
		key:       key,
		execution: Ran,
		delivered: rng.Intn(4) > 0,
	}
	switch rng.Intn(20) {
	case 0:
		a.execution = MayHaveRun
	case 1:
		a.execution = DidNotRun
	case 2:
		a.duration = time.Duration(rng.Int63n(int64(40 * time.Second)))
	default:
		a.duration = time.Duration(rng.Int63n(int64(200 * time.Millisecond)))
	}
	return a
}

// injectFaults injects one fault after another.
func (r *run) injectFaults(rng *rand.Rand, span time.Duration) {
	probability := func() float64 { return rng.Float64() / 8 }
	until := time.Now().Add(span)
	for time.Now().Before(until) {
		r.cluster.log.setFaults(faults{lostApplied: probability(), lostDelayed: probability(), lostUnapplied: probability(), throttled: probability(), duplicated: probability(), unreadable: probability()})
		r.do(action{
			at:       time.Duration(rng.Int63n(int64(time.Second))),
			kind:     actionKind(1 + rng.Intn(int(actionCount)-1)),
			vm:       rng.Intn(scheduleVMs),
			duration: time.Duration(rng.Int63n(int64(2 * time.Second))),
		})
	}
	r.cluster.log.setFaults(faults{})
}

// totals counts keys that were executed, refused at each attempt, and reported
// as not run.
func (r *run) totals() (executed, refused, closed int) {
	for key, attempts := range r.attempts {
		if r.executions[key] > 0 {
			executed++
		}
		if r.refusals[key] == attempts {
			refused++
		}
		if r.closed[key] {
			closed++
		}
	}
	return executed, refused, closed
}
