// Package forward sends requests of plain classes to plain services.
//
// A call that must not be retried is sent at most once: it uses a new connection,
// since net/http retries requests on reused connections by itself, and another
// endpoint is tried only if no connection was obtained. A reply that cannot be
// checked for completeness is not forwarded.
package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/httpheader"
	"github.com/ospreyshed/ospreyshed/internal/retry"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	leavingHeader   = "Ospreyshed-Leaving"

	// maxReplyBytes limits a reply, which is buffered completely before it is forwarded.
	maxReplyBytes = 8 << 20
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
	// MayExecute is called immediately before the request is sent and reports
	// whether it may be sent; nil always permits it.
	MayExecute func() bool
}

// Reply is a complete reply of an endpoint.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

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

	zone          string
	endpoints     Endpoints
	configuration Configuration
	events        timeline.Recorder
	budget        *retry.Budget
	pooled        *http.Client
	single        *http.Client
}

// New returns a forwarder for an entry VM in a zone.
func New(zone string, endpoints Endpoints, conf Configuration, events timeline.Recorder) *Forwarder {
	return &Forwarder{
		zone:          zone,
		endpoints:     endpoints,
		configuration: conf,
		events:        events,
		budget:        retry.NewBudget(retryRatio, retryBurst),
		pooled:        newClient(false),
		single:        newClient(true),
	}
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.pooled.CloseIdleConnections()
	f.single.CloseIdleConnections()
}

// Do sends the call and returns a complete reply. The error is of a type of this
// package; only those with the trait NotRun guarantee that the call did not run.
func (f *Forwarder) Do(ctx context.Context, call *Call) (*Reply, error) {
	f.budget.Earn()
	ctx, cancel := context.WithTimeout(ctx, deadline(call.Class))
	defer cancel()
	candidates := f.configuration.Snapshot().Plain(call.Class.Service, "")
	var tried []string
	var last error
	for range maxEndpoints {
		chosen := f.endpoints.PickLeastLoaded(candidates, f.zone, tried)
		if chosen == nil {
			break
		}
		tried = append(tried, chosen.Name)
		reply, err := f.send(ctx, call, chosen, names(candidates))
		if err == nil {
			return reply, nil
		}
		last = err
		if !f.mayRetry(ctx, call, err) {
			return nil, err
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, NoEndpoint.New("service %s", call.Class.Service)
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
func (f *Forwarder) send(ctx context.Context, call *Call, to *configuration.Endpoint, group []string) (*Reply, error) {
	defer f.endpoints.Begin(to.Name)()
	started := time.Now()
	reply, err := f.exchange(ctx, call, to)
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
func (f *Forwarder) exchange(ctx context.Context, call *Call, to *configuration.Endpoint) (*Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call, to.Address)
	if err != nil {
		return nil, err
	}
	if call.MayExecute != nil && !call.MayExecute() {
		return nil, GivenUp.New("%s", call.RequestID)
	}
	f.Counters.Sent.Add(1)
	f.events.Record(timeline.PlainSent, call.RequestID, to.Name)
	resp, err := f.client(call.Class).Do(req)
	if err != nil && !connected.Load() {
		return nil, Unreachable.Wrap(err, "%s", to.Name)
	}
	if err != nil {
		return nil, InDoubt.Wrap(err, "%s", to.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	return f.read(resp, to.Name)
}

// client returns the HTTP client for the class's repeat rule.
func (f *Forwarder) client(class *configuration.Class) *http.Client {
	if class.Repeat == configuration.NeverRepeat {
		return f.single
	}
	return f.pooled
}

// read reads a complete reply.
func (f *Forwarder) read(resp *http.Response, name string) (*Reply, error) {
	if resp.Header.Get(leavingHeader) == "true" {
		f.endpoints.MarkLeaving(name)
		if resp.StatusCode == http.StatusServiceUnavailable {
			return nil, Leaving.New("%s", name)
		}
	}
	if !framed(resp) {
		f.Counters.CutShort.Add(1)
		return nil, CutShort.New("reply of %s has neither length nor chunks", name)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		f.Counters.CutShort.Add(1)
		return nil, CutShort.Wrap(err, "reply of %s", name)
	}
	if len(body) > maxReplyBytes {
		return nil, CutShort.New("reply of %s is longer than %d bytes", name, maxReplyBytes)
	}
	return &Reply{Status: resp.StatusCode, Header: httpheader.EndToEnd(resp.Header), Body: body}, nil
}

// framed reports whether the end of the reply can be distinguished from a truncation.
func framed(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.ProtoMajor > 1 {
		return true
	}
	return len(resp.TransferEncoding) > 0 || !bodyAllowed(resp)
}

func bodyAllowed(resp *http.Response) bool {
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// newRequest builds the request to an endpoint.
func newRequest(ctx context.Context, call *Call, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Class.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, BadRequest.Wrap(err, "%s", call.RequestID)
	}
	if call.Class.Repeat == configuration.NeverRepeat {
		// Without GetBody net/http cannot send the body a second time.
		req.GetBody = nil
	}
	req.Header = httpheader.EndToEnd(call.Header)
	req.Header.Del("Authorization")
	req.Header.Set(requestIDHeader, call.RequestID)
	req.Header.Del(keyHeader)
	if call.Key != "" {
		req.Header.Set(keyHeader, call.Key)
	}
	return req, nil
}

func deadline(class *configuration.Class) time.Duration {
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
