package gateway

import (
	"context"
	"net/http"

	"github.com/ospreyshed/ospreyshed/internal/claim"
	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/problem"
)

// Answers lets a model-backed request with a key be answered at most once.
type Answers interface {
	// Begin decides on a repeat of the key.
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
		g.refuse(x, duplicateProblem(&claim.Decision{Kind: decision.Kind, RetryAfter: decision.RetryAfter}))
		return
	}
	permit := requestPermit(x.r.Context(), decision.Ticket)
	delivered := false
	defer func() {
		// An interrupted answer panics through here on purpose.
		<-permit.done
		if delivered || permit.used {
			decision.Ticket.Delivered()
			return
		}
		decision.Ticket.Abandon()
	}()
	delivered = g.run(x.r.Context(), x, g.newPermittedResponse(x, body, permit), body)
}

// permit is the registry's leave to give an answer to the caller. It is asked
// for while the engines work, so that it adds no latency.
type permit struct {
	done chan struct{}
	err  error
	// used says that a byte may have been given to the caller.
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

// use waits for the leave and notes that it is about to be used.
func (p *permit) use() error {
	if err := p.wait(); err != nil {
		return completion.Withheld.Wrap(err, "the registry of keys")
	}
	p.used = true
	return nil
}

// permittedResponse is an answer that gives nothing to the caller before the leave.
type permittedResponse struct {
	responseWriter
	permit *permit
	// streaming says that tokens reach the caller as they come.
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

// permitProblem explains an answer that the registry did not allow.
func permitProblem(err error) *problem.Details {
	return problem.New(problem.ClaimUnavailable, http.StatusServiceUnavailable, problem.Ran,
		"the answer was withheld: "+err.Error()).WithRetryAfter(claimRetryAfter)
}
