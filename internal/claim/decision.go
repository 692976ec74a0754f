package claim

import (
	"net/http"
	"time"
)

// Kind is the kind of decision for an attempt with a key.
type Kind int

// The kinds of decision.
const (
	// Run means that this attempt, and no other, may execute.
	Run Kind = iota + 1
	// Running means that another attempt is executing, or may be about to.
	Running
	// Answered means that the call ran and its answer was delivered.
	Answered
	// Recorded means that the call ran and that this attempt delivers its answer.
	Recorded
	// Withheld means that the call ran and that its answer is recorded but
	// cannot be delivered now, for example because another attempt is
	// delivering it.
	Withheld
	// DeliveryUnknown means that the call ran and that the VM that held the
	// right to deliver its answer is gone.
	DeliveryUnknown
	// ClosedNotRun means that the call did not run and will never run with this
	// key.
	ClosedNotRun
	// Unknown means that the call may or may not have run.
	Unknown
	// Elsewhere means that the key is bound to another VM, which alone can
	// decide the attempt.
	Elsewhere
)

// kindNames are the names used in counters and messages.
var kindNames = map[Kind]string{
	Run:             "run",
	Running:         "running",
	Answered:        "answered",
	Recorded:        "recorded",
	Withheld:        "withheld",
	DeliveryUnknown: "delivery-unknown",
	ClosedNotRun:    "closed-not-run",
	Unknown:         "unknown",
	Elsewhere:       "elsewhere",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Decision is the decision for one attempt of a call with a key.
type Decision struct {
	Kind Kind
	// Ticket is the right to execute; set for Run.
	Ticket *Ticket
	// RetryAfter is set for Running, Withheld and Elsewhere.
	RetryAfter time.Duration
	// Answer is the recorded answer; set for Recorded.
	Answer Answer
	// Delivery must be ended by one of its methods; set for Recorded.
	Delivery *Delivery
	// VM is the VM that the key is bound to; set for Elsewhere.
	VM string
}

// Answer is a recorded answer that was not delivered.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyDropped says that the body was too large to be kept.
	BodyDropped bool
}

// Execution says whether a call was executed.
type Execution int

// The values of Execution.
const (
	// Ran means that the endpoint executed the call.
	Ran Execution = iota + 1
	// DidNotRun means that it is certain that the endpoint did not execute it.
	DidNotRun
	// MayHaveRun means that bytes were sent but no answer was received.
	MayHaveRun
)

// Outcome is the result of an execution.
type Outcome struct {
	Execution Execution
	// Delivered says that the caller received the whole answer.
	Delivered bool
	// Answer is kept for a repeat if it was not delivered.
	Answer Answer
}
