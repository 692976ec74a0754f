package reservation

import (
	"slices"
	"sync"

	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// maxPendingProgress limits the progress reports queued for the owner of one
// route.
const maxPendingProgress = 4096

// holdings are the grants that this VM holds and the progress that it has not
// yet reported to their owners.
type holdings struct {
	mu      sync.Mutex
	byID    map[engine.AttemptID]*holding
	pending map[routeKey][]scheduling.Progress
}

// holding is one granted attempt and the route on which it was granted.
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

// recordProgress updates the phase of an attempt and returns the route on which
// it was granted.
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

// recordDelivered records the number of tokens delivered by an attempt.
func (h *holdings) recordDelivered(id engine.AttemptID, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.byID[id]; ok {
		held.held.Delivered = tokens
	}
}

// forRoute returns the grants held on a route.
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

// keys returns the routes with grants or pending progress.
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

// enqueue queues progress until the owner has received it. Beyond the limit the
// oldest is dropped; the lease of the grant and the next heartbeat make up for
// it.
func (h *holdings) enqueue(key routeKey, progress ...scheduling.Progress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.Concat(h.pending[key], progress)
	if len(list) > maxPendingProgress {
		list = list[len(list)-maxPendingProgress:]
	}
	h.pending[key] = list
}

// requeue puts back progress that an owner did not receive, ahead of later
// progress.
func (h *holdings) requeue(key routeKey, progress []scheduling.Progress) {
	h.mu.Lock()
	later := h.pending[key]
	delete(h.pending, key)
	h.mu.Unlock()
	h.enqueue(key, append(progress, later...)...)
}

// drain removes and returns the pending progress of a route.
func (h *holdings) drain(key routeKey) []scheduling.Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.pending[key]
	delete(h.pending, key)
	return list
}
