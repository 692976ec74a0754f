package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/claim"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/forward"
	"github.com/ospreyshed/ospreyshed/internal/problem"
)

// servePlain serves requests to all other paths, where only plain classes are served.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request) {
	g.Counters.InFlight.Add(1)
	defer g.Counters.InFlight.Add(-1)
	x := g.begin(w, r)
	if x == nil {
		return
	}
	if !g.classify(x, "") {
		return
	}
	body, ok := g.readBody(x)
	if !ok {
		return
	}
	if x.class.ModelBacked() {
		g.refuse(x, problem.New(problem.BadRequest, http.StatusBadRequest, problem.NotRun,
			"a model-backed class is served at /v1/completions and /v1/chat/completions"))
		return
	}
	g.forwardPlain(x, body)
}

// forwardPlain sends a request to a plain service, at most once if the class does
// not allow retries.
func (g *Gateway) forwardPlain(x *exchange, body []byte) {
	key, ok := g.idempotencyKey(x)
	if !ok || g.refuseStopping(x, key) {
		return
	}
	if x.class.Repeat == configuration.NeverRepeat {
		g.forwardOnce(x, body, key)
		return
	}
	reply, err := g.options.Forwarder.Do(x.r.Context(), g.plainCall(x, body, key))
	switch {
	case err == nil:
		g.writeReply(x, reply)
		reply.Close()
	case x.r.Context().Err() != nil:
		g.recordCallerGone(x)
	default:
		g.refuse(x, plainProblem(err))
	}
}

func (g *Gateway) plainCall(x *exchange, body []byte, key string) *forward.Call {
	return &forward.Call{
		RequestID: x.id,
		Class:     x.class,
		Path:      x.r.URL.RequestURI(),
		Header:    x.r.Header,
		Body:      body,
		Key:       key,
	}
}

// forwardOnce claims the key, sends the call once and records the outcome. The
// call continues if the caller disconnects, because the outcome of a cancelled
// call would be unknown.
func (g *Gateway) forwardOnce(x *exchange, body []byte, key string) {
	decision, err := g.options.Claims.Claim(x.r.Context(), claim.Key{Team: x.team.Name(), Key: key})
	if err != nil {
		g.refuse(x, claimProblem(err, firstAttempt(x.r)))
		return
	}
	if decision.Kind != claim.Run {
		g.answerRepeat(x, &decision)
		return
	}
	call := g.plainCall(x, body, key)
	// A stop may have begun while the key was claimed.
	call.MayExecute = func() bool { return !g.mayBeCutOff(x) && decision.Ticket.MayExecute() }
	reply, err := g.options.Forwarder.Do(context.WithoutCancel(x.r.Context()), call)
	if err != nil {
		decision.Ticket.Finish(claim.Outcome{Execution: executionOf(err)})
		g.refuse(x, plainProblem(err))
		return
	}
	defer reply.Close()
	delivered := g.writeReply(x, reply)
	decision.Ticket.Finish(claim.Outcome{
		Execution: claim.Ran,
		Delivered: delivered,
		Answer:    claim.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body},
	})
}

// executionOf returns whether the call ran, given an error of the Forwarder.
func executionOf(err error) claim.Execution {
	switch {
	case errorx.HasTrait(err, forward.NotRun):
		return claim.DidNotRun
	case errorx.IsOfType(err, forward.CutShort):
		return claim.Ran
	default:
		return claim.MayHaveRun
	}
}

// writeReply sends a reply to the caller and reports whether it was written
// completely.
func (g *Gateway) writeReply(x *exchange, reply *forward.Reply) bool {
	if x.r.Context().Err() != nil {
		g.recordCallerGone(x)
		return false
	}
	header := x.w.Header()
	for name, values := range reply.Header {
		if name != RequestIDHeader {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	g.setWriteDeadline(x.w)
	x.w.WriteHeader(reply.Status)
	_, err := x.w.Write(reply.Body)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		g.recordCallerGone(x)
		return false
	}
	g.recordAnswered(x)
	return true
}

// plainProblem converts an error of the Forwarder to a problem.
func plainProblem(err error) *problem.Details {
	switch {
	case errorx.IsOfType(err, forward.NoMemory):
		return problem.New(problem.Overloaded, http.StatusServiceUnavailable, problem.NotRun, err.Error()).WithRetryAfter(claimRetryAfter)
	case errorx.IsOfType(err, forward.NoEndpoint):
		return problem.New(problem.NoEndpoint, http.StatusServiceUnavailable, problem.NotRun, err.Error()).WithRetryAfter(claimRetryAfter)
	case errorx.HasTrait(err, forward.NotRun):
		return problem.New(problem.EndpointFailed, http.StatusBadGateway, problem.NotRun, err.Error())
	case errorx.IsOfType(err, forward.CutShort):
		return problem.New(problem.EndpointFailed, http.StatusBadGateway, problem.Ran, err.Error())
	default:
		return problem.New(problem.EndpointFailed, http.StatusBadGateway, problem.Unknown, err.Error())
	}
}
