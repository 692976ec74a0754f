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
	"github.com/ospreyshed/ospreyshed/internal/hedge"
	"github.com/ospreyshed/ospreyshed/internal/membudget"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// defaultTimeout limits a request if neither its caller nor its route sets a timeout.
const defaultTimeout = 10 * time.Second

// Endpoints picks endpoints and records the outcomes of calls to them.
type Endpoints interface {
	PickLeastLoaded(candidates []*configuration.Endpoint, zone string, exclude []string) *configuration.Endpoint
	Begin(name string) func()
	InFlight(name string) int
	MarkLeaving(name string)
	// Leaving reports whether an endpoint must get no new request.
	Leaving(name string) bool
	MarkUnreachable(name string)
	ObserveLoad(name string, load Load)
	ObserveDecline(name string, load *Load)
	// Offer reports whether a request should be sent to an endpoint. If the endpoint probably
	// declines it, it returns the time after which the endpoint is expected to have room.
	Offer(e *configuration.Endpoint) (wait time.Duration, ok bool)
	// Announce records what an endpoint said of itself in an answer.
	Announce(name string, a endpoint.Announcement)
	// QuietFor returns the time for which an endpoint wants no calls of this VM.
	QuietFor(name string) time.Duration
	// ObserveLimit records the limit that an endpoint names, or that it names none, from a
	// time on, and reports whether it began or ceased to name one. Limit returns the newest known one.
	ObserveLimit(name string, limit endpoint.Limit, at time.Time) bool
	Limit(name string) (endpoint.Limit, time.Time)
	// Stats returns the figures on which the choice of an endpoint is based.
	Stats(name string) endpoint.Stats
	Observe(name string, group []string, ok bool, latency time.Duration)
	// Available reports whether an endpoint may get a hedge.
	Available(name string) bool
	// ObserveOvertaken records that a hedge was answered before a call to the endpoint.
	ObserveOvertaken(name string)
}

// Reserver assigns engines to generation requests.
type Reserver interface {
	// Reserve blocks while the demand is queued. It returns a *scheduling.Refusal
	// if the demand is not granted.
	Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error)
	// Progress reports an event that the holder of a grant observed.
	Progress(p scheduling.Progress)
	// Delivered records how many tokens of an attempt were delivered.
	Delivered(id engine.AttemptID, tokens int)
}

// Admission admits calls to plain endpoints that name a limit of requests.
type Admission interface {
	// Admit reports whether a call may be sent now, or the time after which to ask again.
	Admit(ctx context.Context, to *configuration.Endpoint) (wait time.Duration, admitted bool)
	// ReportLimit passes on that an endpoint began or ceased to name a limit.
	ReportLimit(of *configuration.Endpoint)
}

// Budget limits the retries of a service.
type Budget interface {
	// Earn credits one request of a caller.
	Earn(service string)
	// Spend takes one retry and reports whether the budget allows it.
	Spend(service string) bool
	// Refund returns a retry that was taken and not used.
	Refund(service string)
}

// Options holds the identity and the dependencies of a Relay.
type Options struct {
	// VM, Incarnation and Zone identify this process.
	VM          string
	Incarnation uint64
	Zone        string
	Fleet       *fleet.Store
	// EndpointsAge returns the time since the fleet's endpoints are known to have been
	// complete.
	EndpointsAge func() time.Duration
	// ConfigurationAge returns the time since the configuration is known to have been the newest.
	ConfigurationAge func() time.Duration
	Endpoints        Endpoints
	Reserver         Reserver
	Admission        Admission
	Budget           Budget
	// Client must match responses to requests, see upstream.Options.IDHeader.
	Client *upstream.Client
	// InFlight bounds the bytes of requests that endpoints hold; nil sets no bound.
	InFlight *membudget.Endpoints
	Origins  Origins
	Builds   Builds
	// PlainBuilds are the builds of services without engines.
	PlainBuilds PlainBuilds
	// HistoryComplete reports whether this VM has observed all changes of routes and of plain services' builds within
	// builds.Memory.
	HistoryComplete func() bool
	// Incarnations is asked before a stream goes on at another engine.
	Incarnations Incarnations
	Quarantine   Quarantine
	// Quotas may be nil if no request has a team with a limit.
	Quotas Quotas
	// Hedger is nil if requests are not hedged.
	Hedger  *hedge.Hedger
	Dialect Dialect
	Log     *decisionlog.Log
}

// Counters count requests and attempts. The zero value is ready to use.
type Counters struct {
	// Received counts requests, Answered those that got an endpoint's answer.
	Received, Answered atomic.Int64
	// Refused counts requests that were refused without having run, Failed those
	// that failed and may have run.
	Refused, Failed atomic.Int64
	// CallersGone counts requests whose caller disconnected before the end.
	CallersGone atomic.Int64
	// Sent counts calls to endpoints, Repeated the retries that the budget allowed,
	// without those that were returned unused.
	Sent, Repeated atomic.Int64
	// RepeatsDenied counts retries that the budget did not allow.
	RepeatsDenied atomic.Int64
	// Foreign counts responses that belonged to another request.
	Foreign atomic.Int64
	// Promises counts answers to requests that may run only once whose status promises that they
	// have not run, which the endpoint does not state; Unsigned those that are successes without
	// the endpoint's signature.
	Promises, Unsigned atomic.Int64
	// RefusalsPrevented counts requests that were to be refused although they may have run.
	RefusalsPrevented atomic.Int64
	// Prefills counts successful prefills, PrefillsLost those whose KV cache was not
	// used by a decode engine.
	Prefills, PrefillsLost atomic.Int64
	// Silences counts the times that an engine sent no event of a stream for the silence
	// limit.
	Silences atomic.Int64
	// Resumed counts streams that were cut and may continue on another engine, Broken
	// those that were aborted before their end.
	Resumed, Broken atomic.Int64
	// RejectedAnswers counts answers of engines that were not forwarded because they are no streams.
	RejectedAnswers atomic.Int64
	// OutOfSequence counts streams whose engine sent another event than the next one, MalformedStreams
	// those whose engine sent something else than an event.
	OutOfSequence, MalformedStreams atomic.Int64
	// Untraced counts streams that callers took up and whose build or service is not known.
	Untraced atomic.Int64
	// Moved counts streams that callers took up and whose service their route does not lead to any more.
	Moved atomic.Int64
	// TracedByArchive counts streams that callers took up and whose build was found in the
	// archive.
	TracedByArchive atomic.Int64
	// Unconfirmed counts streams that were ended before their first event because a former build of
	// theirs may be recorded, and engines that were not let go on with a stream because another process
	// than the registered one may serve there.
	Unconfirmed atomic.Int64
	// HeldForBuilds counts streams that waited because no engine of a listed build could
	// begin them.
	HeldForBuilds atomic.Int64
	// AtLimit counts endpoints that were not chosen because of the limit that they name.
	AtLimit atomic.Int64
	// Overfull counts endpoints that were not chosen because they probably had declined the request.
	Overfull atomic.Int64
	// HeldBack counts requests that were not sent because engines crash on a part of their
	// prompts.
	HeldBack atomic.Int64
	// OverQuota counts requests that were refused because of their teams' quotas.
	OverQuota atomic.Int64
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	// Counters are read by the metrics.
	Counters Counters
	// PlainAnswers and FirstEvents are the latencies from the arrival of a request
	// to its answer and to the first event of its stream. Queues is the time that
	// generation requests waited for engines.
	PlainAnswers, FirstEvents, Queues *metrics.Latency

	options  Options
	requests atomic.Uint64
	waits    *waitEstimator
	inFlight *inFlight
	// stopping ends when waiting requests are to be refused.
	stopping      context.Context
	refuseWaiting context.CancelFunc
	// end is the time at which requests in flight are cut off, nil until the stop begins.
	end atomic.Pointer[time.Time]
	// refusesNew is set once other VMs get all new connections.
	refusesNew atomic.Bool
}

// New returns a relay.
func New(options Options) *Relay {
	stopping, refuseWaiting := context.WithCancel(context.Background())
	return &Relay{
		PlainAnswers: metrics.NewLatency(),
		FirstEvents:  metrics.NewLatency(),
		Queues:       metrics.NewLatency(),
		options:      options,
		waits:        newWaitEstimator(),
		inFlight:     newInFlight(),

		stopping:      stopping,
		refuseWaiting: refuseWaiting,
	}
}

// Serve gives the caller one final answer. Cancellation of ctx means that the
// caller disconnected.
func (r *Relay) Serve(ctx context.Context, request *Request, route *routing.Route, service *routing.Service, caller Caller) {
	r.Counters.Received.Add(1)
	r.options.Budget.Earn(service.Name)
	x := &exchange{
		request:    request,
		route:      route,
		service:    service,
		caller:     caller,
		deadline:   finalDeadline(request, route),
		identity:   quarantine.Identify(request.Method, request.Host, request.Target, request.Body, request.Caller),
		refusal:    "no endpoint is reachable",
		retryAfter: unreachableRetryAfter,
	}
	x.suspect = r.options.Quarantine.Request(service.Name, x.identity, sharedParts(request))
	defer r.inFlight.begin(x)()
	generation := service.Engines != nil && request.Generation != nil
	if r.refusesNew.Load() && generation || r.mayBeCutOff(x) {
		r.refuse(x, stoppingRefusal)
		return
	}
	settle, charged := r.charge(ctx, x)
	if !charged {
		return
	}
	defer settle()
	if generation {
		r.serveGeneration(ctx, x)
		return
	}
	r.servePlain(ctx, x)
}

// BeginStop sets the end of a stop, at which requests in flight are cut off. From now on, plain requests that
// may run only once are refused, or not sent, if their final answer may be due after that.
func (r *Relay) BeginStop(end time.Time) { r.end.Store(&end) }

// RefuseNew refuses requests that arrive from now on, because other VMs can serve them: generation requests,
// and all others whose final answer may be due after the end. Those are not sent any more either.
func (r *Relay) RefuseNew() { r.refusesNew.Store(true) }

// mayBeCutOff reports whether a request that has not run must not be sent, because this VM stops before its
// final answer is due. Generation requests that were taken have engines by then, or are refused while they wait.
func (r *Relay) mayBeCutOff(x *exchange) bool {
	end := r.end.Load()
	if end == nil || !x.deadline.After(*end) || x.mayHaveRun {
		return false
	}
	generation := x.service.Engines != nil && x.request.Generation != nil
	return !generation && (r.refusesNew.Load() || x.route.RunsOnce())
}

// RefuseWaiting refuses the requests that have no engines yet, because this VM stops and
// could hardly finish them. Streams that have begun go on.
func (r *Relay) RefuseWaiting() { r.refuseWaiting() }

// finalDeadline returns the time at which the final answer is due, which is the
// earlier of the caller's and the route's timeout.
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

// refuse ends a request that did not run with a refusal. A refusal is a promise, so a request that may
// have run ends as a failure: the decision to refuse it was a defect of this program.
func (r *Relay) refuse(x *exchange, refusal Refusal) {
	if x.mayHaveRun {
		r.Counters.RefusalsPrevented.Add(1)
		r.decide(x, "refusal prevented", logrus.Fields{"reason": refusal.Reason})
		r.fail(x, Failure{Reason: refusal.Reason, Timeout: x.timeLeft() <= 0})
		return
	}
	r.Counters.Refused.Add(1)
	r.decide(x, "request refused", logrus.Fields{"reason": refusal.Reason, "retry_after_ms": refusal.RetryAfter.Milliseconds()})
	x.caller.Refuse(refusal)
}

// fail ends a request that may have run with a failure.
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

// callerGone ends a request whose caller disconnected.
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
	if x.request.Team != nil {
		fields["team"] = x.request.Team.Name
	}
	fields["sends"] = x.sends
	fields["age_ms"] = time.Since(x.request.Arrived).Milliseconds()
	r.options.Log.Decide(outcome, fields)
}

// mayAttempt reports whether the request may be sent to another endpoint. It takes
// a retry from the budget if the request has been sent before.
func (r *Relay) mayAttempt(x *exchange) bool {
	switch {
	case x.sends >= max(1, x.route.MaxAttempts):
		x.obstacle = "the route's attempts are used up"
		return false
	case x.timeLeft() <= 0:
		x.obstacle = obstacleDeadline
		return false
	}
	return x.sends == 0 || r.spendRetry(x)
}

// returnRetry returns the retry that mayAttempt took for an attempt in which nothing was
// sent.
func (r *Relay) returnRetry(x *exchange) {
	if x.sends > 0 {
		r.refundRetry(x.service.Name)
	}
}

// spendRetry takes one retry from the budget and reports whether it is allowed.
func (r *Relay) spendRetry(x *exchange) bool {
	if !r.options.Budget.Spend(x.service.Name) {
		r.Counters.RepeatsDenied.Add(1)
		x.obstacle = "the retry budget is used up"
		return false
	}
	r.Counters.Repeated.Add(1)
	return true
}

// refundRetry returns a retry that was not used.
func (r *Relay) refundRetry(service string) {
	r.Counters.Repeated.Add(-1)
	r.options.Budget.Refund(service)
}
