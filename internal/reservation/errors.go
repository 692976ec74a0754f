package reservation

import (
	"errors"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

var namespace = errorx.NewNamespace("reservation").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of reservations and heartbeats. None of them means that any part
// of the request ran.
var (
	// NotOwner means that the called VM does not own the model.
	NotOwner = namespace.NewType("not-owner")
	// Moved means that the ownership of the model moved while the demand waited.
	Moved = namespace.NewType("moved")
	// OwnerUnreachable means that the owner could not be reached or did not
	// respond.
	OwnerUnreachable = namespace.NewType("owner-unreachable")
	// OwnerSilent means that the owner was not called because it recently did
	// not respond.
	OwnerSilent = namespace.NewType("owner-silent")
	// BadAnswer means that a response could not be interpreted.
	BadAnswer = namespace.NewType("bad-answer")
	// StaleIncarnation means that a heartbeat came from a previous incarnation
	// of its sender.
	StaleIncarnation = namespace.NewType("stale-incarnation")
	// Stopped means that the service is not running.
	Stopped = namespace.NewType("stopped")
)

// connectCode returns the status code with which an error is sent to a peer.
func connectCode(err error) connect.Code {
	switch {
	case errorx.IsOfType(err, NotOwner), errorx.IsOfType(err, StaleIncarnation):
		return connect.CodeFailedPrecondition
	case errorx.IsOfType(err, Moved):
		return connect.CodeAborted
	}
	return connect.CodeOf(err)
}

// errorFromPeer converts the error of a failed call to a peer to its type.
func errorFromPeer(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition:
		return NotOwner.WrapWithNoMessage(err)
	case connect.CodeAborted:
		return Moved.WrapWithNoMessage(err)
	}
	return OwnerUnreachable.WrapWithNoMessage(err)
}

// asRefusal returns the refusal that an error wraps, nil if there is none.
func asRefusal(err error) *scheduling.Refusal {
	var refusal *scheduling.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
