package relay

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

var (
	// errSilent is the cause of a cut if the engine sent no event in time.
	errSilent = errors.New("no event arrived in time")
	// errNotTaken means that the engine that was to go on with a stream did not.
	errNotTaken = errors.New("the engine did not take the stream")
	// errGrantOutdated means that a grant names an engine that is leaving, not known here
	// or of a build that must not continue the stream.
	errGrantOutdated = errors.New("a granted engine is leaving, unknown or of another build")
)

// prepared are the engines that were granted for an attempt, with the call to the decode engine, which has taken
// the stream.
type prepared struct {
	demand scheduling.Demand
	grant  scheduling.Grant
	call   *decodeCall
	// sent is set if an engine got a call, which costs a retry whatever follows, and sends is the number
	// of calls that count as attempts.
	sent  bool
	sends int
	err   error
}

// continuation prepares other engines for a stream whose engine is silent, while the
// stream is still open. The silent engine may go on at any time.
type continuation struct {
	relay   *Relay
	service string
	cancel  context.CancelFunc
	outcome chan prepared
	// decoding is set once the decode engine may have got the request.
	decoding atomic.Bool
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
	go func() { c.outcome <- r.prepare(ctx, attempt, demand, &c.decoding) }()
	return c
}

// detached returns a copy whose use leaves g unchanged.
func (g *generation) detached() *generation {
	attempt, x := *g, *g.exchange
	x.exclude = slices.Clone(x.exclude)
	attempt.exchange = &x
	return &attempt
}

// prepare reserves engines for a demand, processes the prompt and lets the decode engine begin.
func (r *Relay) prepare(ctx context.Context, g *generation, demand scheduling.Demand, decoding *atomic.Bool) prepared {
	p := prepared{demand: demand}
	if p.grant, p.err = r.options.Reserver.Reserve(ctx, demand); p.err != nil {
		return p
	}
	// The engines may leave at any time; one view is used for all looks.
	view := r.options.Fleet.View()
	if !r.usable(view, g, p.grant) {
		p.err = errGrantOutdated
		r.release(demand.ID)
		return p
	}
	g.limited = p.grant.Limited
	var source *Source
	if p.grant.Prefill != p.grant.Decode {
		p.sent = true
		source, p.err = r.prefill(ctx, g, demand.ID, &view.Instance(p.grant.Prefill).Endpoint)
	}
	// An engine may have begun to leave, or a part of the prompt have been quarantined, meanwhile.
	if p.err == nil && !r.usable(r.options.Fleet.View(), g, p.grant) {
		p.err = errGrantOutdated
	}
	if p.err == nil && r.heldBack(g.exchange) {
		p.err = errHeldBack
	}
	if p.err == nil {
		p.err = ctx.Err()
	}
	if p.err == nil {
		p.sent = true
		decoding.Store(true)
		before := g.sends
		p.call, p.err = r.beginElsewhere(ctx, g, demand.ID, &view.Instance(p.grant.Decode).Endpoint, source)
		p.sends = g.sends - before
	}
	if p.err != nil {
		r.discardSource(source)
		r.release(demand.ID)
	}
	return p
}

// beginElsewhere lets an engine take a stream while the one before is silent. The error is not nil if it does not.
func (r *Relay) beginElsewhere(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint, source *Source) (*decodeCall, error) {
	c := r.openDecode(ctx, g, id, to, source)
	switch {
	case ctx.Err() != nil:
		c.close()
		return nil, ctx.Err()
	case c.taken():
		if err := r.confirmProcess(ctx, g, id, to); err != nil {
			c.close()
			return nil, err
		}
		c.confirmed = true
		return c, nil
	case c.err != nil:
		if brokenOff(c.err) {
			c.attempt.Broken()
			c.attempt.Settle(ctx)
		}
		_, _ = r.handleDecodeError(g, id, to, c.err)
	case c.verdict.OtherInstance:
		r.handleReplacedEngine(g, id, to)
	default:
		r.reportLeaving(id, to, c.verdict)
		r.reportLimit(g, id, to, c.verdict, c.started)
		r.observe(g, to, c.verdict.NotRun)
		r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.DecodeFailed, Decode: to.Name})
		r.decide(g.exchange, "engine declined", logrus.Fields{"endpoint": to.Name, "status": c.response.Status})
	}
	c.close()
	return nil, errNotTaken
}

// goOn reads the stream of an engine that has taken it.
func (r *Relay) goOn(ctx context.Context, g *generation, next *prepared) error {
	g.deliveredBefore, g.limited = g.delivered, next.grant.Limited
	g.sends += next.sends
	g.mayHaveRun = true
	r.reclaimOrigin(g, next.call.to.Build)
	defer next.call.close()
	_, err := r.finishDecode(ctx, g, next.call)
	return retryIfDeclined(err)
}

// discardSource frees a KV cache that no decode engine fetches; it may be nil.
func (r *Relay) discardSource(source *Source) {
	if source != nil {
		r.Counters.PrefillsLost.Add(1)
		r.free(source)
	}
}

// discard ends what was prepared for an attempt that does not follow, and returns its
// retry if no engine got a call.
func (r *Relay) discard(service string, p prepared) {
	if !p.sent {
		r.refundRetry(service)
	}
	if p.err != nil {
		return
	}
	p.call.close()
	r.release(p.demand.ID)
}

// decided returns the channel that receives the outcome, nil if c is nil.
func (c *continuation) decided() <-chan prepared {
	if c == nil {
		return nil
	}
	return c.outcome
}

// mayHaveRun reports whether the decode engine may have got the request; false if c is nil.
func (c *continuation) mayHaveRun() bool { return c != nil && c.decoding.Load() }

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
