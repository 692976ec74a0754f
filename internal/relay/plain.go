package relay

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	// maxAnswerBytes limits an answer that is buffered completely before it is
	// forwarded.
	maxAnswerBytes = 8 << 20
	// singleRunMaxIdle limits the idle time of a connection that is reused for a
	// request which may run only once. If an endpoint closes an idle connection
	// while the request arrives, it is unknown whether the request ran.
	singleRunMaxIdle = 500 * time.Millisecond
	// firstAttemptShare is the share of the remaining time after which a request that
	// may run again is retried on another endpoint, unless its objective is longer.
	firstAttemptShare = 0.5
	// minConnections is the number of connections to one endpoint that each process
	// may open, even if many processes share the endpoint's limit.
	minConnections = 2
	// unreachableRetryAfter is the retry delay sent to callers if no endpoint is
	// reachable.
	unreachableRetryAfter = 300 * time.Millisecond
)

// servePlain serves a request that plain endpoints answer: one of them completely, or with a stream that others may go on
// with.
func (r *Relay) servePlain(ctx context.Context, x *exchange) {
	if !r.tracePlain(x) {
		return
	}
	for !r.heldBack(x) && r.mayAttempt(x) {
		candidates := x.passage.successors(r.belowConnectionLimit(x.service))
		chosen := r.choosePlain(ctx, x, candidates)
		if chosen == nil {
			r.returnRetry(x)
			break
		}
		// Other VMs may have seen crashes meanwhile.
		if r.heldBack(x) {
			r.returnRetry(x)
			break
		}
		r.logChoice(x, chosen)
		x.exclude = append(x.exclude, chosen.Name)
		final := r.tryHedged(ctx, x, chosen, candidates)
		if ctx.Err() != nil {
			r.callerGone(x)
			return
		}
		if final {
			break
		}
	}
	r.concludePlain(x)
}

// choosePlain picks an endpoint that takes the request now. It returns nil if there is none.
func (r *Relay) choosePlain(ctx context.Context, x *exchange, candidates []*configuration.Endpoint) *configuration.Endpoint {
	passedOver := slices.Clone(x.exclude)
	earliest := r.earliestEndOfQuiet(candidates)
	refusal := "the endpoints are at their limits or asked for quiet"
	for {
		chosen := r.options.Endpoints.PickLeastLoaded(candidates, r.options.Zone, passedOver)
		if chosen == nil {
			break
		}
		wait, offered := r.options.Endpoints.Offer(chosen)
		admitted := false
		if offered {
			wait, admitted = r.options.Admission.Admit(ctx, chosen)
		}
		if admitted {
			return chosen
		}
		if !offered {
			refusal = "the endpoints are too full"
		}
		r.logPassedOver(x, chosen, offered, wait)
		passedOver = append(passedOver, chosen.Name)
		if earliest == 0 || wait < earliest {
			earliest = wait
		}
	}
	if earliest > 0 {
		x.refusal = refusal
		x.retryAfter = spread(earliest)
	}
	return nil
}

// logPassedOver counts and logs that an endpoint was not chosen: it names a limit, or, if the
// request was not even offered to it, it is too full.
func (r *Relay) logPassedOver(x *exchange, e *configuration.Endpoint, offered bool, wait time.Duration) {
	reason, counter := "endpoint at its limit", &r.Counters.AtLimit
	if !offered {
		reason, counter = "endpoint too full", &r.Counters.Overfull
	}
	counter.Add(1)
	r.decide(x, reason, logrus.Fields{"endpoint": e.Name, "wait_ms": wait.Milliseconds()})
}

// earliestEndOfQuiet returns the time until the first of the endpoints that asked for quiet takes
// requests again; 0 if none asked.
func (r *Relay) earliestEndOfQuiet(endpoints []*configuration.Endpoint) time.Duration {
	earliest := time.Duration(0)
	for _, e := range endpoints {
		if quiet := r.options.Endpoints.QuietFor(e.Name); quiet > 0 && (earliest == 0 || quiet < earliest) {
			earliest = quiet
		}
	}
	return earliest
}

// spread returns a delay between the given one and twice that, so that callers that are refused
// together do not return together.
func spread(delay time.Duration) time.Duration {
	return delay + time.Duration(rand.Float64()*float64(delay))
}

// logChoice logs the endpoint chosen for a request and the stats behind the choice.
func (r *Relay) logChoice(x *exchange, chosen *configuration.Endpoint) {
	stats := r.options.Endpoints.Stats(chosen.Name)
	r.decide(x, "endpoint chosen", logrus.Fields{
		"endpoint": chosen.Name, "zone_of_endpoint": chosen.Zone, "in_flight": stats.InFlight,
		"reported": math.Round(stats.ReportedLoad*10) / 10, "report_age_ms": stats.ReportAge.Milliseconds(),
		"failing": math.Round(stats.FailureRate*100) / 100, "identity": x.identity,
		"slowdown": math.Round(stats.Slowdown*100) / 100, "service_ms": stats.ServiceTime.Milliseconds(),
	})
}

// belowConnectionLimit returns the endpoints of a plain service to which this process
// may open another connection. An endpoint resets connections beyond its limit, and
// it is then unknown whether the requests on them ran.
func (r *Relay) belowConnectionLimit(service *routing.Service) []*configuration.Endpoint {
	view := r.options.Fleet.View()
	all := view.Plain(service.Name)
	if service.MaxConnections <= 0 {
		return all
	}
	limit := max(minConnections, service.MaxConnections/view.VMCount())
	return slices.DeleteFunc(slices.Clone(all), func(e *configuration.Endpoint) bool {
		return r.options.Endpoints.InFlight(e.Name) >= limit
	})
}

// concludePlain gives the final answer after the last attempt.
func (r *Relay) concludePlain(x *exchange) {
	switch {
	case x.passage != nil:
		r.concludePassage(x)
	case x.answer != nil:
		r.deliver(x, x.answer)
	case x.mayHaveRun:
		r.fail(x, Failure{Reason: "no endpoint answered", Timeout: x.timeLeft() <= 0})
	default:
		r.refuse(x, Refusal{Reason: x.refusal, RetryAfter: x.retryAfter, Unauthenticated: x.unauthenticated})
	}
}

// tryPlain sends the request to one endpoint. It returns true if no other endpoint
// may be tried.
func (r *Relay) tryPlain(ctx context.Context, x *exchange, to *configuration.Endpoint, group []*configuration.Endpoint) bool {
	return r.runPlain(ctx, x, to, group, x.suspect.Begin(to.Name, to.Address))
}

// runPlain is tryPlain with the quarantine's record of the attempt.
func (r *Relay) runPlain(
	ctx context.Context, x *exchange, to *configuration.Endpoint, group []*configuration.Endpoint, attempt *quarantine.Attempt,
) bool {
	defer r.options.Endpoints.Begin(to.Name)()
	started, blocked := time.Now(), x.passage.blockedTime()
	answer, verdict, err := r.call(ctx, x, to, &Call{Stage: Whole, LastEventID: x.passage.lastEventID()}, r.attemptTimeout(x))
	if verdict.Load != nil {
		r.options.Endpoints.ObserveLoad(to.Name, *verdict.Load)
	}
	switch {
	case ctx.Err() != nil || errorx.IsOfType(err, upstream.Withheld):
	case err == nil && verdict.NotRun:
		r.options.Endpoints.ObserveDecline(to.Name, verdict.Load)
	default:
		ok := err == nil && answer.Status < http.StatusInternalServerError
		r.options.Endpoints.Observe(to.Name, endpointNames(group), ok, time.Since(started)-(x.passage.blockedTime()-blocked))
	}
	if brokenOff(err) {
		attempt.Broken()
	}
	if err != nil && !x.route.RunsOnce() {
		attempt.Settle(ctx)
	}
	if err != nil && ctx.Err() != nil && errorx.IsOfType(err, upstream.NotSent) {
		// The attempt was cancelled while its connection was opened, which is no evidence about the endpoint.
		x.sends--
		r.returnRetry(x)
		return false
	}
	if err != nil {
		return r.handlePlainError(x, to, err) || !x.passage.mayGoOn()
	}
	if verdict.OtherInstance {
		x.sends--
		r.options.Endpoints.MarkLeaving(to.Name)
	}
	if verdict.NotRun {
		x.refusal = "the endpoint did not run the request"
		r.decide(x, "endpoint declined", logrus.Fields{"endpoint": to.Name, "status": answer.Status})
		return false
	}
	attempt.Answer()
	if x.passage != nil {
		return true
	}
	x.answer.release()
	x.answer = answer
	return answer.Status < http.StatusInternalServerError || x.route.RunsOnce()
}

// brokenOff reports whether an endpoint broke off a request that it may have run.
func brokenOff(err error) bool {
	return errorx.IsOfType(err, upstream.InDoubt) && !errorx.IsOfType(err, upstream.GivenUp) && !errorx.IsOfType(err, untrusted)
}

// handlePlainError handles an attempt that got no response. It returns true if no
// other endpoint may be tried.
func (r *Relay) handlePlainError(x *exchange, to *configuration.Endpoint, err error) bool {
	r.decide(x, "attempt failed", logrus.Fields{"endpoint": to.Name, "error": err.Error()})
	if errorx.IsOfType(err, upstream.Withheld) {
		x.sends--
		r.returnRetry(x)
		x.refusal = "the endpoint takes no requests at present"
		return false
	}
	if errorx.IsOfType(err, upstream.NotSent) {
		r.options.Endpoints.MarkUnreachable(to.Name)
		x.sends--
		x.refusal = "the endpoint is not reachable"
		return false
	}
	return x.route.RunsOnce()
}

// attemptTimeout returns the time limit of the next attempt.
func (r *Relay) attemptTimeout(x *exchange) time.Duration {
	left := x.timeLeft()
	if x.route.RunsOnce() || x.sends+1 >= x.route.MaxAttempts {
		return left
	}
	return min(left, max(x.route.Objective, time.Duration(float64(left)*firstAttemptShare)))
}

// call sends the request to an endpoint and returns its complete response.
func (r *Relay) call(ctx context.Context, x *exchange, to *configuration.Endpoint, call *Call, timeout time.Duration) (*Answer, Verdict, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	response, verdict, err := r.open(ctx, x, to, call)
	if err != nil {
		return nil, verdict, err
	}
	defer response.Close()
	if call.Stage != Prefill {
		if err := r.checkTrust(x, to, response, &verdict); err != nil {
			return nil, verdict, err
		}
	}
	var buffer *answerBuffer
	switch {
	case x.isStream(call, response, &verdict):
		buffer, err = r.passEvents(ctx, x, to, response, timer)
	case x.isNoRest(call, &verdict):
		return nil, verdict, untrusted.New("%s answered a request for the rest of a stream with no events and status %d", to.Name, response.Status)
	default:
		buffer, err = r.readAnswer(ctx, x, call, response, &verdict, timer)
	}
	if err == nil && !verdict.NotRun && call.Stage != Prefill && r.endedWithEndpoint(ctx, to, response, false) {
		err = errEngineEnded
		buffer.release()
		x.passage.fail(err)
	}
	switch {
	case err == nil:
		return &Answer{Status: response.Status, Header: response.Header, Body: buffer.bytes, buffer: buffer}, verdict, nil
	case ctx.Err() != nil:
		return nil, verdict, upstream.GivenUp.Wrap(err, "answer of %s", to.Name)
	case isFault(err) || errors.Is(err, errNoEvents):
		return nil, verdict, untrusted.Wrap(err, "answer of %s", to.Name)
	default:
		return nil, verdict, upstream.InDoubt.Wrap(err, "answer of %s", to.Name)
	}
}

// readAnswer reads the body of a response, or passes it on if it does not fit into the memory budget. The
// timer ends ctx.
func (r *Relay) readAnswer(
	ctx context.Context, x *exchange, call *Call, response *upstream.Response, verdict *Verdict, timer *time.Timer,
) (*answerBuffer, error) {
	buffer := &answerBuffer{memory: x.request.Memory}
	reserve := tryForMemory(x.request.Memory)
	if call.Stage == Prefill || x.buffered {
		reserve = waitForMemory(ctx, x.request.Memory)
	}
	err := buffer.read(response, reserve)
	switch {
	case err == nil:
		return buffer, nil
	case verdict.NotRun:
		// The header states it; the body adds nothing.
		err = nil
	case errors.Is(err, errNoMemory) && timer.Reset(x.timeLeft()+lateDelivery):
		err = r.passOn(ctx, x, response, buffer)
	}
	buffer.release()
	return buffer, err
}

// open sends the request to an endpoint and returns its response, which must be
// closed. Only here is it recorded that the endpoint may have run the request.
func (r *Relay) open(ctx context.Context, x *exchange, to *configuration.Endpoint, call *Call) (*upstream.Response, Verdict, error) {
	// Callers take back the count of a call that was not sent.
	if call.Stage != Prefill {
		x.sends++
	}
	instance := r.options.Fleet.View().Instance(to.Name)
	if instance == nil {
		return nil, Verdict{}, upstream.NotSent.New("%s is not in the fleet", to.Name)
	}
	if err := r.permit(to.Name); err != nil {
		return nil, Verdict{}, err
	}
	end, ok := r.options.InFlight.Begin(to.Name, int64(len(x.request.Body)), r.options.Fleet.View().VMCount())
	if !ok {
		return nil, Verdict{}, upstream.Withheld.New("%s has as many bytes of requests as it may", to.Name)
	}
	call.InstanceID = instance.ID
	call.Timeout = x.timeLeft()
	if call.Stage != Prefill {
		x.tracked.sent.Store(true)
	}
	r.Counters.Sent.Add(1)
	header := r.options.Dialect.Header(x.request, call)
	r.logTakeUp(x, to, header)
	sent := time.Now()
	response, err := r.options.Client.Do(ctx, to.Address, &upstream.Request{
		Method:  x.request.Method,
		Target:  x.request.Target,
		Host:    x.request.Host,
		Header:  header,
		Body:    x.request.Body,
		MaxIdle: maxIdle(x, call),
		Permit:  func() error { return r.permitRequest(x, to.Name) },
		Late: func(response *upstream.Response) {
			verdict := r.options.Dialect.Judge(x.request, call, response)
			r.observeVerdict(x, to, &verdict, sent)
			if verdict.Load != nil && call.Stage == Whole {
				r.options.Endpoints.ObserveLoad(to.Name, *verdict.Load)
			}
		},
	})
	if err != nil {
		if errorx.IsOfType(err, upstream.Foreign) {
			r.Counters.Foreign.Add(1)
		}
		x.mayHaveRun = x.mayHaveRun || call.Stage != Prefill && !errorx.IsOfType(err, upstream.NotSent)
		if ctx.Err() != nil && errorx.IsOfType(err, upstream.InDoubt) {
			r.decide(x, "answer not awaited", logrus.Fields{"endpoint": to.Name, "waited_ms": time.Since(sent).Milliseconds(), "reason": context.Cause(ctx).Error()})
		}
		end()
		return nil, Verdict{}, err
	}
	response.OnClose = end
	verdict := r.options.Dialect.Judge(x.request, call, response)
	x.mayHaveRun = x.mayHaveRun || call.Stage != Prefill && !verdict.NotRun
	r.observeVerdict(x, to, &verdict, sent)
	return response, verdict, nil
}

// observeVerdict records what an endpoint says of itself in the answer to a call that was sent at a time.
func (r *Relay) observeVerdict(x *exchange, to *configuration.Endpoint, verdict *Verdict, sent time.Time) {
	r.announced(x.request.ID, to.Name, verdict.Announcement)
	if verdict.Limit != nil {
		verdict.LimitChanged = r.options.Endpoints.ObserveLimit(to.Name, *verdict.Limit, sent)
	}
	if verdict.LimitChanged && x.service.Engines == nil {
		r.options.Admission.ReportLimit(to)
	}
}

// permit returns why an endpoint must not get a call now.
func (r *Relay) permit(name string) error {
	if !r.available(r.options.Fleet.View().Instance(name)) {
		return upstream.Withheld.New("%s is leaving", name)
	}
	if r.options.Endpoints.QuietFor(name) > 0 {
		return upstream.Withheld.New("%s asked for quiet", name)
	}
	return nil
}

// announced records what an endpoint said of itself in an answer to a call for a request; the call that
// frees a KV cache is for none.
func (r *Relay) announced(request, name string, a endpoint.Announcement) {
	r.options.Endpoints.Announce(name, a)
	if a.Quiet > 0 {
		r.options.Log.Decide("endpoint asks for quiet", logrus.Fields{"request": request, "endpoint": name, "ms": a.Quiet.Milliseconds()})
	}
}

// maxIdle returns how long a connection reused for a call may have been idle; 0
// sets no limit.
func maxIdle(x *exchange, call *Call) time.Duration {
	if call.Stage != Prefill && x.route.RunsOnce() {
		return singleRunMaxIdle
	}
	return 0
}

func endpointNames(endpoints []*configuration.Endpoint) []string {
	names := make([]string, len(endpoints))
	for i, e := range endpoints {
		names[i] = e.Name
	}
	return names
}
