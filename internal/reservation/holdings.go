package reservation

import (
	"slices"
	"sync"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// pendingLimit bounds the progress that waits for an owner.
const maxPendingProgress = 4096

// holdings is what this VM holds and what it has still to report.
type holdings struct {
	mu      sync.Mutex
	byID    map[engine.AttemptID]*holding
	pending map[routeKey][]scheduling.Progress
}

// holding is one granted attempt and where it was granted.
type holding struct {
	key  routeKey
	held scheduling.Held
}

func newHoldings() *holdings {
	return &holdings{
		byID:    make(map[engine.AttemptID]*holding),
		pending: make(map[routeKey][]scheduling.Progress),
	}
}

// add records a grant.
func (h *holdings) add(key routeKey, d *scheduling.Demand, grant scheduling.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byID[d.ID] = &holding{key: key, held: scheduling.Held{
		ID:            d.ID,
		Team:          d.Team,
		Class:         d.Class,
		Prefill:       grant.Prefill,
		Decode:        grant.Decode,
		PromptTokens:  d.PromptTokens,
		OutputTokens:  d.OutputTokens,
		BetweenTokens: d.Targets.BetweenTokens.D(),
	}}
}

// track follows the phase of an attempt and returns where it was granted.
func (h *holdings) recordProgress(p scheduling.Progress) (routeKey, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.byID[p.ID]
	if !ok {
		return routeKey{}, false
	}
	switch p.Kind {
	case scheduling.PrefillDone:
		held.held.Phase = max(held.held.Phase, scheduling.PhaseTransfer)
	case scheduling.FirstTokenSeen:
		held.held.Phase = scheduling.PhaseDecode
	case scheduling.Released:
		delete(h.byID, p.ID)
	}
	return held.key, true
}

// delivered records the tokens delivered by an attempt.
func (h *holdings) recordDelivered(id engine.AttemptID, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.byID[id]; ok {
		held.held.Delivered = tokens
	}
}

// of returns what is held of a model in a zone.
func (h *holdings) forRoute(key routeKey) []scheduling.Held {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []scheduling.Held
	for _, held := range h.byID {
		if held.key == key {
			list = append(list, held.held)
		}
	}
	return list
}

// keys returns the models and zones of which anything is held or pending.
func (h *holdings) keys() []routeKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[routeKey]bool)
	for _, held := range h.byID {
		seen[held.key] = true
	}
	for key := range h.pending {
		seen[key] = true
	}
	keys := make([]routeKey, 0, len(seen))
	for key := range seen {
		keys = append(keys, key)
	}
	return keys
}

// postpone keeps progress until the owner has taken it. The oldest is dropped
// beyond the limit; the lease and the next heartbeat make up for it.
func (h *holdings) enqueue(key routeKey, progress ...scheduling.Progress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.Concat(h.pending[key], progress)
	if len(list) > maxPendingProgress {
		list = list[len(list)-maxPendingProgress:]
	}
	h.pending[key] = list
}

// restore puts progress back that an owner did not take.
func (h *holdings) requeue(key routeKey, progress []scheduling.Progress) {
	h.mu.Lock()
	later := h.pending[key]
	delete(h.pending, key)
	h.mu.Unlock()
	h.enqueue(key, append(progress, later...)...)
}

// take returns and removes the pending progress of a model.
func (h *holdings) drain(key routeKey) []scheduling.Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.pending[key]
	delete(h.pending, key)
	return list
}
