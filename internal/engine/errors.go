package engine

import "github.com/joomcode/errorx"

// NotRun is the trait of errors after which it is certain that the engine did
// not start the call.
var NotRun = errorx.RegisterTrait("not-run")

var namespace = errorx.NewNamespace("engine").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors that engine clients return. Test with errorx.IsOfType, and
// with errorx.HasTrait(err, NotRun) for whether anything ran.
var (
	// Busy means that the engine had no slot or memory.
	Busy = namespace.NewType("busy", NotRun)
	// Evicted means that the KV cache of the prefill no longer exists.
	Evicted = namespace.NewType("evicted", NotRun)
	// Leaving means that the engine is leaving and accepts no new work.
	Leaving = namespace.NewType("leaving", NotRun)
	// BadRequest means that the engine rejected the request body; a retry would fail
	// again.
	BadRequest = namespace.NewType("bad-request", NotRun)
	// Cancelled means that the attempt was cancelled, before the call arrived or while it
	// ran. Nothing is left running.
	Cancelled = namespace.NewType("cancelled")
	// Unreachable means that no connection could be made, so no byte was sent.
	Unreachable = namespace.NewType("unreachable", NotRun)
	// Unavailable means that the engine failed after bytes may have reached it.
	Unavailable = namespace.NewType("unavailable")
	// CutShort means that a stream ended before its terminal event.
	CutShort = namespace.NewType("cut-short")
	// Crossed means that a response belonged to another attempt.
	Crossed = namespace.NewType("crossed")
	// StaleFencing means that the engine refused an order because it has seen a
	// higher fencing number.
	StaleFencing = namespace.NewType("stale-fencing", NotRun)
	// BadAttemptID means that a string is not an attempt id.
	BadAttemptID = namespace.NewType("bad-attempt-id")
)
