package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/problem"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// serveModel serves the completion paths. If the class of the request is plain, the
// original body is forwarded.
func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request) {
	g.Counters.InFlight.Add(1)
	defer g.Counters.InFlight.Add(-1)
	x := g.begin(w, r)
	if x == nil {
		return
	}
	data, ok := g.readBody(x)
	if !ok {
		return
	}
	body, err := parseCompletion(data, strings.HasPrefix(r.URL.Path, "/v1/chat/"))
	if err != nil {
		g.refuse(x, badRequest(err))
		return
	}
	if !g.classify(x, body.model) || !g.checkBounds(x, &body) {
		return
	}
	if !x.class.ModelBacked() {
		g.forwardPlain(x, data)
		return
	}
	g.complete(x, &body)
}

// responseWriter sends the tokens of an answer to the caller.
type responseWriter interface {
	completion.Sink
	// committed reports whether a part of the response may have been sent.
	committed() bool
	// end completes the response.
	end(result completion.Result) error
	// interrupt aborts a response that is committed.
	interrupt(d *problem.Details)
}

// complete runs a model-backed request. With an idempotency key, it is answered at
// most once.
func (g *Gateway) complete(x *exchange, body *completionBody) {
	key, ok := g.idempotencyKey(x)
	if !ok || g.refuseStopping(x, key) {
		return
	}
	if key == "" {
		g.run(x.r.Context(), x, g.newResponseWriter(x, body), body)
		return
	}
	g.completeOnce(x, body, key)
}

// run runs a model-backed request and reports whether the complete response was
// sent.
func (g *Gateway) run(ctx context.Context, x *exchange, out responseWriter, body *completionBody) bool {
	result, err := g.options.Completer.Run(ctx, g.request(x, body), out)
	if err == nil {
		err = out.end(result)
	}
	if err != nil {
		g.fail(x, out, err)
		return false
	}
	g.recordAnswered(x)
	return true
}

func (g *Gateway) request(x *exchange, body *completionBody) *completion.Request {
	return &completion.Request{
		Number:     x.number,
		ID:         x.id,
		Team:       x.team.Team,
		Class:      x.class,
		Prompt:     &body.prompt,
		PromptText: body.text,
		MaxTokens:  body.maxTokens,
		Arrived:    x.arrived,
	}
}

func (g *Gateway) newResponseWriter(x *exchange, body *completionBody) responseWriter {
	if body.stream {
		return newEventStream(g, x, body)
	}
	return newBufferedResponse(g, x, body)
}

// fail ends a request whose response cannot be completed.
func (g *Gateway) fail(x *exchange, out responseWriter, err error) {
	details := modelProblem(err)
	switch {
	case errorx.IsOfType(err, completion.Withheld):
		details = permitProblem(err)
	case errorx.IsOfType(err, completion.CallerGone):
		g.recordCallerGone(x)
		return
	}
	if !out.committed() {
		g.refuse(x, details)
		return
	}
	g.Counters.Interrupted.Add(1)
	g.options.Events.Record(timeline.RequestFailed, x.id, string(details.Type))
	out.interrupt(details)
}

// modelProblem converts an error of the Completer to a problem.
func modelProblem(err error) *problem.Details {
	var refused *completion.RefusedError
	if !errors.As(err, &refused) {
		return problem.New(problem.EndpointFailed, http.StatusBadGateway, problem.Ran, err.Error())
	}
	kind, status := refusalStatus(refused)
	details := problem.New(kind, status, outcomeOf(refused.Outcome), refused.Error())
	return details.WithRetryAfter(refused.Refusal.RetryAfter)
}

// refusalStatus maps a refusal to a problem type and an HTTP status.
func refusalStatus(refused *completion.RefusedError) (problem.Type, int) {
	if errorx.IsOfType(refused.Cause, engine.BadRequest) {
		return problem.BadRequest, http.StatusBadRequest
	}
	switch refused.Refusal.Reason {
	case scheduling.RefusedTarget:
		return problem.TargetMissed, http.StatusServiceUnavailable
	case scheduling.RefusedQueueFull:
		return problem.Overloaded, http.StatusTooManyRequests
	case scheduling.RefusedTooLarge:
		return problem.TooLarge, http.StatusRequestEntityTooLarge
	case scheduling.RefusedEngineFailed:
		return problem.EndpointFailed, http.StatusBadGateway
	default:
		return problem.NoEndpoint, http.StatusServiceUnavailable
	}
}

func outcomeOf(o completion.Outcome) problem.Outcome {
	switch o {
	case completion.OutcomeNotRun:
		return problem.NotRun
	case completion.OutcomeRan:
		return problem.Ran
	default:
		return problem.Unknown
	}
}
