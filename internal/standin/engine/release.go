package engine

import "slices"

// release ends an attempt and frees its resources. Only the first call for an
// attempt has an effect.
func (e *Engine) release(a *attempt, why cause) {
	if a.released {
		return
	}
	a.released = true
	a.cause = why
	e.removeFromStage(a)
	if a.stage != stageQueued {
		e.piecesHeld -= a.pieces
	}
	delete(e.attempts, a.id)
	if why != causeRefused {
		e.endCauses.set(a.id, why)
	}
	if why.cancelled() {
		e.counts.Cancelled++
	}
	close(a.ended)
	e.dispatch()
	e.recordLoad()
}

// removeFromStage removes an attempt from the data structures of its stage and
// frees its slot.
func (e *Engine) removeFromStage(a *attempt) {
	same := func(other *attempt) bool { return other == a }
	switch a.stage {
	case stageQueued:
		e.prefillQueue = slices.DeleteFunc(e.prefillQueue, same)
		e.decodeQueue = slices.DeleteFunc(e.decodeQueue, same)
	case stagePrefill:
		e.prefilling = nil
	case stageKept:
		e.dropKept(a)
	case stageImport:
		e.slotsUsed--
	case stageDecode:
		e.slotsUsed--
		e.batch = slices.DeleteFunc(e.batch, same)
	}
}

// end is release for callers that do not hold the lock.
func (e *Engine) end(a *attempt, why cause) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(a, why)
}
