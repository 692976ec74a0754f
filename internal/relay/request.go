// Package relay serves each request of a caller by one or more attempts on
// endpoints: it picks the endpoints, decides which attempts may be retried, and
// gives the caller one final answer.
//
// Requests and answers are forwarded unchanged. Only a Dialect knows their wire
// format.
package relay

import (
	"net/http"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/membudget"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/team"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's ID of this request; a retry by the caller has a new one.
	ID     string
	Method string
	// Caller tells callers apart; a caller that sends a request again is the same.
	Caller string
	// Team is the team that sent the request, nil if the configuration has no teams or the
	// route needs no key and the request has none.
	Team *team.Team
	// Reauthenticate returns the team of the request's key by the configuration in force, or why the
	// request must not be sent. It is asked until an endpoint may have run the request; nil if
	// requests need no key. It is safe for concurrent use.
	Reauthenticate func() (*team.Team, *Refusal)
	// Target and Host are sent to endpoints unchanged.
	Target string
	Host   string
	// Header holds the header fields that are forwarded to endpoints.
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Timeout is how long the caller waits, counted from Arrived; 0 if unknown.
	Timeout time.Duration
	// EventTimeout is how long the caller of a stream waits for its first event, counted
	// from Arrived, and for each further event; 0 if there is no separate limit.
	EventTimeout time.Duration
	// Generation is nil for requests that are not served by a model.
	Generation *Generation
	// TakeUp is nil unless the caller takes up a stream that was interrupted.
	TakeUp *TakeUp
	// Memory counts what is held of answers; nil if there is no bound.
	Memory *membudget.Holder
}

// Generation describes the work of a request that is served by a model.
type Generation struct {
	PromptTokens int
	// SharedParts are the IDs of the parts of the prompt, in order, that other prompts may
	// have as well.
	SharedParts []string
	// MaxOutputTokens limits the length of the answer.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate; 0 if there is none.
	ExpectedOutputTokens int
}

// TakeUp describes the stream that a caller takes up.
type TakeUp struct {
	// LastEventID is the ID of the last event that the caller received. Ambiguous is set if the request has several such IDs.
	LastEventID string
	Ambiguous   bool
	// Resumes is the ID of the request that brought the first event of the stream;
	// empty if the caller does not say.
	Resumes string
}

// Refusal is the router's own final answer to a request that has not run and never
// will.
type Refusal struct {
	Reason string
	// RetryAfter is the delay after which a retry may succeed; 0 if none is expected to.
	RetryAfter time.Duration
	// OverQuota is set if the quota of the caller's team is used up.
	OverQuota bool
	// Unauthenticated is set if the caller's key is no longer known.
	Unauthenticated bool
}

// Failure is the router's own final answer to a request that may have run.
type Failure struct {
	Reason string
	// Timeout is set if the deadline passed before an endpoint answered.
	Timeout bool
}

// Answer is an endpoint's complete response, which may become the caller's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// buffer is what holds the body, nil if its memory is not counted.
	buffer *answerBuffer
}

// Caller receives the final answer to one request.
type Caller interface {
	// Deliver forwards an endpoint's answer.
	Deliver(answer *Answer)
	// Begin starts a stream with the header of the endpoint that runs it.
	Begin(status int, header http.Header)
	// Event forwards complete events without delay.
	Event(events []byte) error
	// Abort ends a stream so that the caller can tell that it is incomplete.
	Abort()
	Refuse(refusal Refusal)
	Fail(failure Failure)
}

// Stage is the part of a generation that a call requests.
type Stage int

// The stages.
const (
	// Whole is a request that one endpoint serves from beginning to end.
	Whole Stage = iota
	// Prefill processes the prompt and retains its KV cache.
	Prefill
	// Decode fetches the KV cache from another engine and generates the answer.
	Decode
)

// Call is one message to an endpoint on behalf of a request.
type Call struct {
	Stage Stage
	// InstanceID identifies the intended endpoint; another endpoint at the same
	// address rejects the call.
	InstanceID string
	// Timeout is the time after which the answer is no longer needed.
	Timeout time.Duration
	// Source locates the KV cache for a decode; nil if the engine processes the
	// prompt itself.
	Source *Source
	// LastEventID is the ID of the last event that the caller received. If it is empty, the call states what the request does.
	LastEventID string
}

// Source locates a KV cache that an engine holds for another one.
type Source struct {
	// Endpoint is the name of the engine, InstanceID the ID that it expects in calls.
	Endpoint, InstanceID string
	Address              string
	Handle               string
}

// Verdict is the classification of a response by its header.
type Verdict struct {
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// PromisesNotRun is set if callers take the status as a promise that the request has not run,
	// whether or not the endpoint states it.
	PromisesNotRun bool
	// OtherInstance is set if another endpoint has taken over the address.
	OtherInstance bool
	// Unsigned is set if the response claims a success without the mark that makes it the endpoint's
	// own answer.
	Unsigned bool
	// NotEvents is set if the response claims a success whose body is not a series of events.
	NotEvents bool
	// Announcement is what the endpoint says of itself.
	endpoint.Announcement
	// Load is the load that the endpoint reports; nil if it reports none.
	Load *Load
	// Limit is the limit of requests that the endpoint names; nil if the response does not
	// tell whether it names one.
	Limit *endpoint.Limit
	// LimitChanged is set by the relay if the endpoint began or ceased to name a limit.
	LimitChanged bool
}

// slowdown returns the slowdown that the endpoint stated, 0 if none.
func (v *Verdict) slowdown() float64 {
	if v.Load == nil {
		return 0
	}
	return v.Load.Slowdown
}

// Load is the load that an endpoint states.
type Load = endpoint.Load

// PrefillResult is the outcome of a prefill.
type PrefillResult struct {
	Handle string
	Tokens int
}

// Dialect translates calls and responses to and from the wire format of endpoints.
type Dialect interface {
	// Header returns the header of a call.
	Header(request *Request, call *Call) http.Header
	// Judge classifies a response to the request by its header.
	Judge(request *Request, call *Call, response *upstream.Response) Verdict
	// LastEventID returns what the header of a call states as the last event.
	LastEventID(header http.Header) string
	// EventFields returns the names of the lines that events of a stream may have besides those of
	// text/event-stream.
	EventFields() []string
	// DecodePrefill decodes the body of the response to a prefill call.
	DecodePrefill(body []byte) (PrefillResult, error)
	// Free returns the request that frees a retained KV cache.
	Free(source *Source) *upstream.Request
	// JudgeFree returns what an engine says of itself in the response to it.
	JudgeFree(source *Source, response *upstream.Response) endpoint.Announcement
}

// exchange is the state of one request across its attempts.
type exchange struct {
	request *Request
	route   *routing.Route
	service *routing.Service
	caller  Caller
	// deadline is the latest time for the final answer.
	deadline time.Time
	// sends counts the endpoints to which the request was sent, prefills excluded.
	sends int
	// exclude names endpoints that failed this request.
	exclude []string
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// answer is the last complete response of an endpoint; an error response is
	// delivered only if no further attempt yields a better one.
	answer *Answer
	// buffered is set while another attempt of the request may run: an answer must then be read
	// whole before it is used, since only one of two may reach the caller.
	buffered bool
	// passage is set if an answer was passed on to the caller while it was read; no other
	// answer may follow.
	passage *passage
	// refusal is the reason why the request did not run. It stems from the last
	// endpoint tried, if there was one.
	refusal string
	// retryAfter is the retry delay sent to the caller if the request did not run.
	retryAfter time.Duration
	// unauthenticated is set if the request did not run because its key is no longer known.
	unauthenticated bool
	// identity names the request whenever it comes again.
	identity quarantine.Identity
	// suspect tells whether engines crash on the request or on a part of its prompt.
	suspect *quarantine.Request
	// tracked is the record of the request while it is in flight.
	tracked *tracked
	// obstacle is the reason why no further attempt followed.
	obstacle string
}

// timeLeft returns the time until the final answer is due.
func (x *exchange) timeLeft() time.Duration { return time.Until(x.deadline) }
