package relay

import (
	"context"
	"io"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	// maxAnswerBytes bounds an answer that is held whole before it is passed on.
	maxAnswerBytes = 8 << 20
	// singleRunMaxIdle bounds how long a connection may have been idle that
	// carries a request which may run only once. An endpoint that drops an idle
	// connection as the request arrives leaves it in doubt.
	singleRunMaxIdle = 500 * time.Millisecond
	// firstTryShare is the part of the time left after which a request that may
	// run again is tried on another endpoint, if its objective has passed too.
	firstTryShare = 0.5
	// leastConnections is the least number of connections to one endpoint that a
	// process may have, however many processes share the endpoint's limit.
	leastConnections = 2
	// unreachableRetryAfter is told to callers that found no endpoint.
	unreachableRetryAfter = 300 * time.Millisecond
)

// servePlain serves a request that one endpoint answers as a whole.
func (r *Relay) servePlain(ctx context.Context, x *exchange) {
	for r.mayRepeat(x) {
		candidates := r.withConnections(x.service)
		chosen := r.options.Endpoints.PickLeastLoaded(candidates, r.options.Zone, x.exclude)
		if chosen == nil {
			break
		}
		r.noteChoice(x, chosen)
		x.exclude = append(x.exclude, chosen.Name)
		settled := r.tryPlain(ctx, x, chosen, candidates)
		if ctx.Err() != nil {
			r.callerGone(x)
			return
		}
		if settled {
			break
		}
	}
	r.concludePlain(x)
}

// noteChoice logs the endpoint that gets a request, and why.
func (r *Relay) noteChoice(x *exchange, chosen *configuration.Endpoint) {
	standing := r.options.Endpoints.Standing(chosen.Name)
	r.decide(x, "endpoint chosen", logrus.Fields{
		"endpoint": chosen.Name, "zone_of_endpoint": chosen.Zone, "in_flight": standing.InFlight,
		"reported": math.Round(standing.Reported*10) / 10, "report_age_ms": standing.Age.Milliseconds(),
		"failing": math.Round(standing.Failing*100) / 100,
	})
}

// withConnections returns the endpoints of a plain service that this process may
// open a further connection to. An endpoint resets connections beyond its limit,
// which leaves requests on them in doubt.
func (r *Relay) withConnections(service *routing.Service) []*configuration.Endpoint {
	view := r.options.Fleet.View()
	all := view.Plain(service.Name)
	if service.MaxConnections <= 0 {
		return all
	}
	limit := max(leastConnections, service.MaxConnections/view.VMCount())
	return slices.DeleteFunc(slices.Clone(all), func(e *configuration.Endpoint) bool {
		return r.options.Endpoints.InFlight(e.Name) >= limit
	})
}

// concludePlain gives the final answer after the last attempt.
func (r *Relay) concludePlain(x *exchange) {
	switch {
	case x.answer != nil:
		r.deliver(x, x.answer)
	case x.mayHaveRun:
		r.fail(x, Failure{Reason: "no endpoint answered", Timeout: x.left() <= 0})
	default:
		r.refuse(x, Refusal{Reason: x.refusal, RetryAfter: x.retryAfter})
	}
}

// tryPlain sends the request to one endpoint. It reports whether no other may
// be tried.
func (r *Relay) tryPlain(ctx context.Context, x *exchange, to *configuration.Endpoint, group []*configuration.Endpoint) bool {
	defer r.options.Endpoints.Begin(to.Name)()
	started := time.Now()
	answer, verdict, err := r.call(ctx, x, to, &Call{Stage: Whole}, r.tryTime(x))
	if verdict.Load != nil {
		r.options.Endpoints.ObserveLoad(to.Name, verdict.Load.Running+verdict.Load.Waiting)
	}
	switch {
	case ctx.Err() != nil:
	case err == nil && verdict.NotRun:
		r.options.Endpoints.ObserveDecline(to.Name)
	default:
		ok := err == nil && answer.Status < http.StatusInternalServerError
		r.options.Endpoints.Observe(to.Name, endpointNames(group), ok, time.Since(started))
	}
	if err != nil {
		return r.plainError(x, to, err)
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
	x.mayHaveRun = true
	x.answer = answer
	return answer.Status < http.StatusInternalServerError || x.route.RunsOnce()
}

// plainError takes note of an attempt without an answer.
func (r *Relay) plainError(x *exchange, to *configuration.Endpoint, err error) bool {
	r.decide(x, "attempt failed", logrus.Fields{"endpoint": to.Name, "error": err.Error()})
	if errorx.IsOfType(err, upstream.NotSent) {
		r.options.Endpoints.MarkUnreachable(to.Name)
		x.sends--
		x.refusal = "the endpoint is not reachable"
		return false
	}
	x.mayHaveRun = true
	return x.route.RunsOnce()
}

// tryTime returns the time that one attempt may take.
func (r *Relay) tryTime(x *exchange) time.Duration {
	left := x.left()
	if x.route.RunsOnce() || x.sends+1 >= x.route.MaxAttempts {
		return left
	}
	return min(left, max(x.route.Objective, time.Duration(float64(left)*firstTryShare)))
}

// call sends the request to an endpoint and returns its whole answer. A response
// that belongs to another request is an error in doubt.
func (r *Relay) call(ctx context.Context, x *exchange, to *configuration.Endpoint, call *Call, timeout time.Duration) (*Answer, Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, verdict, err := r.open(ctx, x, to, call)
	if err != nil {
		return nil, verdict, err
	}
	defer response.Close()
	body, err := readWhole(response)
	if err != nil {
		return nil, verdict, upstream.InDoubt.Wrap(err, "answer of %s", to.Name)
	}
	return &Answer{Status: response.Status, Header: response.Header, Body: body}, verdict, nil
}

// readWhole reads an answer to its end.
func readWhole(response *upstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		return nil, io.ErrShortBuffer
	}
	return body, err
}

// open sends the request to an endpoint and returns its response, which the
// caller closes.
func (r *Relay) open(ctx context.Context, x *exchange, to *configuration.Endpoint, call *Call) (*upstream.Response, Verdict, error) {
	instance := r.options.Fleet.View().Instance(to.Name)
	if instance == nil {
		return nil, Verdict{}, upstream.NotSent.New("%s is gone", to.Name)
	}
	call.InstanceID = instance.ID
	call.Patience = x.left()
	if call.Stage != Prefill {
		x.sends++
	}
	r.Counters.Sent.Add(1)
	response, err := r.options.Client.Do(ctx, to.Address, &upstream.Request{
		Method:  x.request.Method,
		Target:  x.request.Target,
		Host:    x.request.Host,
		Header:  r.options.Dialect.Header(x.request, call),
		Body:    x.request.Body,
		MaxIdle: maxIdle(x, call),
	})
	if err != nil {
		return nil, Verdict{}, err
	}
	verdict := r.options.Dialect.Judge(x.request, call, response)
	if verdict.Foreign {
		r.Counters.Foreign.Add(1)
		response.Close()
		return nil, verdict, upstream.InDoubt.New("%s answered another request", to.Name)
	}
	return response, verdict, nil
}

// maxIdle returns how long the connection of a call may have been idle.
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
