package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// defaultTimeout bounds a request whose caller and route name no time.
const defaultTimeout = 10 * time.Second

// Endpoints picks endpoints and learns how calls to them went.
type Endpoints interface {
	PickLeastLoaded(candidates []*configuration.Endpoint, zone string, exclude []string) *configuration.Endpoint
	Begin(name string) func()
	InFlight(name string) int
	MarkLeaving(name string)
	MarkUnreachable(name string)
	ObserveLoad(name string, requests int)
	ObserveDecline(name string)
	// Stats tells what decided on an endpoint.
	Stats(name string) endpoint.Stats
	Observe(name string, group []string, ok bool, latency time.Duration)
}

// Reserver assigns engines to generations.
type Reserver interface {
	// Reserve blocks while the demand waits. A demand that is not granted returns
	// a *scheduling.Refusal.
	Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error)
	// Progress reports what the holder of a grant observes.
	Progress(p scheduling.Progress)
	// Delivered records how many tokens of an attempt were delivered.
	Delivered(id engine.AttemptID, tokens int)
}

// Budget bounds the repeats of a service.
type Budget interface {
	// Earn counts a request of a caller.
	Earn(service string)
	// Spend takes one repeat and reports whether it is allowed.
	Spend(service string) bool
}

// Options are the collaborators of a Relay.
type Options struct {
	// VM, Incarnation and Zone name this process.
	VM          string
	Incarnation uint64
	Zone        string
	Fleet       *fleet.Store
	Endpoints   Endpoints
	Reserver    Reserver
	Budget      Budget
	Client      *upstream.Client
	Dialect     Dialect
	Log         *decisionlog.Log
}

// Counters count requests and attempts. The zero value is ready to use.
type Counters struct {
	// Received counts requests, Answered those with an endpoint's answer.
	Received, Answered atomic.Int64
	// Refused counts requests that did not run, Failed those that may have run.
	Refused, Failed atomic.Int64
	// CallersGone counts requests whose caller left before the end.
	CallersGone atomic.Int64
	// Sent counts calls to endpoints, Repeated those after a request's first.
	Sent, Repeated atomic.Int64
	// RepeatsDenied counts repeats that the budget did not allow.
	RepeatsDenied atomic.Int64
	// Foreign counts responses that belonged to another request.
	Foreign atomic.Int64
	// Prefills counts prefills that ended well, PrefillsLost those whose KV cache
	// was not taken over.
	Prefills, PrefillsLost atomic.Int64
	// Resumed counts streams that went on at another engine, Broken those that
	// ended midway.
	Resumed, Broken atomic.Int64
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	// Counters are read by the metrics.
	Counters Counters
	// PlainAnswers and FirstEvents are the times from the arrival of a request to
	// its answer and to its stream's first event, Queues those that generations
	// waited for engines.
	PlainAnswers, FirstEvents, Queues *metrics.Latency

	options  Options
	requests atomic.Uint64
	waits    *waitEstimator
}

// New returns a relay.
func New(options Options) *Relay {
	return &Relay{
		PlainAnswers: metrics.NewLatency(),
		FirstEvents:  metrics.NewLatency(),
		Queues:       metrics.NewLatency(),
		options:      options,
		waits:        newWaitEstimator(),
	}
}

// Serve gives the caller one final answer. The end of ctx says that the caller
// is gone.
func (r *Relay) Serve(ctx context.Context, request *Request, route *routing.Route, service *routing.Service, caller Caller) {
	r.Counters.Received.Add(1)
	r.options.Budget.Earn(service.Name)
	x := &exchange{
		request:    request,
		route:      route,
		service:    service,
		caller:     caller,
		deadline:   finalDeadline(request, route),
		refusal:    "no endpoint is reachable",
		retryAfter: unreachableRetryAfter,
	}
	if service.Engines != nil && request.Generation != nil {
		r.serveGeneration(ctx, x)
		return
	}
	r.servePlain(ctx, x)
}

// finalDeadline returns when the final answer is due: when the caller leaves or at
// the route's timeout, whichever comes first.
func finalDeadline(request *Request, route *routing.Route) time.Time {
	wait := request.Timeout
	if wait <= 0 || route.Timeout > 0 && route.Timeout < wait {
		wait = route.Timeout
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	return request.Arrived.Add(wait)
}

// refuse ends a request that did not run.
func (r *Relay) refuse(x *exchange, refusal Refusal) {
	r.Counters.Refused.Add(1)
	r.decide(x, "request refused", logrus.Fields{"reason": refusal.Reason, "retry_after_ms": refusal.RetryAfter.Milliseconds()})
	x.caller.Refuse(refusal)
}

// fail ends a request that may have run.
func (r *Relay) fail(x *exchange, failure Failure) {
	r.Counters.Failed.Add(1)
	r.decide(x, "request failed", logrus.Fields{"reason": failure.Reason, "timeout": failure.Timeout})
	x.caller.Fail(failure)
}

// deliver ends a request with an endpoint's answer.
func (r *Relay) deliver(x *exchange, answer *Answer) {
	r.Counters.Answered.Add(1)
	r.PlainAnswers.Observe(time.Since(x.request.Arrived))
	r.decide(x, "request answered", logrus.Fields{"status": answer.Status, "bytes": len(answer.Body)})
	x.caller.Deliver(answer)
}

// callerGone ends a request that nobody waits for.
func (r *Relay) callerGone(x *exchange) {
	r.Counters.CallersGone.Add(1)
	r.decide(x, "caller gone", nil)
	x.caller.Abort()
}

// decide logs a decision on a request.
func (r *Relay) decide(x *exchange, outcome string, fields logrus.Fields) {
	if fields == nil {
		fields = logrus.Fields{}
	}
	fields["request"] = x.request.ID
	fields["route"] = x.route.Name
	fields["sends"] = x.sends
	fields["age_ms"] = time.Since(x.request.Arrived).Milliseconds()
	r.options.Log.Decide(outcome, fields)
}

// mayAttempt reports whether the request may go to one more endpoint, and takes
// the repeat from the budget.
func (r *Relay) mayAttempt(x *exchange) bool {
	if x.sends >= max(1, x.route.MaxAttempts) || x.timeLeft() <= 0 {
		return false
	}
	return x.sends == 0 || r.spendRetry(x)
}

// spendRetry takes one repeat from the budget and reports whether it is allowed.
func (r *Relay) spendRetry(x *exchange) bool {
	if !r.options.Budget.Spend(x.service.Name) {
		r.Counters.RepeatsDenied.Add(1)
		return false
	}
	r.Counters.Repeated.Add(1)
	return true
}
