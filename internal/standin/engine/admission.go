package engine

import (
	"slices"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// admit registers an attempt and adds it to the queue of its role. If it rejects
// the attempt, it returns an error of one of the types of this package.
func (e *Engine) admit(a *attempt, model string, role configuration.Role) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Received[a.id]++
	if err := e.admissionError(a, model, role); err != nil {
		return err
	}
	e.attempts[a.id] = a
	a.arrivalSeq = e.nextArrivalSeq
	e.nextArrivalSeq++
	queue := e.queue(role)
	e.enqueue(queue, a)
	e.dispatch()
	if a.stage == stageQueued && len(*queue) > e.options.QueueLimit {
		e.release(a, causeRefused)
		e.counts.RefusedBusy++
		return Busy.New("no slot or memory, and the queue is full")
	}
	e.recordLoad()
	return nil
}

// admissionError returns the reason to reject an attempt, nil if there is none.
func (e *Engine) admissionError(a *attempt, model string, role configuration.Role) error {
	if e.faults.Leaving {
		e.counts.AfterLeaving++
		return Leaving.New("the engine is leaving")
	}
	if e.isCancelledOrRunning(a) {
		e.counts.RefusedCancelled++
		return Cancelled.New("attempt %s was cancelled or is running", a.id)
	}
	current := e.state.current()
	if model != current.Model {
		return UnknownModel.New("model %q is not served here", model)
	}
	if role != current.Role || e.state.busy() {
		e.counts.RefusedBusy++
		return Busy.New("the engine is not in the role %s", role)
	}
	if e.options.MemoryPieces > 0 && a.pieces > e.options.MemoryPieces {
		return Invalid.New("%d memory pieces are needed, the engine has %d", a.pieces, e.options.MemoryPieces)
	}
	return nil
}

// isCancelledOrRunning reports whether an attempt with the same id was cancelled
// or has not ended.
func (e *Engine) isCancelledOrRunning(a *attempt) bool {
	if _, running := e.attempts[a.id]; running {
		return true
	}
	endCause, ok := e.endCauses.get(a.id)
	return ok && endCause.cancelled()
}

func (e *Engine) queue(role configuration.Role) *[]*attempt {
	if role == configuration.RolePrefill {
		return &e.prefillQueue
	}
	return &e.decodeQueue
}

func (e *Engine) enqueue(queue *[]*attempt, a *attempt) {
	i, _ := slices.BinarySearchFunc(*queue, a, compareAttempts)
	*queue = slices.Insert(*queue, i, a)
}

// dispatch starts queued attempts in order while there is free memory and, for
// decode, a free slot. Only one prefill runs at a time.
func (e *Engine) dispatch() {
	for len(e.prefillQueue) > 0 && e.prefilling == nil && e.fits(e.prefillQueue[0]) {
		a := e.prefillQueue[0]
		e.prefillQueue = e.prefillQueue[1:]
		e.prefilling = a
		e.startAttempt(a, stagePrefill)
	}
	for len(e.decodeQueue) > 0 && e.slotsUsed < e.options.Slots && e.fits(e.decodeQueue[0]) {
		a := e.decodeQueue[0]
		e.decodeQueue = e.decodeQueue[1:]
		e.slotsUsed++
		e.startAttempt(a, stageImport)
	}
}

// fits reports whether there is enough free memory for an attempt.
func (e *Engine) fits(a *attempt) bool {
	return e.options.MemoryPieces <= 0 || e.piecesHeld+a.pieces <= e.options.MemoryPieces
}

// startAttempt moves an attempt that was removed from its queue to the next stage
// and allocates its memory.
func (e *Engine) startAttempt(a *attempt, next stage) {
	a.stage = next
	e.piecesHeld += a.pieces
	close(a.ready)
}
