package scheduling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observePrefills grants and finishes prefills on an engine, each stating a slowdown and taking as
// long as that states.
func observePrefills(t *testing.T, c *Coordinator, count int, stated, actual float64) time.Time {
	t.Helper()
	now := start
	usual := 100 * time.Millisecond
	for n := range count {
		o := c.Submit(now, testDemand(uint64(n)))
		assert.Assert(t, o.Grant != nil)
		elapsed := time.Duration(actual * float64(usual))
		now = now.Add(elapsed)
		c.Progress(now, Progress{ID: o.ID, Kind: PrefillDone, Prefill: "p1", Tokens: 1000, Elapsed: elapsed, Slowdown: stated})
		c.Progress(now, Progress{ID: o.ID, Kind: FirstTokenSeen, Decode: "d1"})
		c.Progress(now, Progress{ID: o.ID, Kind: Released})
	}
	return now
}

// Guards against a slowdown that is taken for the engine's own speed, that does not change the
// predictions, or that still does when it is old.
func TestPredictionsFollowTheStatedSlowdown(t *testing.T) {
	engines := []EngineState{smallPool()[0], smallPool()[2]}
	c := newPoolCoordinator(engines)
	now := observePrefills(t, c, 20, 3, 3)
	p := c.pool.byName["p1"]
	assert.Assert(t, p.prefillRatio.ratio() > 0.95 && p.prefillRatio.ratio() < 1.05, "own speed %f", p.prefillRatio.ratio())
	slow := c.predict.prefill(p, 1000)
	assert.Assert(t, slow > 290*time.Millisecond && slow < 310*time.Millisecond, "while slow: %s", slow)
	c.SetEngines(now.Add(time.Minute), engines)
	later := c.predict.prefill(p, 1000)
	assert.Assert(t, later < 110*time.Millisecond, "when the statement is old: %s", later)
}

// Guards against predictions of decode times that ignore the statement.
func TestTokenIntervalFollowsTheStatedSlowdown(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	o := c.Submit(start, testDemand(1))
	assert.Assert(t, o.Grant != nil)
	e := c.pool.byName[o.Grant.Decode]
	usual, limit := c.predict.tokenInterval(e, 2), c.predict.occupancyLimit(e, 25*time.Millisecond)
	c.Progress(start, Progress{ID: o.ID, Kind: PrefillDone, Tokens: 1000})
	c.Progress(start, Progress{ID: o.ID, Kind: FirstTokenSeen, Slowdown: 2})
	assert.Equal(t, c.predict.tokenInterval(e, 2), 2*usual)
	assert.Assert(t, c.predict.occupancyLimit(e, 25*time.Millisecond) < limit)
}

// Guards against a change of decisions in deployments without the fourth figure.
func TestUnstatedSlowdownIsLearnedAsOwnSpeed(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	observePrefills(t, c, 1, 0, 3)
	e := c.pool.byName["p1"]
	assert.Assert(t, e.prefillRatio.ratio() > 1.19 && e.prefillRatio.ratio() < 1.21)
	assert.Equal(t, e.pace(), 1.0)
}
