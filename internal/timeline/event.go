// Package timeline records the events of one process in a bounded ring buffer and
// merges the events of several processes into one ordered list.
package timeline

import "time"

// Kind is the type of an event. Kinds are stable: golden files contain them.
type Kind string

// The kinds of events.
const (
	RequestReceived  Kind = "request.received"
	RequestRefused   Kind = "request.refused"
	RequestAnswered  Kind = "request.answered"
	RequestFailed    Kind = "request.failed"
	CallerGone       Kind = "request.caller-gone"
	SlotReserved     Kind = "slot.reserved"
	SlotReleased     Kind = "slot.released"
	PrefillStarted   Kind = "prefill.started"
	PrefillFinished  Kind = "prefill.finished"
	PrefillFailed    Kind = "prefill.failed"
	TransferStarted  Kind = "transfer.started"
	TransferStalled  Kind = "transfer.stalled"
	DecodeStarted    Kind = "decode.started"
	DecodeResumed    Kind = "decode.resumed"
	FirstToken       Kind = "decode.first-token"
	CancelSent       Kind = "cancel.sent"
	CancelConfirmed  Kind = "cancel.confirmed"
	AnswerDropped    Kind = "answer.dropped"
	ClaimWon         Kind = "claim.won"
	ClaimLost        Kind = "claim.lost"
	ClaimOutcome     Kind = "claim.outcome"
	PlainSent        Kind = "plain.sent"
	PlainAnswered    Kind = "plain.answered"
	ConfigurationSet Kind = "configuration.in-force"
	EndpointLeaving  Kind = "endpoint.leaving"
	EndpointEjected  Kind = "endpoint.ejected"
	EndpointRestored Kind = "endpoint.restored"
	// EndpointLimited and EndpointUnlimited mean that an endpoint began or ceased to name a
	// limit of the requests that it takes.
	EndpointLimited   Kind = "endpoint.limited"
	EndpointUnlimited Kind = "endpoint.unlimited"
	MemberAlive       Kind = "member.alive"
	MemberSuspect     Kind = "member.suspect"
	MemberGone        Kind = "member.gone"
	OrphanCancelled   Kind = "orphan.cancelled"
	LogAway           Kind = "log.away"
	LogBack           Kind = "log.back"
	LeaseAcquired     Kind = "lease.acquired"
	LeaseLost         Kind = "lease.lost"
	OrderSent         Kind = "order.sent"
	OrderConfirmed    Kind = "order.confirmed"
	ShutdownStarted   Kind = "shutdown.started"
	ShutdownFinished  Kind = "shutdown.finished"
)

// Event is one entry of a timeline.
type Event struct {
	// Sequence is the number of the event within its incarnation, starting at 1.
	Sequence uint64 `json:"sequence"`
	// Wall is the wall clock time.
	Wall time.Time `json:"wall"`
	// Monotonic is the time since the start of the process, by the monotonic clock.
	Monotonic time.Duration `json:"monotonic_ns"`
	// VM and Incarnation identify the process.
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Request is the request id, empty if the event belongs to no request.
	Request string `json:"request,omitempty"`
	Kind    Kind   `json:"kind"`
	// Detail is free text without personal data, for example an endpoint's name.
	Detail string `json:"detail,omitempty"`
}

// Recorder records events. Implementations are safe for concurrent use and never
// block.
type Recorder interface {
	Record(kind Kind, request, detail string)
}

// Discard is a Recorder that discards all events.
var Discard Recorder = discard{}

type discard struct{}

func (discard) Record(Kind, string, string) {}
