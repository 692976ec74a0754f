package relay

import (
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// The reasons why an endpoint's response must not reach the caller.
const (
	reasonPromise  = "the status promises that the request has not run, which the endpoint does not state"
	reasonUnsigned = "a success without the endpoint's signature or with an encoded body"
)

// untrusted is an InDoubt because the response must not reach the caller.
var untrusted = upstream.InDoubt.NewSubtype("untrusted")

// distrust returns why a response must not reach the caller, empty if it may. A request that may run
// again is answered with any status: nothing follows from the promise, and the caller reads when to retry.
func (x *exchange) distrust(verdict *Verdict) string {
	switch {
	case verdict.NotRun:
		return ""
	case verdict.Unsigned:
		return reasonUnsigned
	case verdict.PromisesNotRun && x.route.RunsOnce():
		return reasonPromise
	}
	return ""
}

// checkTrust counts and logs a response that must not reach the caller. The error then is untrusted.
func (r *Relay) checkTrust(x *exchange, from *configuration.Endpoint, response *upstream.Response, verdict *Verdict) error {
	reason := x.distrust(verdict)
	if reason == "" {
		return nil
	}
	counter := &r.Counters.Promises
	if reason == reasonUnsigned {
		counter = &r.Counters.Unsigned
	}
	counter.Add(1)
	r.decide(x, "answer not trusted", logrus.Fields{"endpoint": from.Name, "status": response.Status, "reason": reason})
	return untrusted.New("%s answered with status %d: %s", from.Name, response.Status, reason)
}
