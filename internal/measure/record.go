package measure

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/caller"
)

// requestStatus says what became of a request.
type requestStatus string

const (
	// statusAnswered: a whole answer.
	statusAnswered requestStatus = "answered"
	// statusRefused: a refusal by the router.
	statusRefused requestStatus = "refused"
	// statusCutShort: a part of an answer.
	statusCutShort requestStatus = "cut-short"
	// statusUnreachable: no answer from the VM.
	statusUnreachable requestStatus = "unreachable"
	// statusDisconnected: the caller went before the end.
	statusDisconnected requestStatus = "gone"
)

// record is what became of one request. Times count from the intended send time.
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
	// sendDelay is the time by which the request was sent late.
	sendDelay time.Duration
}

// newRecord makes the record of a request that was sent with a delay.
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

// meanBetweenTokens returns the mean time meanBetweenTokens the tokens of the answer.
func (r *record) meanBetweenTokens() time.Duration {
	if len(r.gaps) == 0 {
		return 0
	}
	return (r.wholeAnswer - r.firstToken) / time.Duration(len(r.gaps))
}

// metTargets reports whether the request was answered within all its targets. The
// between-token target bounds the mean over the answer.
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
