// Package relay takes one request of a caller over its attempts on endpoints:
// it picks endpoints, tells what may be tried again, and gives the caller one
// final answer.
//
// Requests and answers pass unchanged. How they look on the wire is known to a
// Dialect alone.
package relay

import (
	"net/http"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's name for this request; a repeat of the caller has another.
	ID     string
	Method string
	// Target and Host are sent to endpoints as they came.
	Target string
	Host   string
	// Header holds what is passed on to endpoints.
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Timeout is how long the caller waits, counted from Arrived; 0 if unknown.
	Timeout time.Duration
	// FirstEventTimeout is how long the caller of a stream waits for its first
	// event, counted from Arrived; 0 if as long as for the whole.
	FirstEventTimeout time.Duration
	// Generation is nil for requests that no model answers.
	Generation *Generation
}

// Generation describes the work of a request that a model answers.
type Generation struct {
	PromptTokens int
	// MaxOutputTokens bounds the answer.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate; 0 if there is none.
	ExpectedOutputTokens int
	// LastEventID is set if the caller continues a stream that broke off.
	LastEventID string
}

// Refusal is a final answer of the router's own to a request that has not run
// and never will.
type Refusal struct {
	Reason string
	// RetryAfter is when a repeat has a prospect of being served; 0 if none.
	RetryAfter time.Duration
}

// Failure is a final answer of the router's own to a request that may have run.
type Failure struct {
	Reason string
	// Timeout says that the time was up before an endpoint answered.
	Timeout bool
}

// Answer is an endpoint's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Caller takes the final answer of one request.
type Caller interface {
	// Deliver passes an endpoint's answer on.
	Deliver(answer *Answer)
	// Begin starts a stream with the header of the endpoint that runs it.
	Begin(status int, header http.Header)
	// Event passes whole events on at once.
	Event(events []byte) error
	// Abort ends a stream such that it cannot be taken for complete.
	Abort()
	Refuse(refusal Refusal)
	Fail(failure Failure)
}

// Stage is the part of a generation that a call asks for.
type Stage int

// The stages.
const (
	// Whole is a request that one endpoint serves from beginning to end.
	Whole Stage = iota
	// Prefill reads the prompt and keeps its KV cache.
	Prefill
	// Decode takes over a KV cache and generates.
	Decode
)

// Call is one message to an endpoint on behalf of a request.
type Call struct {
	Stage Stage
	// InstanceID is the endpoint that is meant; another one at its address refuses.
	InstanceID string
	// Timeout is the time in which the answer is of use.
	Timeout time.Duration
	// Source is where a decode fetches the KV cache; nil if it reads the prompt itself.
	Source *Source
	// LastEventID is the last event that the caller has.
	LastEventID string
}

// Source is a KV cache that an engine keeps for another.
type Source struct {
	Address string
	Handle  string
}

// Verdict is what a response's header says about the call.
type Verdict struct {
	// Foreign says that the response belongs to another request.
	Foreign bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// OtherInstance says that another endpoint has the address.
	OtherInstance bool
	// Load is what the endpoint says of its load; nil if it says nothing.
	Load *Load
}

// Load is the number of requests that an endpoint runs and keeps waiting.
type Load struct {
	Running, Waiting int
}

// PrefillResult is the outcome of a prefill.
type PrefillResult struct {
	Handle string
	Tokens int
}

// Dialect translates calls and responses of endpoints.
type Dialect interface {
	// Header returns the header of a call.
	Header(request *Request, call *Call) http.Header
	// Judge reads a response's header.
	Judge(request *Request, call *Call, response *upstream.Response) Verdict
	// DecodePrefill decodes the body of a prefill's answer.
	DecodePrefill(body []byte) (PrefillResult, error)
	// Free returns the message that frees a kept KV cache.
	Free(handle string) *upstream.Request
}

// exchange is one request on its way.
type exchange struct {
	request *Request
	route   *routing.Route
	service *routing.Service
	caller  Caller
	// deadline is when the caller gets a final answer at the latest.
	deadline time.Time
	// sends counts the endpoints that got the request.
	sends int
	// exclude names endpoints that failed this request.
	exclude []string
	// mayHaveRun says that an endpoint may have run the request.
	mayHaveRun bool
	// answer is an endpoint's own failure, delivered if nothing better comes.
	answer *Answer
	// refusal is the reason why the request did not run: that of the last endpoint
	// tried, if there was one.
	refusal string
	// retryAfter is told to the caller of a request that did not run.
	retryAfter time.Duration
}

// timeLeft returns the time until the final answer is due.
func (x *exchange) timeLeft() time.Duration { return time.Until(x.deadline) }
