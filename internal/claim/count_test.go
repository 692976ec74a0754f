package claim

import (
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Sizes of the count of executions.
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
		r = newRun(t, countSeed, soundClaim)
		dice := rand.New(rand.NewSource(countSeed))
		var work sync.WaitGroup
		work.Go(func() { r.disturb(rand.New(rand.NewSource(countSeed+1)), countedSpan) })
		for key := range countedKeys {
			r.addKey(key)
			for n := range repeatsOfKey {
				a := randomCall(dice, key)
				a.at *= time.Duration(min(n, 1))
				work.Go(func() { r.do(a) })
			}
			time.Sleep(countedSpan / countedKeys)
		}
		work.Wait()
		time.Sleep(healTime)
		r.cluster.stop()
	})
	assert.Equal(t, r.violation(), "")
	executed, refused, closed := r.totals()
	t.Logf("%d calls with %d keys: %d executed, %d refused every time, %d told as not run", len(r.attempts)*repeatsOfKey, len(r.attempts), executed, refused, closed)
	assert.Equal(t, len(r.attempts), countedKeys)
	assert.Assert(t, executed > countedKeys/3)
	assert.Assert(t, refused > 0)
	assert.Assert(t, closed > 0)
}

func randomCall(dice *rand.Rand, key int) action {
	a := action{
		at:        time.Duration(dice.Int63n(int64(repeatWithin))),
		vm:        dice.Intn(scheduleVMs),
		key:       key,
		execution: Ran,
		delivered: dice.Intn(4) > 0,
	}
	switch dice.Intn(20) {
	case 0:
		a.execution = MayHaveRun
	case 1:
		a.execution = DidNotRun
	case 2:
		a.last = time.Duration(dice.Int63n(int64(40 * time.Second)))
	default:
		a.last = time.Duration(dice.Int63n(int64(200 * time.Millisecond)))
	}
	return a
}

// disturb makes one fault after another.
func (r *run) disturb(dice *rand.Rand, span time.Duration) {
	part := func() float64 { return dice.Float64() / 8 }
	until := time.Now().Add(span)
	for time.Now().Before(until) {
		r.cluster.log.setFaults(faults{lostDone: part(), lostLate: part(), lostNever: part(), throttled: part(), twice: part(), unreadable: part()})
		r.do(action{
			at:   time.Duration(dice.Int63n(int64(time.Second))),
			act:  act(1 + dice.Intn(int(acts)-1)),
			vm:   dice.Intn(scheduleVMs),
			last: time.Duration(dice.Int63n(int64(2 * time.Second))),
		})
	}
	r.cluster.log.setFaults(faults{})
}

// totals counts keys that were executed, refused at each attempt, and told as
// not run.
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
