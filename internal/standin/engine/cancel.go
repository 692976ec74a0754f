package engine

import "github.com/ospreyshed/ospreyshed/internal/engine"

// CancelState is the state of an attempt that a cancel call found.
type CancelState string

// States in the response to a cancel call.
const (
	// CancelStateCancelled: the attempt was ended by a cancel call or a closed
	// connection, or will be rejected because of an earlier cancel call.
	CancelStateCancelled CancelState = "cancelled"
	// CancelStateUnknown: the attempt has not arrived; it will be rejected if it
	// does.
	CancelStateUnknown CancelState = "unknown"
	// CancelStateFinished: the attempt had already ended for another reason.
	CancelStateFinished CancelState = "finished"
)

// Cancel ends an attempt at any stage and frees its resources. An attempt that has
// not arrived will be rejected.
func (e *Engine) Cancel(id engine.AttemptID) CancelState {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := id.String()
	if a, ok := e.attempts[name]; ok {
		e.release(a, causeCancelled)
		return CancelStateCancelled
	}
	endCause, ok := e.endCauses.get(name)
	switch {
	case !ok:
		e.endCauses.set(name, causeCancelled)
		return CancelStateUnknown
	case endCause.cancelled():
		return CancelStateCancelled
	default:
		return CancelStateFinished
	}
}

// CancelIncarnation ends all current attempts of an entry VM's incarnation and
// returns their number. Later attempts are still served, because the VM may only
// have been paused.
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
