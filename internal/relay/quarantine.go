package relay

import (
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/quarantine"
)

// The reasons why a request is not sent to another engine: engines crash on a part of its prompt, or on
// the request itself whenever it comes.
const (
	reasonQuarantined = "a part of the prompt is in quarantine: engines crashed on it"
	reasonCrashing    = "the request is in quarantine: engines crashed on it"
)

// errHeldBack means that a request must not be sent to another engine because engines crash on it.
var errHeldBack = errors.New("engines crash on the request or on a part of its prompt")

// Quarantine finds the requests and the parts of prompts on which engines crash. It is implemented by
// quarantine.Service.
type Quarantine interface {
	Request(service string, identity quarantine.Identity, parts []string) *quarantine.Request
}

// sharedParts returns the parts of a request's prompt that other prompts may have.
func sharedParts(request *Request) []string {
	if request.Generation == nil {
		return nil
	}
	return request.Generation.SharedParts
}

// heldBack reports whether the request must not be sent to an endpoint, because its key is no longer
// accepted or engines crash on it. It records the refusal.
func (r *Relay) heldBack(x *exchange) bool {
	if r.mayBeCutOff(x) {
		x.refusal, x.retryAfter = stoppingRefusal.Reason, stoppingRefusal.RetryAfter
		return true
	}
	if r.keyRejected(x) {
		return true
	}
	hold, held := x.suspect.Held()
	if !held {
		return false
	}
	reason := reasonQuarantined
	if hold.Whole {
		reason = reasonCrashing
	}
	if x.obstacle != reason {
		r.Counters.HeldBack.Add(1)
	}
	x.obstacle, x.refusal, x.retryAfter = reason, reason, hold.RetryAfter
	r.decide(x, "request held back", logrus.Fields{"parts": hold.Parts, "crashes": hold.Crashes, "identity": x.identity})
	return true
}
