package measure

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/caller"
)

// requestStatus is the result of a request as its caller saw it.
type requestStatus string

const (
	// statusAnswered: the answer was complete.
	statusAnswered requestStatus = "answered"
	// statusRefused: the router refused the request.
	statusRefused requestStatus = "refused"
	// statusCutShort: the answer ended before it was complete.
	statusCutShort requestStatus = "cut-short"
	// statusUnreachable: the VM gave no answer.
	statusUnreachable requestStatus = "unreachable"
	// statusDisconnected: the caller disconnected before the end, as planned.
	statusDisconnected requestStatus = "gone"
)

// record is the result of one request. firstToken and wholeAnswer count from the
// intended send time.
type record struct {
	*plannedRequest
	status      requestStatus
	requestID   string
	outcome     string
	problem     string
	detail      string
	text        string
	body        []byte
	firstToken  time.Duration
	wholeAnswer time.Duration
	gaps        []time.Duration
	// sendDelay is the time from the intended to the actual send time.
	sendDelay time.Duration
}

// newRecord returns the record of a request that was sent with a delay. If
// disconnects is set, its caller was to disconnect before the end of the answer.
func newRecord(r *plannedRequest, delay time.Duration, answer *caller.Answer, err error, disconnects bool) record {
	rec := record{
		plannedRequest: r,
		sendDelay:      delay,
		requestID:      answer.RequestID,
		outcome:        answer.Outcome,
		problem:        answer.Problem,
		detail:         answer.Detail,
		text:           answer.Text,
		body:           answer.Body,
		gaps:           answer.Gaps,
		wholeAnswer:    answer.Whole + delay,
		status:         statusOf(answer, err, disconnects),
	}
	if answer.Tokens > 0 {
		rec.firstToken = answer.FirstToken + delay
	}
	return rec
}

func statusOf(answer *caller.Answer, err error, disconnects bool) requestStatus {
	switch {
	case err == nil && answer.OK():
		return statusAnswered
	case err == nil:
		return statusRefused
	case disconnects:
		return statusDisconnected
	case errorx.IsOfType(err, caller.CutShort):
		return statusCutShort
	default:
		return statusUnreachable
	}
}

// meanBetweenTokens returns the mean time between the tokens of the answer.
func (r *record) meanBetweenTokens() time.Duration {
	if len(r.gaps) == 0 {
		return 0
	}
	return (r.wholeAnswer - r.firstToken) / time.Duration(len(r.gaps))
}

// metTargets reports whether the request was answered within all targets of its
// class. The between-token target applies to the mean over the answer.
func (r *record) metTargets() bool {
	if r.status != statusAnswered {
		return false
	}
	targets := &r.class.Targets
	return within(r.firstToken, targets.FirstToken.D()) &&
		within(r.meanBetweenTokens(), targets.BetweenTokens.D()) &&
		within(r.wholeAnswer, targets.WholeAnswer.D())
}

func within(value, target time.Duration) bool { return target == 0 || value <= target }
