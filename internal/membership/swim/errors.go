package swim

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("membership").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors of messages that are dropped.
var (
	// Forged means that a message claims to be from another VM than its sender.
	Forged = namespace.NewType("forged")
	// Replayed means that a message was received before.
	Replayed = namespace.NewType("replayed")
	// Stale means that a message is from a former incarnation.
	Stale = namespace.NewType("stale")
	// Oversized means that a message exceeds a bound.
	Oversized = namespace.NewType("oversized")
	// Malformed means that a message is not well-formed.
	Malformed = namespace.NewType("malformed")
	// Unlisted means that the configuration does not name the sender.
	Unlisted = namespace.NewType("unlisted")
	// Busy means that too many indirect pings are in flight.
	Busy = namespace.NewType("busy")
)
