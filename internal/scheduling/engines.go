package scheduling

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/pacing"
	"github.com/ospreyshed/ospreyshed/internal/slowdown"
)

// EngineState is the configuration of one engine and whether it may get new
// grants.
type EngineState struct {
	Name string
	Zone string
	Role configuration.Role
	// Build is the version of the engine's software, empty if not known.
	Build string
	// Slots is the number of requests that a decode engine can hold at a time.
	Slots int
	// Pieces and PieceTokens define the memory for KV cache; with 0 pieces
	// memory is not accounted for.
	Pieces      int
	PieceTokens int
	// LinkBytesPerSecond is the rate of the engine's link; 0 means no limit.
	LinkBytesPerSecond int64
	// Leaving excludes the engine from new grants.
	Leaving bool
	// Ejected excludes the engine from new grants until it is restored.
	Ejected bool
	// Limit is the number of requests per second that the engine takes; 0 means any.
	Limit float64
	// LimitStagger is the fraction of the time between two requests after which the first one
	// is granted when a limit begins; 0 means the whole time. Schedulers that have parts of
	// one limit differ in it.
	LimitStagger float64
	// SlotLimit bounds the slots in use below Slots while an ejected engine is
	// restored gradually or while a share of it is assigned to other entry VMs;
	// 0 means Slots.
	SlotLimit int
}

// EngineStateOf returns the state of an endpoint of the configuration.
func EngineStateOf(e *configuration.Endpoint) EngineState {
	return EngineState{
		Name:               e.Name,
		Zone:               e.Zone,
		Role:               e.Role,
		Build:              e.Build,
		Slots:              e.Slots,
		Pieces:             e.MemoryPieces,
		PieceTokens:        e.PieceTokens,
		LinkBytesPerSecond: e.LinkBytesPerSecond,
	}
}

// usable reports whether the engine takes new work.
func (s *EngineState) usable() bool { return !s.Leaving && !s.Ejected }

// slotLimit returns the number of slots that grants may use.
func (s *EngineState) slotLimit() int {
	if s.SlotLimit > 0 {
		return min(s.SlotLimit, s.Slots)
	}
	return s.Slots
}

// piecesFor returns the number of memory pieces needed for a number of tokens.
func (s *EngineState) piecesFor(tokens int) int {
	if s.Pieces == 0 || s.PieceTokens <= 0 {
		return 0
	}
	return (tokens + s.PieceTokens - 1) / s.PieceTokens
}

// pool is the set of engines of one model, split by role. Engines that left
// stay in byName while holdings refer to them.
type pool struct {
	byName  map[string]*engineInfo
	prefill []*engineInfo
	decode  []*engineInfo
}

func newPool() *pool {
	return &pool{byName: make(map[string]*engineInfo)}
}

// set replaces the engines' states. Known engines keep their holdings and
// corrections.
func (p *pool) set(states []EngineState) {
	listed := make(map[string]bool, len(states))
	p.prefill = p.prefill[:0]
	p.decode = p.decode[:0]
	for _, state := range states {
		listed[state.Name] = true
		e := p.get(state.Name)
		e.EngineState = state
		p.add(e)
	}
	for name, e := range p.byName {
		if !listed[name] && e.idle() {
			delete(p.byName, name)
		}
		if !listed[name] {
			e.Leaving = true
		}
	}
}

func (p *pool) add(e *engineInfo) {
	byName := func(x, y *engineInfo) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	}
	if e.Role == configuration.RolePrefill {
		p.prefill = append(p.prefill, e)
		slices.SortFunc(p.prefill, byName)
		return
	}
	p.decode = append(p.decode, e)
	slices.SortFunc(p.decode, byName)
}

// get returns the record of an engine. It creates one for an engine that only a
// holder knows, for example one that left the configuration.
func (p *pool) get(name string) *engineInfo {
	e, ok := p.byName[name]
	if !ok {
		e = newEngineInfo(name)
		p.byName[name] = e
	}
	return e
}

// engineInfo is the coordinator's record of one engine: the holdings on it and
// the corrections of the model's figures by its observed speed.
type engineInfo struct {
	EngineState
	// held are the holdings with a decode slot or a pending one, in the order
	// of their grants.
	held []*holding
	// slotsHeld and piecesHeld count the holdings whose slot is not pending.
	slotsHeld    int
	piecesHeld   int
	pendingSlots int
	// strictest is the shortest between-token target on the engine; 0 if none.
	strictest time.Duration
	// running are the prefills in flight in the order of their grants.
	running []*holding
	// transfers are the holdings whose KV cache will cross the engine's link.
	transfers []*holding
	// prefillPieces is the memory of prefills in flight or not yet transferred,
	// in pieces.
	prefillPieces int
	// reportedLeaving is set if the engine's last load report says that it is
	// leaving. EngineState.Leaving may lag behind it.
	reportedLeaving bool
	// untracked is the number of reported active requests that match no
	// holding.
	untracked int
	// released are the times of recent releases, which lagging load reports
	// may still count as active.
	released []time.Time

	// lastPrefill is the time of the last grant on a prefill engine.
	lastPrefill time.Time
	// lastDone is when the last prefill was reported as done.
	lastDone time.Time
	// cacheInDoubt is set if an eviction may have been missed.
	cacheInDoubt bool

	cooldown engineCooldown
	growths  growthCache
	// declines are the times at which the engine declined answers, see declineMemory.
	declines []time.Time
	// pacer spreads the calls to the engine if it takes a limited number.
	pacer pacing.Pacer

	prefillRatio ewma
	linkRatio    ewma
	decodeRatio  ewma

	// stated tracks the slowdowns that the engine states, and slowdown is the current estimate,
	// 0 if it states none.
	stated   slowdown.Tracker
	slowdown float64
}

// observeSlowdown records a slowdown that the engine stated.
func (e *engineInfo) observeSlowdown(now time.Time, factor float64) {
	e.stated.Observe(now, factor)
	e.slowdown = e.stated.Estimate(now)
}

// pace returns the factor by which work on the engine takes longer than usual, 1 if it states
// none.
func (e *engineInfo) pace() float64 {
	if e.slowdown <= 0 {
		return 1
	}
	return e.slowdown
}

// usual returns how long work would have taken at the usual speed. The factor is the one stated
// with the end of the work, 0 if there was none.
func (e *engineInfo) usual(elapsed time.Duration, stated float64) time.Duration {
	if stated <= 0 {
		stated = e.pace()
	}
	return time.Duration(float64(elapsed) / stated)
}

func newEngineInfo(name string) *engineInfo {
	return &engineInfo{EngineState: EngineState{Name: name}}
}

// updateLimit puts the engine's limit in force.
func (e *engineInfo) updateLimit(now time.Time) {
	began := !e.pacer.Limited() && e.Limit > 0
	e.pacer.SetRate(now, e.Limit)
	if began && e.LimitStagger > 0 {
		e.pacer.Stagger(now, e.LimitStagger)
	}
}

// idle reports whether nothing is held on the engine.
func (e *engineInfo) idle() bool {
	return len(e.held) == 0 && len(e.running) == 0 && len(e.transfers) == 0
}

// freeSlots returns the slots that may be granted now.
func (e *engineInfo) freeSlots() int {
	return min(e.slotLimit(), e.Slots-e.untracked) - e.slotsHeld - e.pendingSlots
}

// freePieces returns the memory that may be granted now.
func (e *engineInfo) freePieces() int { return e.Pieces - e.piecesHeld }

// memoryFits reports whether the pieces can be granted on a decode engine now.
func (e *engineInfo) memoryFits(pieces int) bool {
	return e.Pieces == 0 || pieces <= e.freePieces()
}

// observeLoad derives the number of requests that run on the engine without a
// holding. A report may lag, but it counts at most the current holdings and
// those released within the lag. Any excess is untracked, for example attempts
// of a failed VM.
func (e *engineInfo) observeLoad(now time.Time, report engine.LoadReport) {
	e.dropOldReleases(now)
	tracked := e.slotsHeld + e.pendingSlots + len(e.released)
	e.untracked = max(0, report.Active-tracked)
	e.reportedLeaving = report.Leaving
}

// usable reports whether the engine takes new work.
func (e *engineInfo) usable() bool {
	return e.EngineState.usable() && !e.reportedLeaving && !e.cooldown.active
}

// leaving reports whether the engine takes no new work any more, as opposed to an
// engine that is excluded for a time.
func (e *engineInfo) leaving() bool {
	return e.Leaving || e.reportedLeaving || e.cooldown.leaving
}

// dropOldReleases drops releases older than the lag of load reports.
func (e *engineInfo) dropOldReleases(now time.Time) {
	horizon := now.Add(-loadReportLag)
	e.released = slices.DeleteFunc(e.released, func(t time.Time) bool { return t.Before(horizon) })
}

// refreshStrictest recomputes the shortest between-token target.
func (e *engineInfo) refreshStrictest() {
	e.strictest = 0
	for _, h := range e.held {
		e.strictest = stricter(e.strictest, h.between)
	}
}

// stricter returns the shorter of two targets; 0 means no target.
func stricter(x, y time.Duration) time.Duration {
	if x == 0 {
		return y
	}
	if y == 0 {
		return x
	}
	return min(x, y)
}
