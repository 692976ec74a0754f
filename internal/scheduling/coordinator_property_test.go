package scheduling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// answerTokens is the length of all answers. It is well below the permitted
// length, so that longer decodes are predicted to end soon and pending slots
// are granted.
const answerTokens = 2

// stateMachine drives a coordinator by random steps and keeps the expected
// state.
type stateMachine struct {
	c       *Coordinator
	now     time.Time
	next    uint64
	demands map[engine.AttemptID]Demand
	arrival map[engine.AttemptID]time.Time
	waiting map[engine.AttemptID]bool
	held    map[engine.AttemptID]*Held
	// silent are the holders that stopped renewing.
	silent map[string]bool
	// renewed are the times at which the leases of the held attempts were last
	// renewed.
	renewed map[engine.AttemptID]time.Time
}

func newStateMachine() *stateMachine {
	return &stateMachine{
		c: newPoolCoordinator(smallPool()), now: start,
		demands: map[engine.AttemptID]Demand{}, arrival: map[engine.AttemptID]time.Time{},
		waiting: map[engine.AttemptID]bool{}, held: map[engine.AttemptID]*Held{},
		silent: map[string]bool{}, renewed: map[engine.AttemptID]time.Time{},
	}
}

func (m *stateMachine) submit(t *rapid.T) {
	m.next++
	d := Demand{
		ID:           engine.AttemptID{VM: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "vm"), Incarnation: 1, Request: m.next, Attempt: 1},
		Team:         rapid.SampledFrom([]string{"t", "u"}).Draw(t, "team"),
		Class:        rapid.SampledFrom([]string{"c", "d"}).Draw(t, "class"),
		Order:        configuration.OrderFirstCome,
		QueueLimit:   8,
		PromptTokens: rapid.IntRange(100, 12_000).Draw(t, "prompt"),
		OutputTokens: rapid.IntRange(100, 300).Draw(t, "output"),
		Weights:      rapid.SampledFrom([]configuration.Weights{wasteWeights, goodputWeights}).Draw(t, "weights"),
		Waited:       time.Duration(rapid.IntRange(0, 50).Draw(t, "waited")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "targets") {
		d.Targets.FirstToken = configuration.Duration(5 * time.Second)
	}
	m.demands[d.ID] = d
	m.arrival[d.ID] = m.now.Add(-d.Waited)
	o := m.c.Submit(m.now, d)
	m.waiting[d.ID] = true
	if o.Refusal != nil {
		delete(m.waiting, d.ID)
		return
	}
	m.checkOutcome(t, o)
}

// checkOutcome checks an outcome against the expected state and applies it.
func (m *stateMachine) checkOutcome(t *rapid.T, o Outcome) {
	if o.Waiting() {
		return
	}
	d := m.demands[o.ID]
	delete(m.waiting, o.ID)
	if o.Refusal != nil {
		prefill := seconds(float64(d.PromptTokens) / 10_000 * m.c.pool.byName["p1"].prefillRatio.ratio())
		fastest := prefill + seconds(float64(d.PromptTokens)*1e-5) + 20*time.Millisecond + safetyMargin(d.Targets.FirstToken.D())
		deadline := m.arrival[o.ID].Add(d.Targets.FirstToken.D())
		assert.Assert(t, d.Targets.FirstToken > 0 && m.now.Add(fastest).After(deadline), "%v was dropped although it could meet its target", o.ID)
		return
	}
	for id := range m.waiting {
		other := m.demands[id]
		sameClass := other.Team == d.Team && other.Class == d.Class
		assert.Assert(t, !sameClass || !m.arrival[id].Before(m.arrival[o.ID]), "%v passed %v of its class", o.ID, id)
	}
	m.held[o.ID] = &Held{
		ID: o.ID, Team: d.Team, Class: d.Class, Prefill: o.Grant.Prefill, Decode: o.Grant.Decode,
		PromptTokens: d.PromptTokens, OutputTokens: d.OutputTokens,
	}
	m.renewed[o.ID] = m.now
	inUse := 0
	for _, h := range m.held {
		if h.Decode == o.Grant.Decode {
			inUse++
		}
	}
	if d.Weights == wasteWeights {
		assert.Assert(t, inUse <= 3, "%v was granted without a free slot", o.ID)
	}
}

func (m *stateMachine) pick(t *rapid.T, kind string) *Held {
	var all []*Held
	for n := uint64(1); n <= m.next; n++ {
		for _, vm := range []string{"x", "y", "z"} {
			if h, ok := m.held[engine.AttemptID{VM: vm, Incarnation: 1, Request: n, Attempt: 1}]; ok {
				all = append(all, h)
			}
		}
	}
	if len(all) == 0 {
		t.Skip("nothing held")
	}
	return rapid.SampledFrom(all).Draw(t, kind)
}

func (m *stateMachine) advance(t *rapid.T) {
	h := m.pick(t, "advance")
	p := Progress{ID: h.ID, Tokens: h.PromptTokens}
	switch h.Phase {
	case PhasePrefill:
		h.Phase, p.Kind = PhaseTransfer, PrefillDone
	case PhaseTransfer:
		h.Phase, p.Kind = PhaseDecode, FirstTokenSeen
	default:
		m.release(h)
		return
	}
	m.renewed[h.ID] = m.now
	m.c.Progress(m.now, p)
}

func (m *stateMachine) release(h *Held) {
	delete(m.held, h.ID)
	m.c.Progress(m.now, Progress{ID: h.ID, Kind: Released, Tokens: answerTokens})
}

func (m *stateMachine) cancel(t *rapid.T) {
	h := m.pick(t, "cancel")
	delete(m.held, h.ID)
	m.c.Cancel(m.now, h.ID)
	m.c.Cancel(m.now, h.ID)
}

// sleep advances the time in steps of a heartbeat; one VM may send none.
func (m *stateMachine) sleep(t *rapid.T) {
	silent := rapid.SampledFrom([]string{"x", "y", "z", "", "", ""}).Draw(t, "silent")
	for range rapid.IntRange(1, 6).Draw(t, "beats") {
		m.now = m.now.Add(250 * time.Millisecond)
		m.expire()
		for _, vm := range []string{"x", "y", "z"} {
			if vm != silent {
				m.c.Renew(m.now, vm, 1, m.listOf(vm, true))
			}
		}
		m.tick(t)
	}
}

// expire removes expired leases from the expected state.
func (m *stateMachine) expire() {
	for id := range m.held {
		if m.now.Sub(m.renewed[id]) >= GrantLease {
			delete(m.held, id)
		}
	}
	m.c.counters.Expired += uint64(m.c.ledger.expire(m.now))
}

func (m *stateMachine) listOf(vm string, renew bool) []Held {
	var list []Held
	for id, h := range m.held {
		if id.VM == vm {
			list = append(list, *h)
			if renew {
				m.renewed[id] = m.now
			}
		}
	}
	return list
}

func (m *stateMachine) tick(t *rapid.T) {
	for _, o := range m.c.Tick(m.now) {
		m.checkOutcome(t, o)
	}
}

// check compares the ledger with the expected state.
func (m *stateMachine) check(t *rapid.T) {
	m.tick(t)
	for _, a := range m.c.pool.decode {
		slots, pieces, all := 0, 0, 0
		for _, h := range m.held {
			if h.Decode == a.Name {
				all++
			}
		}
		for _, h := range a.held {
			if !h.slotPending {
				slots++
				pieces += h.pieces
			}
		}
		assert.Assert(t, slots <= a.Slots && pieces <= a.Pieces, "%s: %d slots, %d pieces", a.Name, slots, pieces)
		assert.Equal(t, all, len(a.held), a.Name)
		assert.Equal(t, slots, a.slotsHeld, a.Name)
		assert.Equal(t, pieces, a.piecesHeld, a.Name)
		assert.Equal(t, all-slots, a.pendingSlots, a.Name)
	}
	for _, a := range m.c.pool.prefill {
		assert.Assert(t, len(a.running) <= maxPrefillsInFlight, a.Name)
		kept := 0
		for _, h := range a.transfers {
			kept += h.prefillPieces
		}
		assert.Equal(t, kept, a.prefillPieces, a.Name)
		assert.Assert(t, kept <= a.Pieces, a.Name)
	}
	assert.Equal(t, len(m.waiting), m.c.Waiting())
}

// rebuild compares a ledger built from the holders' lists with the expected
// state.
func (m *stateMachine) rebuild(t *rapid.T) {
	next := newPoolCoordinator(smallPool())
	next.PauseGrants()
	for _, vm := range []string{"z", "x", "y", "x"} {
		next.Renew(m.now, vm, 1, m.listOf(vm, false))
	}
	assert.Equal(t, len(next.ledger.holdings), len(m.held))
	for name, a := range m.c.pool.byName {
		b := next.pool.byName[name]
		assert.Equal(t, len(b.held), len(a.held), name)
		assert.Equal(t, len(b.running), len(a.running), name)
		assert.Equal(t, len(b.transfers), len(a.transfers), name)
		assert.Equal(t, b.slotsHeld, a.slotsHeld+a.pendingSlots, name)
	}
}

func TestLedgerMatchesModel(t *testing.T) {
	t.Parallel()
	var seen Counters
	defer func() {
		assert.Check(t, seen.Overlapped > 0 && seen.Dropped > 0 && seen.Expired > 0, "the generated histories do not cover all cases: %+v", seen)
	}()
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		defer func() {
			seen.Overlapped += m.c.counters.Overlapped
			seen.Dropped += m.c.counters.Dropped
			seen.Expired += m.c.counters.Expired
		}()
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"another": m.submit,
			"advance": m.advance,
			"more":    m.advance,
			"cancel":  m.cancel,
			"sleep":   m.sleep,
			"rebuild": m.rebuild,
			"":        m.check,
		})
	})
}
