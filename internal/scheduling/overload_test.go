package scheduling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// memoryPool has one prefill engine and decode engines whose memory is
// exhausted before their slots are.
func memoryPool(decodes int) []EngineState {
	states := []EngineState{{Name: "p", Role: configuration.RolePrefill, Pieces: 30_000, PieceTokens: 1}}
	for i := range decodes {
		states = append(states, EngineState{
			Name: "d" + string(rune('0'+i)), Role: configuration.RoleDecode, Slots: 12, Pieces: 10_000, PieceTokens: 1,
		})
	}
	return states
}

func newMemoryCoordinator(decodes int, options Options) *Coordinator {
	model := smallModel()
	model.TokenIntervalPerRequest = 0
	c := NewCoordinator(Settings{Model: model, Options: options})
	c.SetEngines(start, memoryPool(decodes))
	return c
}

func sized(n uint64, prompt, output int) Demand {
	d := testDemand(n)
	d.PromptTokens, d.OutputTokens = prompt, output
	d.Order = configuration.OrderAny
	return d
}

func TestPeakTokens(t *testing.T) {
	cases := []struct {
		name string
		all  []growth
		want int
	}{
		{"none", nil, 0},
		{"one", []growth{{1000, 500}}, 1500},
		{"same end", []growth{{1000, 500}, {1000, 500}}, 3000},
		{"short one ends before long one has grown", []growth{{1000, 100}, {1000, 1000}}, 2200},
		{"long outgrows both", []growth{{100, 100}, {1000, 3000}}, 4000},
	}
	for _, c := range cases {
		assert.Equal(t, peakTokens(c.all), c.want, c.name)
	}
}

// TestMemoryIsGrantedByPeakUse covers attempts that share an engine and have
// generated different parts of their answers. Reserving the sum of their final
// sizes would leave memory idle until the first one ends.
func TestMemoryIsGrantedByPeakUse(t *testing.T) {
	grants := func(options Options) int {
		c := newMemoryCoordinator(1, options)
		var held []Held
		for n := range uint64(8) {
			now := start.Add(time.Duration(n) * GrantLease / 2)
			for i := range held {
				held[i].Delivered += 150
			}
			c.Renew(now, "vm", 1, held)
			o := c.Submit(now, sized(n, 900, 1000))
			if o.Grant == nil {
				break
			}
			decode(c, now, o.ID)
			held = append(held, Held{ID: o.ID, Phase: PhaseDecode})
		}
		return len(held)
	}
	assert.Equal(t, grants(Options{}), 5)
	assert.Equal(t, grants(Options{MemoryOverTime: true}), 6)
}

// TestBackgroundDemandsDoNotTakeMemoryAnotherDemandNeeds covers sustained overload
// by prompts of different sizes: a background demand, whose latency objective has
// passed, must not take the memory that a demand of regular priority waits for.
func TestBackgroundDemandsDoNotTakeMemoryAnotherDemandNeeds(t *testing.T) {
	c := newMemoryCoordinator(1, Options{MemoryOverTime: true})
	for n := range uint64(2) {
		o := c.Submit(start, sized(n, 3000, 1000))
		assert.Assert(t, o.Grant != nil)
		decode(c, start, o.ID)
	}
	assert.Assert(t, c.Submit(start, sized(10, 4000, 1000)).Waiting())
	late := sized(11, 300, 100)
	late.Class, late.Priority = "late", BackgroundPriority
	assert.Assert(t, c.Submit(start, late).Waiting(), "it fits, but it must not bypass a demand of regular priority")
	small := sized(12, 300, 100)
	assert.Assert(t, c.Submit(start, small).Grant != nil, "a demand of regular priority may bypass a larger one")
}

// TestDecodeEnginesPrefillWithoutAPrefillEngine covers the loss of the only
// prefill engine of a zone.
func TestDecodeEnginesPrefillWithoutAPrefillEngine(t *testing.T) {
	for _, self := range []bool{false, true} {
		c := newMemoryCoordinator(2, Options{MemoryOverTime: true, SelfPrefill: self})
		c.SetEngines(start, memoryPool(2)[1:])
		o := c.Submit(start, sized(1, 1000, 100))
		if !self {
			assert.Equal(t, o.Refusal.Reason, RefusedNoEngine)
			continue
		}
		assert.Equal(t, o.Grant.Prefill, o.Grant.Decode)
		second := c.Submit(start, sized(2, 1000, 100))
		assert.Assert(t, second.Grant.Decode != o.Grant.Decode, "a decode engine must prefill one prompt at a time")
	}
}

// TestDecodeEnginesPrefillAfterAWait covers a burst of prompts: a short wait for
// the prefill engine costs the pool less than prefills on decode engines, which
// start only after selfPrefillDelay.
func TestDecodeEnginesPrefillAfterAWait(t *testing.T) {
	c := newMemoryCoordinator(3, Options{MemoryOverTime: true, SelfPrefill: true})
	for n := range uint64(2) {
		c.Submit(start, sized(n, 1000, 100))
	}
	waiting := sized(7, 1000, 100)
	assert.Assert(t, c.Submit(start, waiting).Waiting())
	outcomes := c.Tick(start.Add(selfPrefillDelay))
	var own *Grant
	for _, o := range outcomes {
		if o.ID == waiting.ID {
			own = o.Grant
		}
	}
	assert.Assert(t, own != nil)
	assert.Equal(t, own.Prefill, own.Decode)
}

// TestEngineThatFailsHoldersCoolsDown covers an engine that rejects calls
// immediately: it looks idle and would attract all demands.
func TestEngineThatFailsHoldersCoolsDown(t *testing.T) {
	c := newMemoryCoordinator(2, Options{MemoryOverTime: true})
	first := c.Submit(start, sized(1, 1000, 100)).Grant
	c.Progress(start, Progress{ID: first.ID, Kind: DecodeFailed, Decode: first.Decode})
	c.Cancel(start, first.ID)
	for n := uint64(2); n < 6; n++ {
		g := c.Submit(start, sized(n, 1000, 100)).Grant
		assert.Assert(t, g != nil && g.Decode != first.Decode)
		decode(c, start, g.ID)
	}
	after := c.Submit(start.Add(firstCooldown), sized(9, 1000, 100)).Grant
	assert.Equal(t, after.Decode, first.Decode, "the engine gets no grant after its cooldown")
	assert.Equal(t, c.Counters().Rested, uint64(1))
}

func TestCooldownDoublesAndKeepsSomeEnginesInUse(t *testing.T) {
	c := newMemoryCoordinator(2, Options{})
	now := start
	for range 3 {
		c.engineFailed(now, "d0")
		now = c.pool.byName["d0"].cooldown.afterFailure.Until()
	}
	assert.Equal(t, now.Sub(start), 7*firstCooldown)
	c.engineFailed(now, "d0")
	c.engineFailed(now, "d1")
	c.tidy(now)
	assert.Assert(t, anyUsable(c.pool.decode, nil))
}

func TestEngineThatAHolderKnowsToLeaveGetsNoGrant(t *testing.T) {
	c := newMemoryCoordinator(2, Options{})
	first := c.Submit(start, sized(1, 1000, 100)).Grant
	c.Progress(start, Progress{ID: first.ID, Kind: EngineLeaving, Decode: first.Decode})
	c.Cancel(start, first.ID)
	for n := uint64(2); n < 5; n++ {
		g := c.Submit(start.Add(time.Second), sized(n, 1000, 100)).Grant
		if g != nil {
			assert.Assert(t, g.Decode != first.Decode)
			decode(c, start.Add(time.Second), g.ID)
		}
	}
	back := c.Submit(start.Add(leavingReportTTL), sized(9, 1000, 100)).Grant
	assert.Equal(t, back.Decode, first.Decode, "the engine gets no grant after the report expired")
}

// TestWaitIsPredictedFromMemory covers engines with free slots but no free
// memory, which the predicted wait must account for.
func TestWaitIsPredictedFromMemory(t *testing.T) {
	c := newMemoryCoordinator(1, Options{MemoryOverTime: true})
	for n := range uint64(2) {
		o := c.Submit(start, sized(n, 3500, 1000))
		assert.Assert(t, o.Grant != nil)
		decode(c, start, o.ID)
	}
	assert.Equal(t, c.freeCapacity(start, c.pool.byName["d0"]), 0)
	assert.Equal(t, c.Headroom(start, &Demand{Priority: 0}), 0.0)
	c.slotTime.mean = 20 * time.Second
	target := sized(9, 3500, 1000)
	target.Targets.FirstToken = configuration.Duration(5 * time.Second)
	o := c.Submit(start, target)
	assert.Assert(t, o.Refusal != nil && o.Refusal.Reason == RefusedTarget, "%+v", o)
}

// TestNextPrefillIsGrantedDuringPrefillLatency covers the part of a prefill's time
// that is latency, during which its engine can start the next prefill.
func TestNextPrefillIsGrantedDuringPrefillLatency(t *testing.T) {
	c := newMemoryCoordinator(3, Options{})
	c.settings.Model.PrefillLatency = configuration.Duration(80 * time.Millisecond)
	c.SetModel(c.settings.Model)
	first := c.Submit(start, sized(1, 1000, 100)).Grant
	assert.Assert(t, first != nil)
	// The prefill occupies the engine for 100 ms and its response takes 80 ms
	// more.
	second := sized(2, 1000, 100)
	assert.Assert(t, c.Submit(start, second).Waiting())
	var granted bool
	for _, o := range c.Tick(start.Add(100 * time.Millisecond)) {
		granted = granted || o.ID == second.ID && o.Grant != nil
	}
	assert.Assert(t, granted)
}

// TestSingleLostAnswersLetNoEngineRest covers single responses that are lost in
// the network, which may happen to several engines: they must not start a cooldown.
func TestSingleLostAnswersLetNoEngineRest(t *testing.T) {
	c := newMemoryCoordinator(2, Options{})
	for range lostBeforeCooldown - 1 {
		c.responseLost(start, "d0")
	}
	c.tidy(start)
	assert.Assert(t, c.pool.byName["d0"].usable())
	c.pool.byName["d0"].engineSucceeded()
	c.responseLost(start, "d0")
	assert.Assert(t, c.pool.byName["d0"].usable(), "a success must reset the count of lost responses")
	for range lostBeforeCooldown {
		c.responseLost(start, "d0")
	}
	c.tidy(start)
	assert.Assert(t, !c.pool.byName["d0"].usable())
}
