package scheduling

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// smallPool has two prefill and two decode engines with few slots.
func smallPool() []EngineState {
	link := int64(1_000_000_000)
	return []EngineState{
		{Name: "p1", Role: configuration.RolePrefill, Pieces: 20, PieceTokens: 1000, LinkBytesPerSecond: link},
		{Name: "p2", Role: configuration.RolePrefill, Pieces: 20, PieceTokens: 1000, LinkBytesPerSecond: link},
		{Name: "d1", Role: configuration.RoleDecode, Slots: 3, Pieces: 20, PieceTokens: 1000, LinkBytesPerSecond: link},
		{Name: "d2", Role: configuration.RoleDecode, Slots: 3, Pieces: 20, PieceTokens: 1000, LinkBytesPerSecond: link},
	}
}

func smallModel() configuration.Model {
	return configuration.Model{
		Name:                    "m",
		PrefillTokensPerSecond:  10_000,
		TokenInterval:           configuration.Duration(20 * time.Millisecond),
		TokenIntervalPerRequest: configuration.Duration(time.Millisecond),
		KVBytesPerToken:         10_000,
		KVRetention:             configuration.Duration(800 * time.Millisecond),
	}
}

func newPoolCoordinator(states []EngineState) *Coordinator {
	c := NewCoordinator(Settings{Model: smallModel()})
	c.SetEngines(start, states)
	return c
}

func testDemand(n uint64) Demand {
	return Demand{
		ID:   engine.AttemptID{VM: "vm", Incarnation: 1, Request: n, Attempt: 1},
		Team: "t", Class: "c", Order: configuration.OrderFirstCome, QueueLimit: 50,
		PromptTokens: 1000, OutputTokens: 100, Weights: wasteWeights,
	}
}

// decode moves a granted attempt to the decode phase.
func decode(c *Coordinator, now time.Time, id engine.AttemptID) {
	c.Progress(now, Progress{ID: id, Kind: PrefillDone, Tokens: 1000})
	c.Progress(now, Progress{ID: id, Kind: FirstTokenSeen})
}

// fill submits a number of demands and moves them to the decode phase.
func fill(t *testing.T, c *Coordinator, now time.Time, first, count uint64) {
	t.Helper()
	for n := first; n < first+count; n++ {
		o := c.Submit(now, testDemand(n))
		assert.Assert(t, o.Grant != nil, "demand %d: %+v", n, o.Refusal)
		decode(c, now, o.ID)
	}
}

func TestRefusals(t *testing.T) {
	target := func(first, between time.Duration) configuration.Targets {
		return configuration.Targets{FirstToken: configuration.Duration(first), BetweenTokens: configuration.Duration(between)}
	}
	cases := []struct {
		name   string
		held   uint64
		change func(d *Demand)
		want   RefusalReason
	}{
		{"prefill alone takes longer", 0, func(d *Demand) { d.Targets = target(50*time.Millisecond, 0) }, RefusedTarget},
		{"already waited too long", 0, func(d *Demand) { d.Targets, d.Waited = target(time.Second, 0), time.Second }, RefusedTarget},
		{"no engine is fast enough", 0, func(d *Demand) { d.Targets = target(0, 10*time.Millisecond) }, RefusedTarget},
		{"whole answer takes longer", 0, func(d *Demand) { d.Targets.WholeAnswer = configuration.Duration(time.Second) }, RefusedTarget},
		{"no slot in time", 6, func(d *Demand) { d.Targets = target(200*time.Millisecond, 0) }, RefusedTarget},
		{"larger than any memory", 0, func(d *Demand) { d.PromptTokens = 25_000 }, RefusedTooLarge},
		{"all engines excluded", 0, func(d *Demand) { d.Exclude = []string{"p1", "p2"} }, RefusedNoEngine},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newPoolCoordinator(smallPool())
			fill(t, c, start, 100, tc.held)
			now := at(900 * time.Millisecond)
			if tc.held > 0 {
				// One finished answer establishes the mean time that a slot is
				// held.
				c.Progress(now, Progress{ID: testDemand(100).ID, Kind: Released, Tokens: 100})
				fill(t, c, now, 200, 1)
			}
			d := testDemand(1)
			tc.change(&d)
			o := c.Submit(now, d)
			assert.Assert(t, o.Refusal != nil, "%+v", o)
			assert.Equal(t, o.Refusal.Reason, tc.want)
			assert.Equal(t, o.Refusal.RetryAfter > 0, tc.want != RefusedTooLarge)
		})
	}
}

func TestQueueLimitIsPerClass(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	fill(t, c, start, 100, 6)
	for n := range uint64(3) {
		d := testDemand(n)
		d.QueueLimit = 2
		o := c.Submit(start, d)
		assert.Equal(t, o.Waiting(), n < 2)
	}
	other := testDemand(10)
	other.Class, other.QueueLimit = "other", 2
	assert.Assert(t, c.Submit(start, other).Waiting())
}

func TestSubmitIsIdempotentAndCancelIsFinal(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	first := c.Submit(start, testDemand(1))
	again := c.Submit(at(time.Millisecond), testDemand(1))
	assert.DeepEqual(t, first.Grant, again.Grant)
	assert.Equal(t, c.Counters().Granted, uint64(1))
	c.Cancel(start, testDemand(2).ID)
	assert.Assert(t, c.Submit(at(time.Millisecond), testDemand(2)).Refusal != nil, "a late submission revived a cancelled demand")
}

func TestGrantExpiresWithoutRenewal(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	fill(t, c, start, 100, 6)
	waiting := c.Submit(start, testDemand(1))
	assert.Assert(t, waiting.Waiting())
	held := []Held{{ID: testDemand(100).ID}}
	c.Renew(at(900*time.Millisecond), "vm", 1, held)
	assert.Equal(t, len(c.Tick(at(GrantLease-time.Nanosecond))), 0)
	assert.Equal(t, len(c.Tick(at(GrantLease))), 1)
	assert.Equal(t, c.Counters().Expired, uint64(5), "the renewed grant expired too")
}

func TestEngineStatesExcludeFromNewGrants(t *testing.T) {
	for name, change := range map[string]func(s *EngineState){
		"leaving": func(s *EngineState) { s.Leaving = true },
		"ejected": func(s *EngineState) { s.Ejected = true },
	} {
		states := smallPool()
		change(&states[0])
		change(&states[2])
		c := newPoolCoordinator(states)
		for n := range uint64(3) {
			o := c.Submit(start, testDemand(n))
			assert.Equal(t, o.Grant.Prefill+o.Grant.Decode, "p2d2", name)
			decode(c, start, o.ID)
		}
		assert.Assert(t, c.Submit(start, testDemand(9)).Waiting(), name)
	}
}

func TestEngineThatReportsLeavingGetsNoGrants(t *testing.T) {
	c := newPoolCoordinator(smallPool()[:3])
	c.ObserveLoad(start, "d1", engine.LoadReport{Leaving: true})
	c.SetEngines(start, smallPool()[:3])
	o := c.Submit(start, testDemand(1))
	assert.Assert(t, o.Refusal != nil && o.Refusal.Reason == RefusedNoEngine)
}

func TestResumedThenPriorityThenArrival(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	fill(t, c, start, 100, 6)
	waiting := []func(d *Demand){
		func(d *Demand) { d.Class = "later" },
		func(d *Demand) { d.Class, d.Waited = "earlier", 50*time.Millisecond },
		func(d *Demand) { d.Class, d.Priority = "urgent", 5 },
		func(d *Demand) { d.Resumed, d.QueueLimit = true, 1 },
	}
	for i, change := range waiting {
		d := testDemand(uint64(i))
		change(&d)
		assert.Assert(t, c.Submit(start, d).Waiting())
	}
	for i, want := range []uint64{3, 2, 1, 0} {
		c.Progress(start, Progress{ID: testDemand(uint64(100 + i)).ID, Kind: Released, Tokens: 100})
		granted := c.Tick(start)
		assert.Equal(t, len(granted), 1)
		assert.Equal(t, granted[0].ID.Request, want)
		decode(c, start, granted[0].ID)
	}
}

func TestUntrackedRequestsTakeSlots(t *testing.T) {
	c := newPoolCoordinator(smallPool()[:3])
	fill(t, c, start, 100, 1)
	c.ObserveLoad(start, "d1", engine.LoadReport{Active: 3})
	assert.Assert(t, c.Submit(start, testDemand(1)).Waiting(), "granted a slot that an untracked request uses")
	c.ObserveLoad(start, "d1", engine.LoadReport{Active: 1})
	assert.Equal(t, len(c.Tick(start)), 1)
}

func TestHolderGoneFreesItsGrantsAndQueuedDemands(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	fill(t, c, start, 100, 6)
	assert.Assert(t, c.Submit(start, testDemand(1)).Waiting())
	c.HolderGone(start, "vm", 1)
	assert.Equal(t, c.Waiting(), 0)
	assert.Equal(t, c.Headroom(start, &Demand{Priority: 0}), 1.0)
}

func TestBetweenTokenTargetBoundsOccupancy(t *testing.T) {
	c := newPoolCoordinator(smallPool()[:3])
	strict := testDemand(1)
	strict.Targets.BetweenTokens = configuration.Duration(21 * time.Millisecond)
	decode(c, start, c.Submit(start, strict).ID)
	fill(t, c, start, 2, 1)
	assert.Assert(t, c.Submit(start, testDemand(3)).Waiting(), "a third request breaks the first one's target")
}

func TestCachedPrefixIsPreferredUnlessItsEngineIsBusy(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	blocks := []uint64{1, 2, 3}
	submit := func(n uint64) *Grant {
		d := testDemand(n)
		d.Blocks, d.PromptTokens = blocks, 3000
		return c.Submit(start, d).Grant
	}
	first := submit(1)
	decode(c, start, first.ID)
	second := submit(2)
	assert.Equal(t, second.Prefill, first.Prefill)
	third := submit(3)
	assert.Assert(t, third.Prefill != first.Prefill, "all prefills with a popular prefix went to one engine")
	decode(c, start, second.ID)
	decode(c, start, third.ID)
	c.CacheEvents(start, first.Prefill, []CacheEvent{{Kind: CacheCleared}}, false)
	fourth := submit(4)
	assert.Equal(t, fourth.Prefill, third.Prefill)
}

func TestNextPrefillStartsShortlyBeforeTheLastEnds(t *testing.T) {
	states := smallPool()
	states[1].Leaving = true
	c := newPoolCoordinator(states)
	c.Submit(start, testDemand(1))
	assert.Assert(t, c.Submit(start, testDemand(2)).Waiting())
	assert.Equal(t, len(c.Tick(at(60*time.Millisecond))), 0)
	// The first prefill is overdue, so the time at which its engine is free is
	// unknown.
	assert.Equal(t, len(c.Tick(at(140*time.Millisecond))), 0)
	c.Progress(at(150*time.Millisecond), Progress{ID: testDemand(1).ID, Kind: PrefillDone, Tokens: 1000})
	assert.Equal(t, len(c.Tick(at(150*time.Millisecond))), 1)
	assert.Assert(t, c.Submit(at(150*time.Millisecond), testDemand(3)).Waiting())
	assert.Equal(t, len(c.Tick(at(225*time.Millisecond))), 1)
}

func TestLateHeartbeatDoesNotReviveAReleasedAttempt(t *testing.T) {
	c := newPoolCoordinator(smallPool())
	fill(t, c, start, 1, 1)
	c.Progress(start, Progress{ID: testDemand(1).ID, Kind: Released, Tokens: 100})
	c.Renew(start, "vm", 1, []Held{{ID: testDemand(1).ID, Prefill: "p1", Decode: "d1"}})
	assert.Equal(t, c.Headroom(start, &Demand{Priority: 0}), 1.0)
}

func TestSmallDemandsBypassALargeOneUpToTheLimit(t *testing.T) {
	c := newPoolCoordinator(smallPool()[:3])
	fill(t, c, start, 100, 1)
	large, small := testDemand(1), func(n uint64) Demand {
		d := testDemand(n)
		d.Class = "small"
		return d
	}
	large.PromptTokens = 19_500
	assert.Assert(t, c.Submit(start, large).Waiting())
	o := c.Submit(at(time.Millisecond), small(2))
	assert.Assert(t, o.Grant != nil, "a free slot was left idle")
	decode(c, at(time.Millisecond), o.ID)
	assert.Assert(t, c.Submit(at(bypassLimit+time.Millisecond), small(3)).Waiting())
	for _, n := range []uint64{100, 2} {
		c.Progress(at(bypassLimit+time.Millisecond), Progress{ID: testDemand(n).ID, Kind: Released, Tokens: 100})
	}
	granted := c.Tick(at(bypassLimit + time.Millisecond))
	assert.Equal(t, len(granted), 1)
	assert.Equal(t, granted[0].ID, large.ID)
}

func TestPrefixIndexIsBounded(t *testing.T) {
	x := newPrefixIndex(10)
	for block := range uint64(100) {
		x.store("p1", []uint64{block})
	}
	assert.Equal(t, len(x.entries), 10)
	assert.Equal(t, x.cachedBlocks("p1", []uint64{99, 98, 1}), 2)
}

func TestTransfersFitTheLinkAndTheRetention(t *testing.T) {
	states := smallPool()[:3]
	states[2].Slots, states[2].Pieces = 20, 0
	// One prompt takes 500 ms on the link, so two concurrent transfers would
	// exceed the retention time.
	states[2].LinkBytesPerSecond = 20_000_000
	c := newPoolCoordinator(states)
	first := c.Submit(start, testDemand(1))
	c.Progress(start, Progress{ID: first.ID, Kind: PrefillDone, Tokens: 1000})
	assert.Assert(t, c.Submit(start, testDemand(2)).Waiting())
	c.Progress(start, Progress{ID: first.ID, Kind: FirstTokenSeen})
	assert.Equal(t, len(c.Tick(start)), 1)
}

func TestLowPriorityIsNotStarved(t *testing.T) {
	states := smallPool()[:3]
	states[2].Slots = 1
	c := newPoolCoordinator(states)
	fill(t, c, start, 100, 1)
	low := testDemand(1)
	low.Class = "low"
	assert.Assert(t, c.Submit(start, low).Waiting())
	held := testDemand(100).ID
	for second := uint64(1); second <= 20; second++ {
		now := at(time.Duration(second) * time.Second / 2)
		high := testDemand(200 + second)
		high.Priority = 1000
		c.Submit(now, high)
		c.Progress(now, Progress{ID: held, Kind: Released, Tokens: 100})
		granted := c.Tick(now)
		assert.Equal(t, len(granted), 1)
		if granted[0].ID == low.ID {
			return
		}
		held = granted[0].ID
		decode(c, now, held)
	}
	t.Fatal("the low-priority demand was never granted")
}

func TestTeamsAreServedByShare(t *testing.T) {
	states := smallPool()[:3]
	states[2].Slots = 1
	c := newPoolCoordinator(states)
	fill(t, c, start, 1000, 1)
	for n := range uint64(400) {
		d := testDemand(n)
		d.QueueLimit, d.Share, d.Team = 0, 1, "small"
		if n%2 == 0 {
			d.Share, d.Team = 3, "large"
		}
		c.Submit(start, d)
	}
	held := testDemand(1000).ID
	large := 0
	for range 200 {
		c.Progress(start, Progress{ID: held, Kind: Released, Tokens: 100})
		granted := c.Tick(start)
		assert.Equal(t, len(granted), 1)
		held = granted[0].ID
		decode(c, start, held)
		if held.Request%2 == 0 {
			large++
		}
	}
	assert.Assert(t, large >= 145 && large <= 155, "%d of 200 for three quarters", large)
}

func BenchmarkSubmit(b *testing.B) {
	for _, engines := range []int{10, 40, 200} {
		for _, waiting := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				benchmarkSubmit(b, engines, waiting)
			})
		}
	}
}

// benchmarkSubmit measures one request in a full pool: its submission behind
// the queue and the release that grants the first queued demand.
func benchmarkSubmit(b *testing.B, engines, waiting int) {
	c := NewCoordinator(Settings{Model: smallModel()})
	var states []EngineState
	for i := range engines {
		role := configuration.RoleDecode
		if i%2 == 0 {
			role = configuration.RolePrefill
		}
		states = append(states, EngineState{Name: fmt.Sprintf("e%d", i), Role: role, Slots: 20})
	}
	c.SetEngines(start, states)
	var held []engine.AttemptID
	n := uint64(0)
	blocks := make([]uint64, 20)
	for i := range blocks {
		blocks[i] = uint64(i)
	}
	submit := func() {
		d := testDemand(n)
		d.QueueLimit, d.Blocks, d.PromptTokens = 0, blocks, 20*TokensPerBlock
		d.Targets.FirstToken = configuration.Duration(time.Hour)
		n++
		if o := c.Submit(start, d); o.Grant != nil {
			decode(c, start, o.ID)
			held = append(held, o.ID)
		}
	}
	for range engines/2*20 + waiting {
		submit()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		submit()
		c.Progress(start, Progress{ID: held[i], Kind: Released, Tokens: 100})
		for _, o := range c.Tick(start) {
			decode(c, start, o.ID)
			held = append(held, o.ID)
		}
		if i%1024 == 0 {
			clear(c.ledger.tombstones)
		}
	}
}

// BenchmarkMemory reports the heap bytes in use per waiting demand.
func BenchmarkMemory(b *testing.B) {
	const waiting = 10_000
	for b.Loop() {
		c := newPoolCoordinator(smallPool())
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for n := range uint64(waiting) {
			d := testDemand(n)
			d.QueueLimit = 0
			c.Submit(start, d)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/waiting, "B/waiting")
		runtime.KeepAlive(c)
	}
}
