// Package forward sends requests of plain classes to plain services.
//
// A call that must not be retried is sent at most once, on a connection of its own, and
// another endpoint is tried only if nothing was sent. A reply that names another call, or
// that cannot be checked for completeness, is not forwarded.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/httpheader"
	"github.com/ospreyshed/ospreyshed/internal/membudget"
	"github.com/ospreyshed/ospreyshed/internal/problem"
	"github.com/ospreyshed/ospreyshed/internal/retry"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	leavingHeader   = "Ospreyshed-Leaving"

	// maxReplyBytes limits a reply, which is buffered completely before it is forwarded.
	maxReplyBytes = 8 << 20
	// replyMemory limits the bytes of all replies that are buffered at a time. The largest reply
	// fits while others have no more than their guaranteed parts.
	replyMemory = 32 << 20
	// replyBufferBytes is the initial size of the buffer for a reply.
	replyBufferBytes = 1 << 10
	// maxEndpoints limits the number of endpoints tried for one request.
	maxEndpoints = 3
	// defaultDeadline limits a call of a class without a whole-answer target.
	defaultDeadline = 10 * time.Second
	// singleSendDeadline is the minimum deadline of a call that must not be
	// retried, since abandoning it leaves its outcome unknown.
	singleSendDeadline = 10 * time.Second
	// singleSendFactor is the factor by which the deadline of such a call exceeds
	// the whole-answer target.
	singleSendFactor = 4

	dialTimeout = time.Second
	// retryRatio is the number of retries per request that the budget allows,
	// retryBurst its reserve in retries.
	retryRatio = 0.1
	retryBurst = 20
)

// errTooLong means that a reply is longer than maxReplyBytes.
var errTooLong = fmt.Errorf("longer than %d bytes", maxReplyBytes)

// Endpoints picks endpoints and records the outcomes of calls to them.
type Endpoints interface {
	PickLeastLoaded(candidates []*configuration.Endpoint, zone string, exclude []string) *configuration.Endpoint
	Begin(name string) func()
	MarkLeaving(name string)
	Observe(name string, group []string, ok bool, latency time.Duration)
}

// Configuration provides the configuration snapshot in force.
type Configuration interface {
	Snapshot() *configuration.Snapshot
}

// Call is a request of a plain class.
type Call struct {
	// RequestID is the ID shown to the caller and in the timeline.
	RequestID string
	Class     *configuration.Class
	// Path is the escaped path with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, empty if there is none.
	Key string
	// MayExecute is called once a connection is open, immediately before the request is
	// sent, and reports whether it may be sent; nil always permits it.
	MayExecute func() bool
}

// Reply is a complete reply of an endpoint.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// memory is what holds the body.
	memory *membudget.Holder
}

// Close returns the memory of the body, which must not be used any more.
func (r *Reply) Close() { r.memory.Close() }

// Counters count calls. The zero value is ready to use.
type Counters struct {
	// Sent counts requests sent to endpoints, Retried the retries that were allowed.
	Sent, Retried atomic.Int64
	// CutShort counts replies that were dropped because they were incomplete or could
	// not be checked for completeness.
	CutShort atomic.Int64
	// RetriesDenied counts retries that the retry budget did not allow.
	RetriesDenied atomic.Int64
}

// Forwarder sends requests to plain services. It is safe for concurrent use.
type Forwarder struct {
	// Counters are read by the metrics.
	Counters Counters
	// Upstream holds the connections to all endpoints.
	Upstream *upstream.Client

	memory *membudget.Budget

	zone          string
	endpoints     Endpoints
	configuration Configuration
	events        timeline.Recorder
	budget        *retry.Budget
}

// New returns a forwarder for an entry VM in a zone.
func New(zone string, endpoints Endpoints, conf Configuration, events timeline.Recorder) *Forwarder {
	f := &Forwarder{
		Upstream:      newUpstream(),
		zone:          zone,
		endpoints:     endpoints,
		configuration: conf,
		events:        events,
		budget:        retry.NewBudget(retryRatio, retryBurst),
	}
	f.memory = membudget.New(membudget.Split(replyMemory), new(membudget.Counters))
	return f
}

// Run closes connections that were idle for too long until ctx ends, then all idle ones.
func (f *Forwarder) Run(ctx context.Context) { f.Upstream.Run(ctx) }

// Close closes idle connections.
func (f *Forwarder) Close() { f.Upstream.Close() }

// Do sends the call and returns a complete reply, which must be closed. The error is of a type of this
// package; only those with the trait NotRun guarantee that the call did not run.
func (f *Forwarder) Do(ctx context.Context, call *Call) (*Reply, error) {
	f.budget.Earn()
	ctx, cancel := context.WithTimeout(ctx, Deadline(call.Class))
	defer cancel()
	memory, ok := f.memory.Open(membudget.AnswerBytes)
	if !ok {
		return nil, NoMemory.New("%s", call.RequestID)
	}
	reply, err := f.try(ctx, call, memory)
	if err != nil {
		memory.Close()
	}
	return reply, err
}

// try sends the call to one endpoint after the other.
func (f *Forwarder) try(ctx context.Context, call *Call, memory *membudget.Holder) (*Reply, error) {
	candidates := f.configuration.Snapshot().Plain(call.Class.Service, "")
	var tried []string
	var last error
	for range maxEndpoints {
		chosen := f.endpoints.PickLeastLoaded(candidates, f.zone, tried)
		if chosen == nil {
			break
		}
		tried = append(tried, chosen.Name)
		reply, err := f.send(ctx, call, chosen, names(candidates), memory)
		if err == nil {
			return reply, nil
		}
		last = joined(last, err)
		if !f.mayRetry(ctx, call, err) {
			break
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, NoEndpoint.New("service %s", call.Class.Service)
}

// joined returns the error of a call after another endpoint has failed: that one endpoint did not
// run the call does not cover an earlier one.
func joined(earlier, err error) error {
	if earlier != nil && !errorx.HasTrait(earlier, NotRun) && errorx.HasTrait(err, NotRun) {
		return earlier
	}
	return err
}

// mayRetry reports whether another endpoint may be tried.
func (f *Forwarder) mayRetry(ctx context.Context, call *Call, err error) bool {
	if ctx.Err() != nil || errorx.IsOfType(err, GivenUp) {
		return false
	}
	if call.Class.Repeat == configuration.NeverRepeat && !errorx.IsOfType(err, Unreachable) {
		return false
	}
	if !f.budget.Spend() {
		f.Counters.RetriesDenied.Add(1)
		return false
	}
	f.Counters.Retried.Add(1)
	return true
}

// send sends the call to one endpoint.
func (f *Forwarder) send(
	ctx context.Context, call *Call, to *configuration.Endpoint, group []string, memory *membudget.Holder,
) (*Reply, error) {
	defer f.endpoints.Begin(to.Name)()
	started := time.Now()
	reply, err := f.exchange(ctx, call, to, memory)
	ok := err == nil && reply.Status < http.StatusInternalServerError
	if ctx.Err() == nil || ok {
		f.endpoints.Observe(to.Name, group, ok, time.Since(started))
	}
	if err != nil {
		return nil, err
	}
	f.events.Record(timeline.PlainAnswered, call.RequestID, to.Name)
	return reply, nil
}

// exchange performs one HTTP exchange.
func (f *Forwarder) exchange(ctx context.Context, call *Call, to *configuration.Endpoint, memory *membudget.Holder) (*Reply, error) {
	request, err := newRequest(call, to.Address)
	if err != nil {
		return nil, err
	}
	request.Permit = func() error { return f.permit(call, to) }
	response, err := f.Upstream.Do(ctx, to.Address, request)
	switch {
	case errorx.IsOfType(err, upstream.Withheld):
		return nil, GivenUp.Wrap(err, "%s", call.RequestID)
	case errorx.IsOfType(err, upstream.NotSent):
		return nil, Unreachable.Wrap(err, "%s", to.Name)
	case err != nil:
		return nil, InDoubt.Wrap(err, "%s", to.Name)
	}
	defer response.Close()
	return f.read(ctx, response, to.Name, memory)
}

// permit records that a call is being sent, or returns an error if it must not be.
func (f *Forwarder) permit(call *Call, to *configuration.Endpoint) error {
	if call.MayExecute != nil && !call.MayExecute() {
		return GivenUp.New("%s", call.RequestID)
	}
	f.Counters.Sent.Add(1)
	f.events.Record(timeline.PlainSent, call.RequestID, to.Name)
	return nil
}

// read reads a complete reply.
func (f *Forwarder) read(ctx context.Context, response *upstream.Response, name string, memory *membudget.Holder) (*Reply, error) {
	leaving := response.Header.Get(leavingHeader) == "true"
	if leaving {
		f.endpoints.MarkLeaving(name)
	}
	refused := leaving && response.Status == http.StatusServiceUnavailable
	body, err := f.readBody(ctx, response, name, memory)
	switch {
	case refused && err != nil:
		// Whether the endpoint ran the call is not known from a refusal that breaks off.
		return nil, InDoubt.Wrap(err, "refusal of %s", name)
	case refused:
		return nil, Leaving.New("%s", name)
	case err != nil:
		return nil, err
	}
	header := httpheader.EndToEnd(response.Header)
	// Only this router states whether the caller's request ran.
	header.Del(problem.OutcomeHeader)
	return &Reply{Status: response.Status, Header: header, Body: body, memory: memory}, nil
}

// readBody reads a complete body.
func (f *Forwarder) readBody(ctx context.Context, response *upstream.Response, name string, memory *membudget.Holder) ([]byte, error) {
	if !response.Framed {
		f.Counters.CutShort.Add(1)
		return nil, CutShort.New("reply of %s has neither length nor chunks", name)
	}
	body, err := readReserved(ctx, response, memory)
	if err != nil {
		memory.Release(int64(cap(body)))
		f.Counters.CutShort.Add(1)
		return nil, CutShort.Wrap(err, "reply of %s", name)
	}
	return body, nil
}

// readReserved reads to the end, and reserves memory for each step, which doubles the buffer. It waits
// until there is room.
func readReserved(ctx context.Context, source io.Reader, memory *membudget.Holder) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(replyBufferBytes, 2*cap(body))
			if 2*size > maxReplyBytes {
				size = maxReplyBytes + 1
			}
			if err := memory.Reserve(ctx, int64(size)); err != nil {
				return body, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			memory.Release(int64(cap(body)))
			body = grown
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case len(body) > maxReplyBytes:
			return body, errTooLong
		}
	}
}

// Deadline returns how long a call of a class may take.
func Deadline(class *configuration.Class) time.Duration {
	target := class.Targets.WholeAnswer.D()
	if class.Repeat == configuration.NeverRepeat {
		return max(singleSendDeadline, singleSendFactor*target)
	}
	if target > 0 {
		return target
	}
	return defaultDeadline
}

func names(endpoints []*configuration.Endpoint) []string {
	all := make([]string, len(endpoints))
	for i, e := range endpoints {
		all[i] = e.Name
	}
	return all
}
