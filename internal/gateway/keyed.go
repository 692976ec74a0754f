package gateway

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/claim"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/forward"
	"github.com/ospreyshed/ospreyshed/internal/problem"
)

const (
	// claimRetryAfter is the Retry-After sent while keys cannot be claimed or a
	// service has no endpoint.
	claimRetryAfter = 2 * time.Second

	firstAttemptValue = "1"
)

// idempotencyKey returns the request's idempotency key, empty if there is none or
// the class ignores keys. If a required key is missing, it sends the refusal and
// returns false.
func (g *Gateway) idempotencyKey(x *exchange) (string, bool) {
	key := x.r.Header.Get(KeyHeader)
	switch {
	case x.class.Key == configuration.KeyNone:
		return "", true
	case key == "" && x.class.Key == configuration.KeyRequired:
		g.refuse(x, problem.New(problem.KeyRequired, http.StatusBadRequest, problem.NotRun,
			"the class "+x.class.Name+" requires the header "+KeyHeader))
		return "", false
	}
	return key, true
}

// firstAttempt reports whether the caller states that this is its first attempt
// with the key.
func firstAttempt(r *http.Request) bool { return r.Header.Get(AttemptHeader) == firstAttemptValue }

// claimProblem converts an error of Claims or Answers to a problem. While the
// registry of keys is unavailable, an earlier attempt with the key may have run, so
// the outcome is not-run only for a first attempt.
func claimProblem(err error, first bool) *problem.Details {
	outcome := problem.Unknown
	if first {
		outcome = problem.NotRun
	}
	switch {
	case errorx.IsOfType(err, claim.KeyMalformed):
		return problem.New(problem.KeyMalformed, http.StatusBadRequest, problem.NotRun, err.Error())
	case errorx.IsOfType(err, claim.KeyFuture):
		return problem.New(problem.KeyExpired, http.StatusUnprocessableEntity, problem.NotRun, err.Error())
	case errorx.IsOfType(err, claim.KeyExpired):
		return problem.New(problem.KeyExpired, http.StatusUnprocessableEntity, problem.Unknown, err.Error())
	default:
		detail := "this attempt ran nothing; send the same key again to learn of earlier ones: " + err.Error()
		return problem.New(problem.ClaimUnavailable, http.StatusServiceUnavailable, outcome, detail).WithRetryAfter(claimRetryAfter)
	}
}

// answerRepeat answers a request whose key was claimed by another attempt.
func (g *Gateway) answerRepeat(x *exchange, decision *claim.Decision) {
	if decision.Kind == claim.Recorded {
		g.deliverRecorded(x, decision)
		return
	}
	g.refuse(x, repeatProblem(decision))
}

// deliverRecorded sends the recorded answer of an earlier attempt to the caller.
// If the answer was truncated or too large to be recorded, the caller gets a problem.
func (g *Gateway) deliverRecorded(x *exchange, decision *claim.Decision) {
	answer := decision.Answer
	if answer.BodyDropped || answer.Status == 0 {
		decision.Delivery.Delivered()
		g.refuse(x, problem.New(problem.KeyAnswered, http.StatusConflict, problem.Ran,
			"the call ran; its answer was cut short or too large to be kept"))
		return
	}
	if g.writeReply(x, &forward.Reply{Status: answer.Status, Header: answer.Header, Body: answer.Body}) {
		decision.Delivery.Delivered()
		return
	}
	decision.Delivery.Return()
}

func repeatProblem(decision *claim.Decision) *problem.Details {
	switch decision.Kind {
	case claim.Running:
		return problem.New(problem.KeyRunning, http.StatusConflict, problem.Unknown, "").WithRetryAfter(decision.RetryAfter)
	case claim.Withheld:
		return problem.New(problem.KeyAnswered, http.StatusConflict, problem.Ran,
			"the answer is recorded and cannot be delivered now").WithRetryAfter(decision.RetryAfter)
	case claim.Answered:
		return problem.New(problem.KeyAnswered, http.StatusConflict, problem.Ran, "")
	case claim.ClosedNotRun:
		return problem.New(problem.KeyClosed, http.StatusConflict, problem.NotRun, "use a new key")
	case claim.Elsewhere:
		return problem.New(problem.KeyUnknown, http.StatusConflict, problem.Unknown, "only "+decision.VM+" knows this key")
	default:
		return problem.New(problem.KeyUnknown, http.StatusConflict, problem.Unknown, "")
	}
}
