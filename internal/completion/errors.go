package completion

import (
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

var namespace = errorx.NewNamespace("completion").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors of Runner.Run and of its attempts.
var (
	// CallerGone means that the caller cancelled or stopped reading.
	CallerGone = namespace.NewType("caller-gone")
	// Withheld means that the sink must not deliver the answer to the caller.
	Withheld = namespace.NewType("withheld")
	// stalled means that a phase made no progress within its limit.
	stalled = namespace.NewType("stalled")
	// protocolError means that an engine sent tokens out of order.
	protocolError = namespace.NewType("protocol-error")
	// wrongBuild means that the granted engine cannot continue the answer.
	wrongBuild = namespace.NewType("wrong-build")
)

// RefusedError means that the request failed before the caller got a token.
type RefusedError struct {
	// Refusal is the reason; its RetryAfter says when to retry.
	Refusal scheduling.Refusal
	// Cause is the last engine error, nil if no attempt was made.
	Cause error
	// Outcome says whether engines ran anything for the request.
	Outcome Outcome
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Cause == nil {
		return e.Refusal.Error()
	}
	return e.Refusal.Error() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Outcome says what engines did for a request without an answer.
type Outcome int

// The outcomes.
const (
	// OutcomeNotRun means that it is certain that no engine started work.
	OutcomeNotRun Outcome = iota
	// OutcomeUnknown means that an engine may have started work.
	OutcomeUnknown
	// OutcomeRan means that an engine did work for the request.
	OutcomeRan
)

// InterruptedError means that the request failed after the caller got a part of the
// answer.
type InterruptedError struct {
	// Delivered is the number of tokens that the caller has.
	Delivered int
	// Refusal is the reason why there is no further attempt.
	Refusal scheduling.Refusal
	// Cause is the last engine error.
	Cause error
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("answer interrupted after %d tokens: %v, then %s", e.Delivered, e.Cause, e.Refusal.Error())
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }
