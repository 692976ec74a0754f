package scheduling

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// Phase is the stage that a granted attempt has reached.
type Phase int

// The phases of a granted attempt.
const (
	// PhasePrefill lasts from the grant to the end of the prefill.
	PhasePrefill Phase = iota
	// PhaseTransfer lasts to the first token.
	PhaseTransfer
	// PhaseDecode lasts to the release.
	PhaseDecode
)

// Held is a holder's record of one granted attempt. Heartbeats carry it, so
// that a new owner can rebuild the ledger from the holders alone.
type Held struct {
	ID              engine.AttemptID
	Team, Class     string
	Prefill, Decode string
	Phase           Phase
	PromptTokens    int
	OutputTokens    int
	// Delivered is the number of tokens delivered by this attempt so far.
	Delivered     int
	BetweenTokens time.Duration
}

// holding is the ledger's entry of one granted attempt.
type holding struct {
	id      engine.AttemptID
	key     classKey
	grant   Grant
	prefill *engineInfo
	decode  *engineInfo
	phase   Phase
	// slotPending is set while the decode slot is not free yet.
	slotPending  bool
	promptTokens int
	outputTokens int
	delivered    int
	pieces       int
	deliveredAt  time.Time
	blocks       []uint64
	// cached is the number of prompt tokens that were expected in the prefix
	// cache.
	cached        int
	prefillPieces int
	between       time.Duration
	// work is the predicted duration of the prefill without waiting.
	work time.Duration
	// prefillEngineIdle is set if no other prefill occupied the engine at the
	// time of the grant.
	prefillEngineIdle bool
	granted           time.Time
	prefillEnd        time.Time
	transferEnd       time.Time
	decodeStart       time.Time
	renewed           time.Time
}

// ledger holds all granted attempts of the pool.
type ledger struct {
	holdings   map[engine.AttemptID]*holding
	tombstones map[engine.AttemptID]time.Time
	// nextExpiry is a lower bound on the ends of all leases.
	nextExpiry time.Time
}

func newLedger() *ledger {
	return &ledger{
		holdings:   make(map[engine.AttemptID]*holding),
		tombstones: make(map[engine.AttemptID]time.Time),
	}
}

// add records a granted attempt on its engines.
func (l *ledger) add(h *holding) {
	l.holdings[h.id] = h
	l.lowerNextExpiry(h.renewed.Add(GrantLease))
	if h.phase == PhasePrefill {
		h.prefill.running = append(h.prefill.running, h)
	}
	if h.phase != PhaseDecode {
		h.prefill.prefillPieces += h.prefillPieces
		h.prefill.transfers = append(h.prefill.transfers, h)
		h.decode.transfers = append(h.decode.transfers, h)
	}
	h.decode.held = append(h.decode.held, h)
	h.decode.strictest = stricter(h.decode.strictest, h.between)
	if h.slotPending {
		h.decode.pendingSlots++
		return
	}
	h.decode.slotsHeld++
	h.decode.piecesHeld += h.pieces
}

// remove releases an attempt's resources on its engines. reported is set if the
// holder reported the release, after which the engine soon stops counting the
// attempt.
func (l *ledger) remove(now time.Time, h *holding, reported bool) {
	delete(l.holdings, h.id)
	l.tombstones[h.id] = now
	l.endPrefill(h)
	l.endTransfer(h)
	d := h.decode
	d.held = without(d.held, h)
	if h.slotPending {
		d.pendingSlots--
	} else {
		d.slotsHeld--
		d.piecesHeld -= h.pieces
	}
	if reported {
		d.released = append(d.released, now)
	}
	d.refreshStrictest()
	l.promote(d)
}

// promote assigns free slots to holdings with a pending slot, in the order of
// their grants.
func (l *ledger) promote(d *engineInfo) {
	for _, h := range d.held {
		if d.pendingSlots == 0 || d.slotsHeld >= min(d.slotLimit(), d.Slots-d.untracked) {
			return
		}
		if !h.slotPending || !d.memoryFits(h.pieces) {
			continue
		}
		h.slotPending = false
		d.pendingSlots--
		d.slotsHeld++
		d.piecesHeld += h.pieces
	}
}

// endPrefill takes the prefill off the list of those that run on the prefill
// engine.
func (l *ledger) endPrefill(h *holding) {
	h.prefill.running = without(h.prefill.running, h)
}

// endTransfer frees the links and the memory of the prefill engine.
func (l *ledger) endTransfer(h *holding) {
	before := len(h.prefill.transfers)
	h.prefill.transfers = without(h.prefill.transfers, h)
	if len(h.prefill.transfers) == before {
		return
	}
	h.prefill.prefillPieces -= h.prefillPieces
	h.decode.transfers = without(h.decode.transfers, h)
}

// lowerNextExpiry lowers nextExpiry to a time if that is earlier.
func (l *ledger) lowerNextExpiry(t time.Time) {
	if l.nextExpiry.IsZero() || t.Before(l.nextExpiry) {
		l.nextExpiry = t
	}
}

// expire removes the holdings whose lease ended and returns their number.
func (l *ledger) expire(now time.Time) int {
	if l.nextExpiry.IsZero() || now.Before(l.nextExpiry) {
		return 0
	}
	expired := 0
	l.nextExpiry = time.Time{}
	for _, h := range l.sorted() {
		end := h.renewed.Add(GrantLease)
		if now.Before(end) {
			l.lowerNextExpiry(end)
			continue
		}
		l.remove(now, h, false)
		// An expired attempt may be adopted again when its holder resumes its
		// heartbeats.
		delete(l.tombstones, h.id)
		expired++
	}
	l.dropOldTombstones(now)
	return expired
}

// dropOldTombstones removes the tombstones that are older than tombstoneTTL.
func (l *ledger) dropOldTombstones(now time.Time) {
	for id, at := range l.tombstones {
		if now.Sub(at) > tombstoneTTL {
			delete(l.tombstones, id)
		}
	}
}

// sorted returns the holdings in the order of their ids, so that decisions do
// not depend on the order of a map.
func (l *ledger) sorted() []*holding {
	all := make([]*holding, 0, len(l.holdings))
	for _, h := range l.holdings {
		all = append(all, h)
	}
	slices.SortFunc(all, func(x, y *holding) int { return compareIDs(x.id, y.id) })
	return all
}

// without returns the list without one element and keeps the order.
func without(list []*holding, h *holding) []*holding {
	if i := slices.Index(list, h); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
