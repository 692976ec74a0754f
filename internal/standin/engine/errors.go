package engine

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("standin-engine").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors that refuse an attempt. In all of them nothing ran.
var (
	// Invalid means that the call can never run.
	Invalid = namespace.NewType("invalid")
	// UnknownModel means that the engine does not serve the model.
	UnknownModel = namespace.NewType("unknown-model")
	// Cancelled means that the attempt was cancelled before it ran, or that its
	// id is in use.
	Cancelled = namespace.NewType("cancelled")
	// Evicted means that the KV cache of the prefill is gone.
	Evicted = namespace.NewType("evicted")
	// Busy means that the engine's queue is full or that it is in the other role.
	Busy = namespace.NewType("busy")
	// Leaving means that the engine takes no new attempts.
	Leaving = namespace.NewType("leaving")
)
