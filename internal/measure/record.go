package measure

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/caller"
)

// fate says what became of a request.
type fate string

const (
	// fateAnswered: a whole answer.
	fateAnswered fate = "answered"
	// fateRefused: a refusal by the router.
	fateRefused fate = "refused"
	// fateCut: a part of an answer.
	fateCut fate = "cut-short"
	// fateUnreachable: no answer from the VM.
	fateUnreachable fate = "unreachable"
	// fateGone: the caller went before the end.
	fateGone fate = "gone"
)

// record is what became of one request. Times count from the intended send time.
type record struct {
	*planned
	fate       fate
	requestID  string
	outcome    string
	problem    string
	detail     string
	text       string
	body       []byte
	firstToken time.Duration
	whole      time.Duration
	gaps       []time.Duration
	// delay is the time by which the request was sent late.
	delay time.Duration
}

// newRecord makes the record of a request that was sent with a delay.
func newRecord(r *planned, delay time.Duration, answer *caller.Answer, err error, gone bool) record {
	rec := record{
		planned:   r,
		delay:     delay,
		requestID: answer.RequestID,
		outcome:   answer.Outcome,
		problem:   answer.Problem,
		detail:    answer.Detail,
		text:      answer.Text,
		body:      answer.Body,
		gaps:      answer.Gaps,
		whole:     answer.Whole + delay,
		fate:      fateOf(answer, err, gone),
	}
	if answer.Tokens > 0 {
		rec.firstToken = answer.FirstToken + delay
	}
	return rec
}

func fateOf(answer *caller.Answer, err error, gone bool) fate {
	switch {
	case err == nil && answer.OK():
		return fateAnswered
	case err == nil:
		return fateRefused
	case gone:
		return fateGone
	case errorx.IsOfType(err, caller.CutShort):
		return fateCut
	default:
		return fateUnreachable
	}
}

// between returns the mean time between the tokens of the answer.
func (r *record) between() time.Duration {
	if len(r.gaps) == 0 {
		return 0
	}
	return (r.whole - r.firstToken) / time.Duration(len(r.gaps))
}

// good reports whether the request was answered within all its targets. The
// between-token target bounds the mean over the answer.
func (r *record) good() bool {
	if r.fate != fateAnswered {
		return false
	}
	targets := &r.class.Targets
	return within(r.firstToken, targets.FirstToken.D()) &&
		within(r.between(), targets.BetweenTokens.D()) &&
		within(r.whole, targets.WholeAnswer.D())
}

func within(value, target time.Duration) bool { return target == 0 || value <= target }
