package reservation

import (
	"errors"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

var namespace = errorx.NewNamespace("reservation").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors between entry VMs. None of them means that anything ran.
var (
	// NotOwner means that the VM asked does not own the model.
	NotOwner = namespace.NewType("not-owner")
	// Moved means that the ownership moved while the demand waited.
	Moved = namespace.NewType("moved")
	// OwnerUnreachable means that the owner gave no answer.
	OwnerUnreachable = namespace.NewType("owner-unreachable")
	// OwnerSilent means that the owner was not asked, because it did not answer
	// shortly before.
	OwnerSilent = namespace.NewType("owner-silent")
	// BadAnswer means that an answer could not be understood.
	BadAnswer = namespace.NewType("bad-answer")
	// StaleIncarnation means that a heartbeat came from a former incarnation.
	StaleIncarnation = namespace.NewType("stale-incarnation")
	// Stopped means that the service does not run.
	Stopped = namespace.NewType("stopped")
)

// codeOf returns the status that carries an error to a peer.
func connectCode(err error) connect.Code {
	switch {
	case errorx.IsOfType(err, NotOwner), errorx.IsOfType(err, StaleIncarnation):
		return connect.CodeFailedPrecondition
	case errorx.IsOfType(err, Moved):
		return connect.CodeAborted
	}
	return connect.CodeOf(err)
}

// fromPeer returns the typed error of a call that failed.
func errorFromPeer(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition:
		return NotOwner.WrapWithNoMessage(err)
	case connect.CodeAborted:
		return Moved.WrapWithNoMessage(err)
	}
	return OwnerUnreachable.WrapWithNoMessage(err)
}

// asRefusal returns the refusal in an error, nil if there is none.
func asRefusal(err error) *scheduling.Refusal {
	var refusal *scheduling.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
