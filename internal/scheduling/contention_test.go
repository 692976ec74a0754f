package scheduling

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// strictDemand returns a demand of a team and urgency.
func strictDemand(n uint64, team string, urgency int) Demand {
	d := testDemand(n)
	d.Team, d.Class, d.QueueLimit = team, fmt.Sprint("urgency", urgency), 0
	d.Strict, d.Urgency, d.Priority, d.Order = true, urgency, urgency, configuration.OrderAny
	return d
}

// lateDemand returns a strict demand that has missed its objective.
func lateDemand(n uint64, team string, urgency int) Demand {
	d := strictDemand(n, team, urgency)
	d.Priority, d.Class = BackgroundPriority-1, d.Class+"/late"
	return d
}

// TestNoGrantPassesAMoreUrgentDemand covers random histories of teams, urgencies, sizes and
// late demands: a demand is granted only if none that is more urgent waits.
func TestNoGrantPassesAMoreUrgentDemand(t *testing.T) {
	passes := 0
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := newMemoryCoordinator(3, Options{MemoryOverTime: true, SelfPrefill: true})
		waiting := make(map[engine.AttemptID]Demand)
		var held []Held
		now := start
		settle := func(outcomes ...Outcome) {
			var granted []Demand
			for _, o := range outcomes {
				if o.Grant != nil {
					granted = append(granted, waiting[o.ID])
					held = append(held, Held{ID: o.ID})
				}
				if !o.Waiting() {
					delete(waiting, o.ID)
				}
			}
			for _, d := range granted {
				for _, other := range waiting {
					passes++
					assert.Assert(t, other.Urgency <= d.Urgency, "seed %d: %+v passed %+v", seed, d, other)
				}
			}
		}
		for n := range uint64(400) {
			now = now.Add(time.Duration(random.IntN(80)) * time.Millisecond)
			settle(c.Tick(now)...)
			d := strictDemand(n, fmt.Sprint("team", random.IntN(4)), -random.IntN(3))
			if random.IntN(4) == 0 {
				d = lateDemand(n, d.Team, d.Urgency)
			}
			d.PromptTokens, d.OutputTokens = 500+random.IntN(5000), 500
			waiting[d.ID] = d
			o := c.Submit(now, d)
			others := c.Tick(now)
			settle(append([]Outcome{o}, others...)...)
			for len(held) > 0 && random.IntN(3) > 0 {
				i := random.IntN(len(held))
				c.Progress(now, Progress{ID: held[i].ID, Kind: Released, Tokens: 100})
				held = slices.Delete(held, i, i+1)
				settle(c.Tick(now)...)
			}
			c.Renew(now, "vm", 1, held)
			settle(c.Tick(now)...)
		}
	}
	assert.Assert(t, passes > 1000, "only %d grants beside waiting demands", passes)
}

// TestLateUrgentDemandPrecedesRoutineOnes covers an urgent demand that has missed its
// objective. Background demands of deployments without teams come last.
func TestLateUrgentDemandPrecedesRoutineOnes(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	fill(t, c, start, 100, 6)
	assert.Assert(t, c.Submit(start, strictDemand(1, "a", -1)).Waiting())
	assert.Assert(t, c.Submit(at(time.Millisecond), lateDemand(2, "b", 0)).Waiting())
	c.Progress(at(time.Millisecond), Progress{ID: testDemand(100).ID, Kind: Released, Tokens: 100})
	assert.Equal(t, c.Tick(at(time.Millisecond))[0].ID.Request, uint64(2))
}

// TestWaitingRaisesNoRoutineDemand covers aging, which must not lift a demand above more
// urgent ones where teams have urgencies.
func TestWaitingRaisesNoRoutineDemand(t *testing.T) {
	states := smallPool()[:3]
	states[2].Slots = 1
	c := newPoolCoordinator(states)
	fill(t, c, start, 100, 1)
	assert.Assert(t, c.Submit(start, strictDemand(1, "a", -1)).Waiting())
	held := testDemand(100).ID
	for second := uint64(1); second <= 60; second++ {
		now := at(time.Duration(second) * time.Second / 2)
		c.Submit(now, strictDemand(200+second, "b", 0))
		c.Progress(now, Progress{ID: held, Kind: Released, Tokens: 100})
		granted := c.Tick(now)
		assert.Equal(t, granted[0].ID.Request, 200+second)
		held = granted[0].ID
		decode(c, now, held)
	}
}

// TestTeamsShareOneUrgency covers teams of which one sends far more than the others, and
// one without a limit, whose share is 1 beside shares of 100,000: none starves.
func TestTeamsShareOneUrgency(t *testing.T) {
	states := smallPool()[:3]
	states[2].Slots = 1
	c := newPoolCoordinator(states)
	fill(t, c, start, 100_000, 1)
	shares := map[string]float64{"loud": 100_000, "quiet": 100_000, "unlimited": 0}
	n := uint64(0)
	for team, share := range shares {
		count := 300
		if team == "loud" {
			count = 3000
		}
		for range count {
			n++
			d := strictDemand(n, team, 0)
			d.Share = share
			assert.Assert(t, c.Submit(start, d).Waiting())
		}
	}
	teamOf := func(id engine.AttemptID) string { return c.ledger.holdings[id].key.team }
	held := testDemand(100_000).ID
	got := make(map[string]int)
	for range 500 {
		c.Progress(start, Progress{ID: held, Kind: Released, Tokens: 100})
		granted := c.Tick(start)
		assert.Equal(t, len(granted), 1)
		held = granted[0].ID
		got[teamOf(held)]++
		decode(c, start, held)
	}
	assert.Assert(t, got["quiet"] >= 240 && got["loud"] >= 240 && got["unlimited"] >= 4, "%v", got)
}

// TestTeamAmongManyIsServedInTurn covers more class queues than a pass considers.
func TestTeamAmongManyIsServedInTurn(t *testing.T) {
	const teams = 10 * maxQueuesPerPass
	states := smallPool()[:3]
	states[2].Slots = 1
	c := newPoolCoordinator(states)
	fill(t, c, start, 100_000, 1)
	for n := range uint64(2 * teams) {
		assert.Assert(t, c.Submit(start, strictDemand(n, fmt.Sprint("team", n%teams), 0)).Waiting())
	}
	held := testDemand(100_000).ID
	served := make(map[uint64]bool)
	for range teams {
		c.Progress(start, Progress{ID: held, Kind: Released, Tokens: 100})
		held = c.Tick(start)[0].ID
		served[held.Request%teams] = true
		decode(c, start, held)
	}
	assert.Equal(t, len(served), teams)
}

// TestPassIsBounded covers a pool without room for the demands of many teams. A pass that
// tries all of them takes an entry VM of 0.144 cores seconds.
func TestPassIsBounded(t *testing.T) {
	c := newMemoryCoordinator(1, Options{MemoryOverTime: true})
	for n := range uint64(2) {
		decode(c, start, c.Submit(start, sized(1_000_000+n, 3500, 1000)).ID)
	}
	for n := range uint64(1100) {
		d := strictDemand(n, fmt.Sprint("team", n/10), 0)
		// Each is smaller than the one before, so that no earlier failure covers it.
		d.PromptTokens, d.OutputTokens = 8000-int(n), 1000
		assert.Assert(t, c.Submit(start, d).Waiting())
	}
	c.Tick(at(time.Millisecond))
	assert.Assert(t, len(c.misfits) > 0 && len(c.misfits) <= maxTriesPerPass, "%d tries", len(c.misfits))
}

// TestPeakOfAPassMatchesPeakOf covers the cache that a pass uses.
func TestPeakOfAPassMatchesPeakOf(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := newMemoryCoordinator(1, Options{MemoryOverTime: true})
	e := c.pool.byName["d0"]
	for range 200 {
		e.held = nil
		for range random.IntN(12) {
			e.held = append(e.held, &holding{decode: e, promptTokens: random.IntN(3000), outputTokens: 1 + random.IntN(500)})
		}
		more := growth{random.IntN(3000), 1 + random.IntN(500)}
		c.pass = 0
		want := c.peakOf(start, e, more)
		c.passes++
		c.pass = c.passes
		assert.Equal(t, c.peakWith(start, e, more), want)
	}
}

// refusedLate fills a pool and returns the refusal of a late demand of it.
func refusedLate(t *testing.T, c *Coordinator, n uint64, within time.Duration) *Refusal {
	t.Helper()
	d := lateDemand(n, "a", 0)
	d.PromptTokens, d.OutputTokens, d.RetryWithin = 3500, 1000, within
	d.Targets.FirstToken = configuration.Duration(5 * time.Second)
	c.slotTime.mean = 80 * time.Second
	o := c.Submit(start, d)
	assert.Assert(t, o.Refusal != nil, "%+v", o)
	return o.Refusal
}

// TestCallerIsToldATimeThatItHeeds covers a delay longer than a caller waits: it would come
// back earlier, and count as impatient.
func TestCallerIsToldATimeThatItHeeds(t *testing.T) {
	c, _ := fullPool(t)
	assert.Equal(t, refusedLate(t, c, 1000, time.Second).RetryAfter, time.Second)
	c, _ = fullPool(t)
	assert.Equal(t, refusedLate(t, c, 1000, time.Minute).RetryAfter, 10*time.Second, "the time of its turn: one of 16 slots, of which half go to late demands")
}

// TestOnlyCallersThatWaitedAsToldPrecedeOthers covers impatient callers, which would
// otherwise push back those that wait as asked.
func TestOnlyCallersThatWaitedAsToldPrecedeOthers(t *testing.T) {
	const told = 4 * time.Second
	for _, test := range []struct {
		name   string
		first  time.Duration
		comes  []time.Duration
		within time.Duration
		want   int
	}{
		{"as told", 0, []time.Duration{told}, 3 * time.Second, levelReturned},
		{"too early", 0, []time.Duration{told - time.Millisecond}, 3 * time.Second, levelLate},
		{"too early, then as told", 0, []time.Duration{time.Second, told}, 3 * time.Second, levelReturned},
		{"no record, too early for any", time.Second, []time.Duration{3 * time.Second}, 4 * time.Second, levelLate},
		{"no record, after the longest", time.Second, []time.Duration{6 * time.Second}, 3 * time.Second, levelReturned},
	} {
		c, _ := fullPool(t)
		assert.Equal(t, refusedLate(t, c, 1000, told).RetryAfter, told, test.name)
		level := 0
		for _, after := range test.comes {
			d := lateDemand(1001, "a", 0)
			d.PriorWait, d.RetryWithin = after-test.first, test.within
			level = c.newWaiter(at(after), d).level
		}
		assert.Equal(t, level, test.want, test.name)
	}
}

// TestUrgentDemandOfAnotherZonePrecedesRoutineOnes covers spill: the zone must neither
// refuse an urgent demand because routine ones wait, nor take a routine one beside an
// urgent one.
func TestUrgentDemandOfAnotherZonePrecedesRoutineOnes(t *testing.T) {
	urgent, routine := strictDemand(8, "a", 0), strictDemand(9, "a", -1)
	for _, test := range []struct {
		waiting, spilled Demand
		want             float64
	}{{routine, urgent, 1}, {urgent, routine, 0}, {routine, routine, 0}} {
		c := newPoolCoordinator(smallPool())
		fill(t, c, start, 100, 6)
		assert.Assert(t, c.Submit(start, test.waiting).Waiting())
		assert.Equal(t, c.Headroom(start, &test.spilled), test.want)
	}
}

// TestTeamIsNotDroppedForTheQueueOfAnother covers late demands of one team behind many of
// another: they are served in turn, so that they have hope.
func TestTeamIsNotDroppedForTheQueueOfAnother(t *testing.T) {
	c, held := fullPool(t)
	late := func(n uint64, team string) Demand {
		d := lateDemand(n, team, 0)
		d.PromptTokens, d.OutputTokens = 3500, 1000
		d.Targets.FirstToken = configuration.Duration(lateFirstTokenTarget)
		return d
	}
	for n := range uint64(60) {
		c.Submit(start, late(100+n, "loud"))
	}
	assert.Assert(t, c.Submit(start, late(200, "quiet")).Waiting())
	for passed := time.Duration(0); passed <= time.Second; passed += retryInterval {
		c.Renew(at(passed), "vm", 1, held)
		for _, o := range c.Tick(at(passed)) {
			assert.Assert(t, o.ID.Request != 200, "%+v", o)
		}
	}
}

// TestEngineThatDeclinesGetsFewerAnswers covers an engine that holds what the ledger does not
// hold, as after leases of a VM that was held up have lapsed: each grant on it is a prompt
// that is prefilled for no answer.
func TestEngineThatDeclinesGetsFewerAnswers(t *testing.T) {
	for _, strict := range []bool{false, true} {
		c := newMemoryCoordinator(1, Options{MemoryOverTime: true})
		d := strictDemand(1, "a", 0)
		d.Strict, d.PromptTokens, d.OutputTokens = strict, 4500, 500
		first := c.Submit(start, d)
		assert.Assert(t, first.Grant != nil)
		c.Progress(start, Progress{ID: d.ID, Kind: DecodeFailed, Decode: first.Grant.Decode})
		c.Cancel(start, d.ID)
		d.ID.Request = 2
		after := at(firstCooldown + time.Millisecond)
		assert.Equal(t, c.Submit(after, d).Waiting(), strict)
		assert.Equal(t, len(c.Tick(at(declineMemory+time.Millisecond))) == 1, strict)
	}
}
