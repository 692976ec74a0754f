package gateway

import (
	"context"
	"net/http"

	"github.com/ospreyshed/ospreyshed/internal/claim"
	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/problem"
)

// Answers ensures that a model-backed request with a key is answered at most once.
type Answers interface {
	// Begin decides whether an attempt with the key may run.
	Begin(ctx context.Context, key claim.Key) (claim.AnswerDecision, error)
}

// completeOnce answers a model-backed request at most once per key.
func (g *Gateway) completeOnce(x *exchange, body *completionBody, key string) {
	decision, err := g.options.Answers.Begin(x.r.Context(), claim.Key{Team: x.team.Name(), Key: key})
	if err != nil {
		g.refuse(x, claimProblem(err, firstAttempt(x.r)))
		return
	}
	if decision.Kind != claim.Run {
		g.refuse(x, repeatProblem(&claim.Decision{Kind: decision.Kind, RetryAfter: decision.RetryAfter}))
		return
	}
	permit := requestPermit(x.r.Context(), decision.Ticket)
	delivered := false
	defer func() {
		// An interrupted response panics with http.ErrAbortHandler; the ticket has to
		// be ended in that case too.
		<-permit.done
		if delivered || permit.used {
			decision.Ticket.Delivered()
			return
		}
		decision.Ticket.Abandon()
	}()
	delivered = g.run(x.r.Context(), x, g.newPermittedResponse(x, body, permit), body)
}

// permit is the registry's permission to send an answer to the caller. It is
// requested while the engines work, so that it adds no latency.
type permit struct {
	done chan struct{}
	err  error
	// used means that a part of the answer may have been sent.
	used bool
}

func requestPermit(ctx context.Context, ticket *claim.AnswerTicket) *permit {
	p := &permit{done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = ticket.MayAnswer(ctx)
	}()
	return p
}

func (p *permit) wait() error {
	<-p.done
	return p.err
}

// use waits for the permission and marks it as used.
func (p *permit) use() error {
	if err := p.wait(); err != nil {
		return completion.Withheld.Wrap(err, "the registry of keys")
	}
	p.used = true
	return nil
}

// permittedResponse sends nothing to the caller before the permit is granted.
type permittedResponse struct {
	responseWriter
	permit *permit
	// streaming means that tokens are sent as they arrive.
	streaming bool
}

func (g *Gateway) newPermittedResponse(x *exchange, body *completionBody, p *permit) responseWriter {
	return &permittedResponse{responseWriter: g.newResponseWriter(x, body), permit: p, streaming: body.stream}
}

// Token implements completion.Sink.
func (p *permittedResponse) Token(token engine.Token) error {
	if p.streaming && !p.permit.used {
		if err := p.permit.use(); err != nil {
			return err
		}
	}
	return p.responseWriter.Token(token)
}

func (p *permittedResponse) end(result completion.Result) error {
	if !p.permit.used {
		if err := p.permit.use(); err != nil {
			return err
		}
	}
	return p.responseWriter.end(result)
}

// permitProblem returns the problem for an answer that the registry did not permit.
func permitProblem(err error) *problem.Details {
	return problem.New(problem.ClaimUnavailable, http.StatusServiceUnavailable, problem.Ran,
		"the answer was withheld: "+err.Error()).WithRetryAfter(claimRetryAfter)
}
