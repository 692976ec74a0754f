package scheduling

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

var testBuilds = []string{"v1", "v2", "v3"}

// buildMachine drives a coordinator whose engines have random builds. Its links
// have no limit and its demands no targets, so that only slots, memory and
// prefills in flight delay a grant.
type buildMachine struct {
	c       *Coordinator
	now     time.Time
	next    uint64
	states  []EngineState
	demands map[engine.AttemptID]Demand
	arrival map[engine.AttemptID]time.Time
	waiting map[engine.AttemptID]bool
	held    map[engine.AttemptID]*Held
	seen    *buildCoverage
}

// buildCoverage counts the cases that the generated histories have reached.
type buildCoverage struct {
	pinnedGrants, pinnedOverlaps, pinnedSelfPrefills, pinnedRefusals, heldBack, freePassedPinned int
}

func newBuildMachine(t *rapid.T, seen *buildCoverage) *buildMachine {
	options := Options{SelfPrefill: rapid.Bool().Draw(t, "decode engines prefill")}
	m := &buildMachine{
		c: NewCoordinator(Settings{Model: smallModel(), Options: options}), now: start, seen: seen,
		demands: map[engine.AttemptID]Demand{}, arrival: map[engine.AttemptID]time.Time{},
		waiting: map[engine.AttemptID]bool{}, held: map[engine.AttemptID]*Held{},
	}
	for _, name := range []string{"p1", "p2"} {
		m.states = append(m.states, EngineState{Name: name, Role: configuration.RolePrefill, Pieces: 20, PieceTokens: 1000})
	}
	for _, name := range []string{"d1", "d2", "d3", "d4"} {
		m.states = append(m.states, EngineState{
			Name: name, Role: configuration.RoleDecode, Slots: 3, Pieces: 20, PieceTokens: 1000,
			Build: rapid.SampledFrom(testBuilds).Draw(t, "build of "+name),
		})
	}
	m.c.SetEngines(m.now, m.states)
	return m
}

func (m *buildMachine) submit(t *rapid.T) {
	m.next++
	d := testDemand(m.next)
	d.QueueLimit = 0
	d.Class = rapid.SampledFrom([]string{"c", "d"}).Draw(t, "class")
	d.Build = rapid.SampledFrom(append([]string{"", "", ""}, testBuilds...)).Draw(t, "build")
	d.Resumed = rapid.Bool().Draw(t, "resumed")
	d.PromptTokens = rapid.SampledFrom([]int{100, 1000, 6000, 18_000}).Draw(t, "prompt")
	d.Weights = rapid.SampledFrom([]configuration.Weights{wasteWeights, goodputWeights}).Draw(t, "weights")
	m.demands[d.ID], m.arrival[d.ID] = d, m.now
	m.waiting[d.ID] = true
	o := m.c.Submit(m.now, d)
	if o.Refusal != nil {
		m.checkRefusal(t, &d, o.Refusal)
	}
	m.apply(t, o)
}

// checkRefusal checks that a refused demand had no engine that serves it.
func (m *buildMachine) checkRefusal(t *rapid.T, d *Demand, refusal *Refusal) {
	assert.Equal(t, refusal.Reason, RefusedNoEngine)
	for _, e := range m.c.pool.decode {
		ofBuild := d.Build == "" || e.Build == d.Build
		assert.Assert(t, !ofBuild || !e.usable(), "%v was refused beside %s", d.ID, e.Name)
		assert.Assert(t, !ofBuild || d.Build == "" || !d.Resumed || e.Leaving, "%v was refused during a cooldown of %s", d.ID, e.Name)
	}
	if d.Build != "" {
		m.seen.pinnedRefusals++
	}
}

// apply checks an outcome and applies it to the expected state.
func (m *buildMachine) apply(t *rapid.T, o Outcome) {
	if o.Waiting() {
		return
	}
	d := m.demands[o.ID]
	delete(m.waiting, o.ID)
	if o.Refusal != nil {
		return
	}
	build := m.buildOf(o.Grant.Decode)
	assert.Assert(t, d.Build == "" || d.Build == build, "%v is for %s and was granted %s of %s", o.ID, d.Build, o.Grant.Decode, build)
	m.checkNotHeldForAnother(t, o.ID, build)
	m.held[o.ID] = &Held{ID: o.ID}
	if d.Build == "" {
		return
	}
	m.seen.pinnedGrants++
	if o.Grant.Prefill == o.Grant.Decode {
		m.seen.pinnedSelfPrefills++
	}
	if m.c.ledger.holdings[o.ID].slotPending {
		m.seen.pinnedOverlaps++
	}
}

// checkNotHeldForAnother checks that no demand takes an engine of a build for which
// a pinned demand before it has been bypassed for longer than bypassLimit.
func (m *buildMachine) checkNotHeldForAnother(t *rapid.T, id engine.AttemptID, build string) {
	for other := range m.waiting {
		w := m.c.queue.byID[other]
		if w == nil || w.demand.Build != build || !m.before(other, id) {
			continue
		}
		overdue := !w.blockedSince.IsZero() && m.now.Sub(w.blockedSince) > bypassLimit
		assert.Assert(t, !overdue, "%v took an engine of %s, for which %v has waited too long", id, build, other)
	}
}

// before reports whether a demand is served before another.
func (m *buildMachine) before(x, y engine.AttemptID) bool {
	if m.demands[x].Resumed != m.demands[y].Resumed {
		return m.demands[x].Resumed
	}
	if !m.arrival[x].Equal(m.arrival[y]) {
		return m.arrival[x].Before(m.arrival[y])
	}
	return compareIDs(x, y) < 0
}

func (m *buildMachine) buildOf(name string) string {
	i := slices.IndexFunc(m.states, func(s EngineState) bool { return s.Name == name })
	return m.states[i].Build
}

func (m *buildMachine) pick(t *rapid.T) *Held {
	ids := make([]engine.AttemptID, 0, len(m.held))
	for id := range m.held {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("nothing held")
	}
	slices.SortFunc(ids, compareIDs)
	return m.held[rapid.SampledFrom(ids).Draw(t, "held")]
}

func (m *buildMachine) advance(t *rapid.T) {
	h := m.pick(t)
	switch h.Phase {
	case PhasePrefill:
		h.Phase = PhaseTransfer
		m.c.Progress(m.now, Progress{ID: h.ID, Kind: PrefillDone, Tokens: m.demands[h.ID].PromptTokens})
	case PhaseTransfer:
		h.Phase = PhaseDecode
		m.c.Progress(m.now, Progress{ID: h.ID, Kind: FirstTokenSeen})
	default:
		delete(m.held, h.ID)
		m.c.Progress(m.now, Progress{ID: h.ID, Kind: Released, Tokens: answerTokens})
	}
}

// fail lets a holder report that its decode engine failed, which starts a cooldown.
func (m *buildMachine) fail(t *rapid.T) {
	h := m.pick(t)
	decode := m.c.ledger.holdings[h.ID].grant.Decode
	delete(m.held, h.ID)
	m.c.Progress(m.now, Progress{ID: h.ID, Kind: DecodeFailed, Decode: decode})
	m.c.Cancel(m.now, h.ID)
}

// eject ejects or restores a decode engine.
func (m *buildMachine) eject(t *rapid.T) {
	m.toggle(rapid.IntRange(2, len(m.states)-1).Draw(t, "engine"))
}

// ejectPrefill ejects or restores both prefill engines, if decode engines prefill.
func (m *buildMachine) ejectPrefill(t *rapid.T) {
	if !m.c.settings.Options.SelfPrefill {
		t.Skip("no other engine prefills")
	}
	m.toggle(0, 1)
}

func (m *buildMachine) toggle(engines ...int) {
	for _, i := range engines {
		m.states[i].Ejected = !m.states[i].Ejected
	}
	m.c.SetEngines(m.now, m.states)
}

func (m *buildMachine) sleep(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "steps") {
		m.now = m.now.Add(90 * time.Millisecond)
		list := make([]Held, 0, len(m.held))
		for _, h := range m.held {
			list = append(list, *h)
		}
		m.c.Renew(m.now, "vm", 1, list)
		m.tick(t)
	}
}

func (m *buildMachine) tick(t *rapid.T) {
	for _, o := range m.c.Tick(m.now) {
		m.apply(t, o)
	}
}

// check checks that no demand waits that could be granted at once.
func (m *buildMachine) check(t *rapid.T) {
	m.tick(t)
	if !m.prefillsAlone() && !slices.ContainsFunc(m.c.pool.prefill, prefillIdle) {
		return
	}
	var earliest *engine.AttemptID
	for id := range m.waiting {
		if m.demands[id].Build == "" && (earliest == nil || m.before(id, *earliest)) {
			earliest = &id
		}
	}
	if earliest != nil {
		m.checkFree(t, *earliest)
	}
	for id := range m.waiting {
		if m.demands[id].Build != "" {
			m.checkPinned(t, id, earliest)
		}
	}
}

// prefillsAlone reports whether decode engines prefill all prompts.
func (m *buildMachine) prefillsAlone() bool {
	return !slices.ContainsFunc(m.c.pool.prefill, func(e *engineInfo) bool { return e.usable() })
}

func prefillIdle(e *engineInfo) bool { return e.usable() && e.idle() && e.prefillPieces == 0 }

// checkFree checks that no engine could take the first demand that any engine may
// serve, except engines of builds for which other demands wait.
func (m *buildMachine) checkFree(t *rapid.T, id engine.AttemptID) {
	d := m.demands[id]
	awaited := m.awaitedBuilds()
	for _, e := range m.c.pool.decode {
		room := e.usable() && e.pendingSlots == 0 && e.slotsHeld < e.Slots && e.memoryFits(e.piecesFor(d.PromptTokens+d.OutputTokens))
		room = room && (e.idle() || !m.prefillsAlone())
		assert.Assert(t, !room || awaited[e.Build], "%v waits although %s of %s has room", id, e.Name, e.Build)
		if room && awaited[e.Build] {
			m.seen.heldBack++
		}
	}
}

// checkPinned checks that a demand for a build does not wait while an engine of the
// build is empty, unless another demand comes first.
func (m *buildMachine) checkPinned(t *rapid.T, id engine.AttemptID, earliestFree *engine.AttemptID) {
	if earliestFree != nil && m.before(*earliestFree, id) {
		return
	}
	if earliestFree != nil {
		m.seen.freePassedPinned++
	}
	build := m.demands[id].Build
	for other := range m.waiting {
		if other != id && m.demands[other].Build == build && m.before(other, id) {
			return
		}
	}
	for _, e := range m.c.pool.decode {
		empty := e.Build == build && e.usable() && e.idle()
		assert.Assert(t, !empty, "%v waits although %s of %s is empty", id, e.Name, build)
	}
}

func (m *buildMachine) awaitedBuilds() map[string]bool {
	builds := make(map[string]bool)
	for id := range m.waiting {
		builds[m.demands[id].Build] = true
	}
	return builds
}

// Streams hold events of two builds if a demand gets an engine of another one. A
// build without room must neither stop the others nor lose its engines to them.
func TestBuildsAreServedSideBySide(t *testing.T) {
	t.Parallel()
	var seen buildCoverage
	defer func() {
		assert.Check(t, seen.pinnedGrants > 0 && seen.pinnedOverlaps > 0 && seen.pinnedSelfPrefills > 0 &&
			seen.pinnedRefusals > 0 && seen.heldBack > 0 && seen.freePassedPinned > 0, "the generated histories do not cover all cases: %+v", seen)
	}()
	rapid.Check(t, func(t *rapid.T) {
		m := newBuildMachine(t, &seen)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"another": m.submit,
			"advance": m.advance,
			"more":    m.advance,
			"further": m.advance,
			"fail":    m.fail,
			"eject":   m.eject,
			"prefill": m.ejectPrefill,
			"sleep":   m.sleep,
			"":        m.check,
		})
	})
}
