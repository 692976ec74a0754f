package scheduling

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// lateFirstTokenTarget is the first token target of the background demands
	// in these tests.
	lateFirstTokenTarget = 4 * time.Second
	// fullEngines and heldPerEngine define a pool whose memory is full.
	fullEngines   = 8
	heldPerEngine = 2
	// slotReleaseInterval is the interval at which decode slots of the pool
	// become free if each is held for a second.
	slotReleaseInterval = time.Second / (fullEngines * heldPerEngine)
)

// fullPool returns a coordinator whose memory is fully granted, and the
// attempts that hold it.
func fullPool(t *testing.T) (*Coordinator, []Held) {
	t.Helper()
	c := newMemoryCoordinator(fullEngines, Options{MemoryOverTime: true})
	c.slotTime.mean = time.Second
	var held []Held
	for n := range uint64(fullEngines * heldPerEngine) {
		o := c.Submit(start, sized(n, 3500, 1000))
		assert.Assert(t, o.Grant != nil)
		decode(c, start, o.ID)
		held = append(held, Held{ID: o.ID, Phase: PhaseDecode})
	}
	return c, held
}

// submitLate submits background demands, as for requests whose latency
// objective has passed, and returns how many of them wait.
func submitLate(c *Coordinator, count uint64) int {
	waiting := 0
	for n := range count {
		d := sized(100+n, 3500, 1000)
		d.Class, d.Priority = "late", BackgroundPriority
		d.Targets.FirstToken = configuration.Duration(lateFirstTokenTarget)
		if c.Submit(start, d).Waiting() {
			waiting++
		}
	}
	return waiting
}

// TestLateRequestsThatWaitInVainAreRefusedEarly covers sustained overload, in
// which all capacity that becomes free goes to demands of regular priority.
// Background demands must be refused early, except for the few that could be
// served at the end of a burst.
func TestLateRequestsThatWaitInVainAreRefusedEarly(t *testing.T) {
	c, held := fullPool(t)
	waiting := submitLate(c, 60)
	assert.Assert(t, waiting > 10 && waiting < 30, "%d wait", waiting)
	for passed := time.Duration(0); passed <= backgroundWarmUp+backgroundCheckPeriod; passed += retryInterval {
		now := start.Add(passed)
		c.Renew(now, "vm", 1, held)
		for _, o := range c.Tick(now) {
			assert.Equal(t, o.Refusal.Reason, RefusedTarget)
			waiting--
		}
	}
	most := int(backgroundMinShare * lateFirstTokenTarget.Seconds() / slotReleaseInterval.Seconds())
	assert.Assert(t, waiting > 0 && waiting <= most, "%d wait, want at most %d", waiting, most)
}

// TestLateRequestsThatAreServedInTurnKeepWaiting covers overload that leaves half
// of the released slots to background demands: those that can be served in time
// must stay queued.
func TestLateRequestsThatAreServedInTurnKeepWaiting(t *testing.T) {
	c, held := fullPool(t)
	waiting := submitLate(c, 60)
	for passed := retryInterval; passed < lateFirstTokenTarget; passed += retryInterval {
		now := start.Add(passed)
		if passed%(2*slotReleaseInterval) < retryInterval && waiting > 0 {
			c.Cancel(now, held[0].ID)
			held = held[1:]
		}
		c.Renew(now, "vm", 1, held)
		for _, o := range c.Tick(now) {
			assert.Assert(t, o.Grant != nil, "refused after %s", passed)
			decode(c, now, o.ID)
			held = append(held, Held{ID: o.ID, Phase: PhaseDecode})
			waiting--
		}
	}
	assert.Equal(t, waiting, 0)
}

func TestRateOfBackgroundGrants(t *testing.T) {
	const freed = 10.0
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for _, test := range []struct {
		name   string
		grants []float64
		now    float64
		want   float64
	}{
		{"too early to tell", nil, 0.2, backgroundInitialShare * freed},
		{"none is served", nil, 3, backgroundMinShare * freed},
		{"served for the last second", []float64{0.2, 0.4, 0.6}, 1, 3},
		{"only grants within the window count", []float64{0.5, 9, 9.2, 9.4, 9.6, 9.8, 9.9}, 10, 3},
	} {
		l := backgroundRate{waitingSince: start}
		for _, g := range test.grants {
			l.recordGrant(at(g))
		}
		assert.Assert(t, math.Abs(l.rate(at(test.now), freed)-test.want) < 1e-9, test.name)
	}
}
