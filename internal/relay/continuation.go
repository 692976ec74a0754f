package relay

import (
	"context"
	"errors"
	"slices"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

var (
	// errSilent is the cause of a cut if the engine sent no event in time.
	errSilent = errors.New("no event arrived in time")
	// errGrantOutdated means that a grant names an engine that is leaving, not known here
	// or of a build that must not continue the stream.
	errGrantOutdated = errors.New("a granted engine is leaving, unknown or of another build")
)

// prepared are the engines that were granted for an attempt, with the KV cache that was
// made for it.
type prepared struct {
	demand scheduling.Demand
	grant  scheduling.Grant
	// source is nil if the decode engine processes the prompt itself.
	source *Source
	// sent is set if an engine got a call, which costs a retry whatever follows.
	sent bool
	err  error
}

// continuation prepares other engines for a stream whose engine is silent, while the
// stream is still open. The silent engine may go on at any time.
type continuation struct {
	relay   *Relay
	service string
	cancel  context.CancelFunc
	outcome chan prepared
}

// seekContinuation begins to prepare other engines than the silent one. It takes a retry
// from the budget, which is returned if no engine gets a call. It returns nil if no further
// attempt may follow; the obstacle is then recorded.
func (r *Relay) seekContinuation(ctx context.Context, g *generation, silent string) *continuation {
	if g.route.RunsOnce() {
		g.obstacle = obstacleSingleRun
		return nil
	}
	if r.heldBack(g.exchange) || !r.mayAttempt(g.exchange) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &continuation{relay: r, service: g.service.Name, cancel: cancel, outcome: make(chan prepared, 1)}
	demand := r.demand(g)
	demand.Exclude = append(slices.Clone(demand.Exclude), silent)
	// The time for a target to be met has passed with the silence.
	demand.Targets = configuration.Targets{}
	attempt := g.detached()
	go func() { c.outcome <- r.prepare(ctx, attempt, demand) }()
	return c
}

// detached returns a copy whose use leaves g unchanged.
func (g *generation) detached() *generation {
	attempt, x := *g, *g.exchange
	x.exclude = slices.Clone(x.exclude)
	attempt.exchange = &x
	return &attempt
}

// prepare reserves engines for a demand and processes the prompt.
func (r *Relay) prepare(ctx context.Context, g *generation, demand scheduling.Demand) prepared {
	p := prepared{demand: demand}
	if p.grant, p.err = r.options.Reserver.Reserve(ctx, demand); p.err != nil {
		return p
	}
	// The engines may leave at any time; one view is used for both looks.
	view := r.options.Fleet.View()
	if !r.usable(view, g, p.grant) {
		p.err = errGrantOutdated
	} else if p.grant.Prefill != p.grant.Decode {
		prefill := view.Instance(p.grant.Prefill)
		g.limited = p.grant.Limited
		p.sent = true
		p.source, p.err = r.prefill(ctx, g, demand.ID, &prefill.Endpoint)
	}
	if p.err != nil {
		r.release(demand.ID)
	}
	return p
}

// discard releases what was prepared for an attempt that does not follow, and returns its
// retry if no engine got a call.
func (r *Relay) discard(service string, p prepared) {
	if !p.sent {
		r.refundRetry(service)
	}
	if p.err != nil {
		return
	}
	if p.source != nil {
		r.Counters.PrefillsLost.Add(1)
		r.free(p.source)
	}
	r.release(p.demand.ID)
}

// decided returns the channel that receives the outcome, nil if c is nil.
func (c *continuation) decided() <-chan prepared {
	if c == nil {
		return nil
	}
	return c.outcome
}

// withdraw gives up the preparation because the silent engine goes on or the stream has
// ended. It does nothing if c is nil.
func (c *continuation) withdraw() {
	if c == nil {
		return
	}
	c.cancel()
	go func() { c.relay.discard(c.service, <-c.outcome) }()
}

// release reports that an attempt no longer holds its engines.
func (r *Relay) release(id engine.AttemptID) {
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.Released})
}
