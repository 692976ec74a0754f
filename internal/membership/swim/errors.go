package swim

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("membership").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of dropped messages.
var (
	// Forged means that a message names a sender other than the VM that sent it.
	Forged = namespace.NewType("forged")
	// Replayed means that a message was already received.
	Replayed = namespace.NewType("replayed")
	// Stale means that a message is from a previous incarnation.
	Stale = namespace.NewType("stale")
	// Oversized means that a message exceeds a size limit.
	Oversized = namespace.NewType("oversized")
	// Malformed means that a message has an invalid sender.
	Malformed = namespace.NewType("malformed")
	// Unlisted means that the sender is not accepted as a member: the configuration
	// does not name it in its zone, it has left, or there are too many members.
	Unlisted = namespace.NewType("unlisted")
	// Busy means that too many indirect pings are in flight.
	Busy = namespace.NewType("busy")
)
