package engine

import "github.com/ospreyshed/ospreyshed/internal/engine"

// CancelState says what a cancel met.
type CancelState string

// The states in the answer to a cancel.
const (
	// CancelStateCancelled: the attempt has ended by a cancel or a closed
	// connection, or will be refused because of an earlier cancel.
	CancelStateCancelled CancelState = "cancelled"
	// CancelStateUnknown: the attempt has not arrived; it will be refused.
	CancelStateUnknown CancelState = "unknown"
	// CancelStateFinished: the attempt had ended by itself.
	CancelStateFinished CancelState = "finished"
)

// Cancel ends an attempt at any stage and frees what it holds.
func (e *Engine) Cancel(id engine.AttemptID) CancelState {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := id.String()
	if a, ok := e.attempts[name]; ok {
		e.release(a, causeCancelled)
		return CancelStateCancelled
	}
	ended, ok := e.endCauses.get(name)
	switch {
	case !ok:
		e.endCauses.set(name, causeCancelled)
		return CancelStateUnknown
	case ended.cancelled():
		return CancelStateCancelled
	default:
		return CancelStateFinished
	}
}

// CancelIncarnation ends all present attempts of an entry VM's incarnation and
// returns their number. Later attempts are served: the VM may have been paused
// and be back.
func (e *Engine) CancelIncarnation(vm string, number uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	owner := incarnation{vm: vm, number: number}
	var owned []*attempt
	for _, a := range e.attempts {
		if a.owner == owner {
			owned = append(owned, a)
		}
	}
	for _, a := range owned {
		e.release(a, causeCancelled)
	}
	return len(owned)
}
