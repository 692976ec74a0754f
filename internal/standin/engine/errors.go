package engine

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("standin-engine").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors with which the engine rejects attempts. No part of a rejected
// attempt has run.
var (
	// Invalid means that the call is malformed or can never run.
	Invalid = namespace.NewType("invalid")
	// UnknownModel means that the engine does not serve the model.
	UnknownModel = namespace.NewType("unknown-model")
	// Cancelled means that the attempt was cancelled before it ran, or that its
	// id is in use. importKV also returns it for an attempt that ends before
	// the import is complete; that error is not sent.
	Cancelled = namespace.NewType("cancelled")
	// Evicted means that the KV cache of the prefill is gone.
	Evicted = namespace.NewType("evicted")
	// Busy means that the engine's queue is full, or that the engine has the other
	// role or carries out an order.
	Busy = namespace.NewType("busy")
	// Leaving means that the engine is leaving and admits no new attempts.
	Leaving = namespace.NewType("leaving")
)
