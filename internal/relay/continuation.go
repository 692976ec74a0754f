package relay

import (
	"context"
	"slices"

	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// reserved is a demand and the engines that were granted for it.
type reserved struct {
	demand scheduling.Demand
	grant  scheduling.Grant
	err    error
}

// continuation reserves other engines for a stream whose engine is silent, while the
// stream is still open. The silent engine may go on at any time.
type continuation struct {
	relay   *Relay
	service string
	cancel  context.CancelFunc
	// outcome receives the decision on the demand.
	outcome chan reserved
}

// seekContinuation begins to reserve other engines than the silent one. It takes a retry
// from the budget, which withdraw returns. It returns nil if no further attempt may follow;
// the obstacle is then recorded.
func (r *Relay) seekContinuation(ctx context.Context, g *generation, silent string) *continuation {
	if g.route.RunsOnce() {
		g.obstacle = obstacleSingleRun
		return nil
	}
	if !r.mayAttempt(g.exchange) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &continuation{relay: r, service: g.service.Name, cancel: cancel, outcome: make(chan reserved, 1)}
	demand := r.demand(g)
	demand.Exclude = append(slices.Clone(demand.Exclude), silent)
	go func() {
		grant, err := r.options.Reserver.Reserve(ctx, demand)
		c.outcome <- reserved{demand: demand, grant: grant, err: err}
	}()
	return c
}

// decided returns the channel that receives the decision, nil if c is nil.
func (c *continuation) decided() <-chan reserved {
	if c == nil {
		return nil
	}
	return c.outcome
}

// withdraw gives up the reservation and its retry because the silent engine goes on or
// the stream has ended. It does nothing if c is nil.
func (c *continuation) withdraw() {
	if c == nil {
		return
	}
	c.cancel()
	c.relay.refundRetry(c.service)
	go func() {
		if o := <-c.outcome; o.err == nil {
			c.relay.release(o.demand.ID)
		}
	}()
}
