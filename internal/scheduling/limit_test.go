package scheduling

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// limitPool returns a pool with limits of requests per second; 0 means none.
func limitPool(p1, p2, d1, d2 float64) []EngineState {
	states := smallPool()
	for i, limit := range []float64{p1, p2, d1, d2} {
		states[i].Limit, states[i].Slots = limit, states[i].Slots*100
		states[i].Pieces = 0
	}
	return states
}

// offer submits demands with a target each 10 ms, ends those that are granted at once, and
// returns the times at which engines were granted.
func offer(c *Coordinator, first uint64, from, to time.Duration) (granted map[string][]time.Duration, refused int) {
	granted = make(map[string][]time.Duration)
	take := func(now time.Duration, outcome Outcome) {
		switch {
		case outcome.Refusal != nil:
			refused++
		case outcome.Grant != nil:
			granted[outcome.Grant.Prefill] = append(granted[outcome.Grant.Prefill], now)
			if outcome.Grant.Decode != outcome.Grant.Prefill {
				granted[outcome.Grant.Decode] = append(granted[outcome.Grant.Decode], now)
			}
			decode(c, at(now), outcome.ID)
			c.Progress(at(now), Progress{ID: outcome.ID, Kind: Released, Tokens: 10})
		}
	}
	for now, n := from, first; now < to; now, n = now+10*time.Millisecond, n+1 {
		d := testDemand(n)
		d.Targets.FirstToken = configuration.Duration(800 * time.Millisecond)
		take(now, c.Submit(at(now), d))
		for _, outcome := range c.Tick(at(now)) {
			take(now, outcome)
		}
	}
	return granted, refused
}

// assertPaced checks that an engine got at most its rate in any 4 s and most of it overall.
func assertPaced(t *testing.T, name string, granted []time.Duration, rate float64, during time.Duration) {
	t.Helper()
	for i, first := range granted {
		n := 0
		for _, later := range granted[i:] {
			if later-first < 4*time.Second {
				n++
			}
		}
		assert.Assert(t, float64(n) <= rate*4.25+1, "%s got %d in 4 s from %v", name, n, first)
	}
	assert.Assert(t, float64(len(granted)) >= 0.8*rate*during.Seconds()-1, "%s got only %d", name, len(granted))
}

// An engine that takes a limited number of requests must get no more, prefills and decodes
// alike, while the others of its role serve the rest.
func TestGrantsKeepToTheLimitsOfEngines(t *testing.T) {
	for _, limits := range [][4]float64{{4, 0, 0, 0}, {0, 0, 4.3, 0}, {3, 5, 0, 0}, {0, 0, 3, 5}, {2, 2, 2, 2}, {0, 0, 0.5, 0.5}, {0, 0, 30, 0}} {
		t.Run(fmt.Sprint(limits), func(t *testing.T) {
			c := newPoolCoordinator(limitPool(limits[0], limits[1], limits[2], limits[3]))
			granted, refused := offer(c, 1, 0, 20*time.Second)
			for i, name := range []string{"p1", "p2", "d1", "d2"} {
				if limits[i] > 0 {
					least := limits[i]
					if i >= 2 && limits[3] == 0 || limits[0]+limits[1] > 0 && limits[2]+limits[3] > 0 {
						// Others of the pool may serve the demands, or be short of them.
						least = 0
					}
					assertPaced(t, name, granted[name], limits[i], time.Duration(least/limits[i]*float64(20*time.Second)))
				}
			}
			t.Log(len(granted["p1"]), len(granted["p2"]), len(granted["d1"]), len(granted["d2"]), refused)
		})
	}
}

// A demand that the limits of all engines keep from starting in time must be refused at once, and
// its caller told when it can be served.
func TestDemandBeyondTheLimitsOfAllEnginesIsRefusedAtOnce(t *testing.T) {
	c := newPoolCoordinator(limitPool(0, 0, 0.5, 0.5))
	refusals := 0
	for n := range uint64(100) {
		d := testDemand(n + 1)
		d.Targets.FirstToken = configuration.Duration(500 * time.Millisecond)
		now := at(time.Duration(n) * 10 * time.Millisecond)
		if outcome := c.Submit(now, d); outcome.Refusal != nil {
			refusals++
			assert.Equal(t, outcome.Refusal.Reason, RefusedTarget)
			assert.Assert(t, outcome.Refusal.RetryAfter > 0)
		}
		c.Tick(now)
	}
	assert.Assert(t, refusals >= 95, "%d of 100 refused at once", refusals)
}

// A limit that a holder reports holds from then on, changes with the next report and ends.
func TestReportedLimitsHoldUntilTheyEnd(t *testing.T) {
	c := newPoolCoordinator(limitPool(0, 0, 0, 0))
	holders := uint64(0)
	report := func(now time.Duration, limited bool, rate float64) {
		holders++
		outcome := c.Submit(at(now), testDemand(holders))
		for c.Tick(at(now)); outcome.Waiting(); outcome = c.Submit(at(now), testDemand(holders)) {
			now += 10 * time.Millisecond
			c.Tick(at(now))
		}
		for _, engine := range []string{"d1", "d2"} {
			c.Progress(at(now), Progress{ID: outcome.ID, Kind: EngineLimit, Prefill: engine, Limited: limited, Limit: rate})
		}
	}
	report(0, true, 4)
	granted, _ := offer(c, 100, 0, 10*time.Second)
	assertPaced(t, "d1", granted["d1"], 4, 10*time.Second)
	assertPaced(t, "d2", granted["d2"], 4, 10*time.Second)
	report(10*time.Second, true, 1)
	granted, _ = offer(c, 2000, 11*time.Second, 21*time.Second)
	assertPaced(t, "d1", granted["d1"], 1, 10*time.Second)
	report(21*time.Second, false, 0)
	granted, refused := offer(c, 4000, 23*time.Second, 28*time.Second)
	assert.Assert(t, len(granted["d1"])+len(granted["d2"]) > 100, "%d and %d", len(granted["d1"]), len(granted["d2"]))
	assert.Equal(t, refused, 0)
}

// A grant must tell its holder that an engine is limited, and keep to it when it is repeated.
func TestGrantsOfLimitedEnginesAreMarked(t *testing.T) {
	c := newPoolCoordinator(limitPool(0, 0, 4, 4))
	outcome := c.Submit(at(time.Second), testDemand(1))
	assert.Assert(t, outcome.Grant.Limited)
	assert.Assert(t, c.Submit(at(time.Second), testDemand(1)).Grant.Limited)
	c.SetEngines(at(time.Second), limitPool(0, 0, 0, 0))
	assert.Assert(t, !c.Submit(at(time.Second), testDemand(2)).Grant.Limited)
}
