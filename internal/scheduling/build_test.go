package scheduling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// buildPool has one decode engine of build v1 and two of build v2.
func buildPool() []EngineState {
	states := smallPool()
	states = append(states, states[3])
	states[4].Name = "d3"
	states[2].Build, states[3].Build, states[4].Build = "v1", "v2", "v2"
	return states
}

// pinned returns a demand that continues an answer of a build.
func pinned(n uint64, build string) Demand {
	d := testDemand(n)
	d.Build, d.Resumed = build, true
	return d
}

// grantOf returns the grant of a demand among the outcomes of a tick.
func grantOf(t *testing.T, outcomes []Outcome, d Demand) Grant {
	t.Helper()
	for _, o := range outcomes {
		if o.ID == d.ID {
			assert.Assert(t, o.Grant != nil, "%+v", o.Refusal)
			return *o.Grant
		}
	}
	t.Fatalf("%v is neither granted nor refused: %+v", d.ID, outcomes)
	return Grant{}
}

// Events of two builds do not fit together in one answer.
func TestDemandForABuildDecodesOnItsEnginesOnly(t *testing.T) {
	for name, options := range map[string]Options{"prefill engines": {}, "decode engines that prefill": {SelfPrefill: true}} {
		for _, build := range []string{"v1", "v2"} {
			c := NewCoordinator(Settings{Model: smallModel(), Options: options})
			states := buildPool()
			if options.SelfPrefill {
				states = states[2:]
			}
			c.SetEngines(start, states)
			for n := range uint64(12) {
				o := c.Submit(start, pinned(n, build))
				if o.Grant == nil {
					assert.Assert(t, o.Waiting(), "%s: %+v", name, o.Refusal)
					continue
				}
				assert.Equal(t, c.pool.byName[o.Grant.Decode].Build, build, name)
				decode(c, start, o.ID)
			}
			slots := map[string]uint64{"v1": 3, "v2": 6}[build]
			assert.Equal(t, c.Counters().Granted, slots, "%s: engines of %s are not used up", name, build)
			assert.Assert(t, c.Submit(start, testDemand(100)).Grant != nil, "%s: engines of the other build are taken", name)
		}
	}
}

func TestRefusalsOfDemandsForABuild(t *testing.T) {
	set := func(change func(s *EngineState)) func(*Coordinator) {
		return func(c *Coordinator) {
			states := buildPool()
			change(&states[2])
			c.SetEngines(start, states)
		}
	}
	fails := func(c *Coordinator) {
		c.engineFailed(start, "d1")
		c.tidy(start)
	}
	ejected := set(func(s *EngineState) { s.Ejected = true })
	cases := []struct {
		name   string
		pool   func(*Coordinator)
		change func(d *Demand)
		want   RefusalReason
	}{
		{"no such build", nil, func(d *Demand) { d.Build = "v9" }, RefusedNoEngine},
		{"engine is leaving", set(func(s *EngineState) { s.Leaving = true }), nil, RefusedNoEngine},
		{"engine reports that it leaves", func(c *Coordinator) {
			c.ObserveLoad(start, "d1", engine.LoadReport{Leaving: true})
		}, nil, RefusedNoEngine},
		{"holder knows that the engine leaves", func(c *Coordinator) {
			c.markLeaving(start, "d1")
			c.tidy(start)
		}, nil, RefusedNoEngine},
		{"engine prefills", set(func(s *EngineState) { s.Role = configuration.RolePrefill }), nil, RefusedNoEngine},
		{"engine excluded", nil, func(d *Demand) { d.Exclude = []string{"d1"} }, RefusedNoEngine},
		{"fits engines of another build only", set(func(s *EngineState) { s.Pieces = 1 }), nil, RefusedTooLarge},
		{"engine too slow", func(c *Coordinator) { c.pool.byName["d1"].decodeRatio.value = 3 }, func(d *Demand) {
			d.Targets.BetweenTokens = configuration.Duration(30 * time.Millisecond)
		}, RefusedTarget},
		{"cooldown, new", fails, func(d *Demand) { d.Resumed = false }, RefusedNoEngine},
		{"cooldown, resumed", fails, nil, ""},
		{"ejected, new", ejected, func(d *Demand) { d.Resumed = false }, RefusedNoEngine},
		{"ejected, resumed", ejected, func(d *Demand) { d.Targets.WholeAnswer = configuration.Duration(time.Minute) }, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newPoolCoordinator(buildPool())
			if tc.pool != nil {
				tc.pool(c)
			}
			d := pinned(1, "v1")
			if tc.change != nil {
				tc.change(&d)
			}
			o := c.Submit(start, d)
			if tc.want == "" {
				assert.Assert(t, o.Waiting(), "%+v", o)
				c.SetEngines(at(firstCooldown), buildPool())
				assert.Equal(t, grantOf(t, c.Tick(at(firstCooldown)), d).Decode, "d1")
				return
			}
			assert.Assert(t, o.Refusal != nil, "%+v", o)
			assert.Equal(t, o.Refusal.Reason, tc.want)
			assert.Assert(t, c.Submit(start, testDemand(2)).Grant != nil, "the other build serves")
		})
	}
}

// A decode engine that prefills the prompts itself may be the only engine of its
// build and in a cooldown.
func TestResumedDemandWaitsForTheOnlyEngineThatCouldAlsoPrefill(t *testing.T) {
	c := NewCoordinator(Settings{Model: smallModel(), Options: Options{SelfPrefill: true}})
	states := buildPool()[2:]
	states[0].Ejected = true
	c.SetEngines(start, states)
	d := pinned(1, "v1")
	d.Targets.WholeAnswer = configuration.Duration(time.Minute)
	assert.Assert(t, c.Submit(start, d).Waiting())
	states[0].Ejected = false
	c.SetEngines(at(time.Second), states)
	assert.Equal(t, grantOf(t, c.Tick(at(time.Second)), d).Decode, "d1")
}

func TestWaitingDemandIsRefusedWhenItsBuildHasLeft(t *testing.T) {
	c := newPoolCoordinator(buildPool())
	states := buildPool()
	states[2].Ejected = true
	c.SetEngines(start, states)
	waiting, other := pinned(1, "v1"), pinned(2, "v2")
	assert.Assert(t, c.Submit(start, waiting).Waiting())
	assert.Assert(t, c.Submit(start, other).Grant != nil)
	assert.Equal(t, len(c.Tick(start)), 0)
	states[2].Leaving = true
	c.SetEngines(at(time.Second), states)
	outcomes := c.Tick(at(time.Second))
	assert.Equal(t, len(outcomes), 1)
	assert.Equal(t, outcomes[0].ID, waiting.ID)
	assert.Equal(t, outcomes[0].Refusal.Reason, RefusedNoEngine)
	assert.Equal(t, c.Waiting(), 0)
}

// blockedBuild returns a pool whose engine of build v1 is full, with a demand of that
// build that has been bypassed for longer than bypassLimit at the returned time.
func blockedBuild(t *testing.T) (*Coordinator, time.Time) {
	t.Helper()
	c := newPoolCoordinator(buildPool())
	for n := uint64(100); n < 103; n++ {
		o := c.Submit(start, pinned(n, "v1"))
		assert.Assert(t, o.Grant != nil)
		decode(c, start, o.ID)
	}
	assert.Assert(t, c.Submit(start, pinned(1, "v1")).Waiting())
	now := at(bypassLimit + time.Millisecond)
	c.Renew(now, "vm", 1, heldOf(c))
	c.Tick(now)
	return c, now
}

// heldOf lists what the ledger holds, as its holder would.
func heldOf(c *Coordinator) []Held {
	var all []Held
	for _, h := range c.ledger.sorted() {
		all = append(all, Held{ID: h.id, Phase: h.phase})
	}
	return all
}

// The engines of one build may be full or away for seconds.
func TestDemandThatWaitsForItsBuildHoldsNobodyBack(t *testing.T) {
	c, now := blockedBuild(t)
	otherClass, background := testDemand(3), testDemand(5)
	otherClass.Class = "other"
	background.Class, background.Priority = "late", BackgroundPriority
	resumed := testDemand(4)
	resumed.Resumed = true
	for _, d := range []Demand{testDemand(2), otherClass, resumed, pinned(6, "v2"), background} {
		o := c.Submit(now, d)
		assert.Assert(t, o.Grant != nil, "demand %d waits", d.ID.Request)
		assert.Assert(t, o.Grant.Decode != "d1")
		decode(c, now, d.ID)
	}
}

// Smaller demands that any engine serves would take each slot of the build that
// becomes free.
func TestEnginesOfABuildAreHeldForADemandThatWaitsForThem(t *testing.T) {
	for _, order := range []configuration.Order{configuration.OrderFirstCome, configuration.OrderAny} {
		t.Run(string(order), func(t *testing.T) { testEnginesAreHeld(t, order) })
	}
}

func testEnginesAreHeld(t *testing.T, order configuration.Order) {
	t.Helper()
	c := newPoolCoordinator(buildPool())
	fillBuild := func(first uint64, build string, count uint64) {
		for n := first; n < first+count; n++ {
			o := c.Submit(start, pinned(n, build))
			assert.Assert(t, o.Grant != nil)
			decode(c, start, o.ID)
		}
	}
	fillBuild(100, "v1", 2)
	fillBuild(200, "v2", 6)
	large := pinned(1, "v1")
	large.PromptTokens, large.Order = 19_000, order
	assert.Assert(t, c.Submit(start, large).Waiting())
	background := testDemand(2)
	background.Class, background.Priority = "late", BackgroundPriority
	assert.Assert(t, c.Submit(start, background).Waiting(), "a background demand bypassed another one")
	o := c.Submit(start, testDemand(3))
	assert.Assert(t, o.Grant != nil, "a free slot was left idle before the limit")
	decode(c, start, o.ID)

	now := at(bypassLimit + time.Millisecond)
	c.Renew(now, "vm", 1, heldOf(c))
	assert.Assert(t, c.Submit(now, testDemand(4)).Waiting())
	small := pinned(5, "v1")
	small.Order = order
	assert.Assert(t, c.Submit(now, small).Waiting())
	for _, n := range []uint64{100, 101, 3} {
		assert.Equal(t, len(c.Tick(now)), 0, "a later demand took an engine that is held")
		c.Progress(now, Progress{ID: testDemand(n).ID, Kind: Released, Tokens: 100})
	}
	assert.Equal(t, grantOf(t, c.Tick(now), large).Decode, "d1")
}

// A demand that excludes an engine of its build cannot use it.
func TestEngineThatADemandExcludesIsNotHeldForIt(t *testing.T) {
	c := newPoolCoordinator(buildPool())
	for n := uint64(100); n < 106; n++ {
		o := c.Submit(start, pinned(n, "v2"))
		assert.Assert(t, o.Grant != nil)
		decode(c, start, o.ID)
	}
	for n := uint64(200); n < 203; n++ {
		o := c.Submit(start, pinned(n, "v1"))
		decode(c, start, o.ID)
	}
	waiting := pinned(1, "v2")
	waiting.Exclude = []string{"d3"}
	assert.Assert(t, c.Submit(start, waiting).Waiting())
	now := at(bypassLimit + time.Millisecond)
	c.Renew(now, "vm", 1, heldOf(c))
	c.Tick(now)
	for _, h := range c.pool.byName["d3"].held[:1] {
		c.Progress(now, Progress{ID: h.id, Kind: Released, Tokens: 100})
	}
	o := c.Submit(now, testDemand(2))
	assert.Assert(t, o.Grant != nil)
	assert.Equal(t, o.Grant.Decode, "d3")
}

// Callers take up many streams at once after a VM has failed. What waits for the
// engines of one build takes nothing that a new request needs.
func TestWaitingDemandsForABuildDoNotDistortPredictions(t *testing.T) {
	c, now := blockedBuild(t)
	c.slotTime.mean = time.Second
	another := pinned(3, "v1")
	another.Resumed, another.Targets.FirstToken = false, configuration.Duration(500*time.Millisecond)
	o := c.Submit(now, another)
	assert.Assert(t, o.Refusal != nil && o.Refusal.Reason == RefusedTarget, "slots of another build count for it: %+v", o)
	for n := uint64(10); n < 60; n++ {
		assert.Assert(t, c.Submit(now, pinned(n, "v1")).Waiting())
	}
	assert.Assert(t, !c.prefillCongested(now), "prefill engines are idle")
	assert.Assert(t, c.Headroom(now, &Demand{Priority: 0}) > 0.5, "two of three engines are empty")
	assert.Equal(t, c.Headroom(now, &Demand{Priority: BackgroundPriority}), c.Headroom(now, &Demand{Priority: 0}))
	target := testDemand(2)
	target.QueueLimit = 0
	target.Targets.FirstToken = configuration.Duration(500 * time.Millisecond)
	o = c.Submit(now, target)
	assert.Assert(t, o.Grant != nil, "%+v", o.Refusal)
	decode(c, now, o.ID)

	for n := uint64(70); n < 75; n++ {
		o := c.Submit(now, pinned(n, "v2"))
		assert.Assert(t, o.Grant != nil)
		decode(c, now, o.ID)
	}
	late := testDemand(4)
	late.QueueLimit, late.Priority, late.Class = 0, BackgroundPriority, "late"
	late.Targets.FirstToken = configuration.Duration(5 * time.Second)
	assert.Assert(t, c.Submit(now, late).Waiting())
	now = now.Add(backgroundCheckPeriod)
	assert.Equal(t, len(c.Tick(now)), 0, "a background demand was dropped")
	c.Withdraw(now, late.ID)

	// Of the nine held slots, the three of v1 go to the demands that wait for it.
	for mean, want := range map[time.Duration]bool{time.Second: true, 2 * time.Second: false} {
		c.slotTime.mean = mean
		target.ID.Request, target.Targets.FirstToken = 80, configuration.Duration(600*time.Millisecond)
		assert.Equal(t, c.Submit(now, target).Waiting(), want, "slots are held for %s", mean)
		c.Withdraw(now, target.ID)
	}
}

// Small prompts would take the memory of the prefill engines time and again.
func TestDemandForABuildIsNotStarvedOfPrefillMemory(t *testing.T) {
	states := buildPool()
	states[1].Leaving = true
	c := newPoolCoordinator(states)
	first := pinned(1, "v2")
	first.PromptTokens = 6000
	assert.Assert(t, c.Submit(start, first).Grant != nil)
	c.Progress(start, Progress{ID: first.ID, Kind: PrefillDone, Tokens: 6000})
	large := pinned(2, "v1")
	large.PromptTokens = 18_000
	assert.Assert(t, c.Submit(start, large).Waiting())
	now := at(bypassLimit + time.Millisecond)
	assert.Assert(t, c.Submit(now, testDemand(3)).Waiting(), "a later demand took memory that the first one needs")
	c.Progress(now, Progress{ID: first.ID, Kind: FirstTokenSeen})
	assert.Equal(t, grantOf(t, c.Tick(now), large).Decode, "d1")
}

// Without prefill engines, each build prefills on its own.
func TestBusyBuildStopsNoDemandThatAnotherBuildPrefills(t *testing.T) {
	c := NewCoordinator(Settings{Model: smallModel(), Options: Options{SelfPrefill: true}})
	c.SetEngines(start, buildPool()[2:])
	assert.Assert(t, c.Submit(start, pinned(1, "v1")).Grant != nil)
	assert.Assert(t, c.Submit(start, pinned(2, "v1")).Waiting())
	now := at(bypassLimit + time.Millisecond)
	o := c.Submit(now, testDemand(3))
	assert.Assert(t, o.Grant != nil)
	assert.Equal(t, c.pool.byName[o.Grant.Decode].Build, "v2")
}
