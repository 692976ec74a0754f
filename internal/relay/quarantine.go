package relay

import (
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/quarantine"
)

// reasonQuarantined is the reason why a request with a part on which engines crash is not
// sent to another engine.
const reasonQuarantined = "a part of the prompt is in quarantine: engines crashed on it"

// errHeldBack means that a request must not be sent to another engine because of its prompt.
var errHeldBack = errors.New(reasonQuarantined)

// Quarantine finds the parts of prompts on which engines crash. It is implemented by
// quarantine.Service.
type Quarantine interface {
	Request(service string, parts []string) *quarantine.Request
}

// heldBack reports whether the request must not be sent to an engine because of a part of
// its prompt. It records the refusal.
func (r *Relay) heldBack(g *generation) bool {
	hold, held := g.suspect.Held()
	if !held {
		return false
	}
	if g.obstacle != reasonQuarantined {
		r.Counters.HeldBack.Add(1)
	}
	g.obstacle, g.refusal, g.retryAfter = reasonQuarantined, reasonQuarantined, hold.RetryAfter
	r.decide(g.exchange, "request held back", logrus.Fields{"parts": hold.Parts, "crashes": hold.Crashes})
	return true
}
