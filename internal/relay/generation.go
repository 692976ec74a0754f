package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

const (
	// minBusyRetryAfter and mostBusyRetryAfter bound what is told to callers of a
	// busy pool. Bursts last for some seconds, and a caller who comes back within one
	// is refused for good. Callers wait no longer than a third of their time.
	minBusyRetryAfter = 3 * time.Second
	maxBusyRetryAfter = 4 * time.Second
)

var (
	// errGiveUp ends a generation's attempts.
	errGiveUp = errors.New("no further attempt")
	// errRetry asks for another attempt.
	errRetry = errors.New("try again")
	// errDeclined says that an engine did not take a request.
	errDeclined = errors.New("declined")
)

// generation is a generation over its attempts.
type generation struct {
	*exchange
	// headerSent says that the caller has the header of the stream.
	headerSent bool
	// lastEventID is the last event that the caller has.
	lastEventID string
	// delivered is the number of tokens that the caller has, deliveredBefore the number that
	// it had when the present attempt began.
	delivered, deliveredBefore int
	// priorWait is the time that earlier attempts of the caller took.
	priorWait time.Duration
	// firstEvent is when the caller got the first event, lastEvent the last one, and
	// longestPause the longest time between two.
	firstEvent, lastEvent time.Time
	longestPause          time.Duration
	// relaxed says that the first of two targets was refused: the whole objective
	// may be used up in waiting.
	relaxed bool
	// late says that the objective cannot be met any more.
	late bool
}

// serveGeneration serves a request that model engines answer.
func (r *Relay) serveGeneration(ctx context.Context, x *exchange) {
	g := &generation{
		exchange:    x,
		lastEventID: x.request.Generation.LastEventID,
		priorWait:   r.waits.priorWait(x.route.Name, x.request.Timeout),
	}
	g.late = g.priorWait >= x.route.Objective-deliveryMargin
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	for r.mayAttempt(x) {
		err := r.attempt(ctx, g)
		if err == nil {
			r.Counters.Answered.Add(1)
			r.decide(x, "stream complete", logrus.Fields{
				"tokens": g.delivered, "late": g.late, "first_event_ms": g.firstEvent.Sub(x.request.Arrived).Milliseconds(),
				"longest_pause_ms": g.longestPause.Milliseconds(),
			})
			return
		}
		if errors.Is(err, context.Canceled) || ctx.Err() != nil || errors.Is(err, errGiveUp) {
			break
		}
	}
	r.concludeGeneration(ctx, g)
}

// concludeGeneration gives the final answer after the last attempt.
func (r *Relay) concludeGeneration(ctx context.Context, g *generation) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		r.callerGone(g.exchange)
	case g.headerSent:
		r.Counters.Broken.Add(1)
		r.decide(g.exchange, "stream broken", logrus.Fields{"tokens": g.delivered})
		g.caller.Abort()
	default:
		r.concludePlain(g.exchange)
	}
}

// attempt reserves engines and runs the request on them once. It returns nil if
// the answer is complete, errGiveUp if no other attempt may follow.
func (r *Relay) attempt(ctx context.Context, g *generation) error {
	started := time.Now()
	demand, grant, err := r.reserve(ctx, g)
	if err != nil {
		return err
	}
	defer func() {
		r.options.Reserver.Progress(scheduling.Progress{ID: demand.ID, Kind: scheduling.Released, Tokens: g.delivered - g.deliveredBefore})
	}()
	r.Queues.Observe(time.Since(started))
	r.decide(g.exchange, "engines granted", logrus.Fields{
		"attempt": demand.ID.String(), "prefill": grant.Prefill, "decode": grant.Decode,
		"queued_ms": time.Since(started).Milliseconds(), "predicted_first_ms": grant.FirstToken.Milliseconds(),
		"prompt_tokens": demand.PromptTokens, "output_tokens": demand.OutputTokens, "expected_tokens": g.request.Generation.ExpectedOutputTokens,
	})
	return r.run(ctx, g, demand.ID, grant)
}

// reserve asks for engines, with a later target after each refusal for want of
// time. The error is errGiveUp.
func (r *Relay) reserve(ctx context.Context, g *generation) (scheduling.Demand, scheduling.Grant, error) {
	for {
		demand := r.demand(g)
		grant, err := r.options.Reserver.Reserve(ctx, demand)
		if err == nil {
			return demand, grant, nil
		}
		if err = r.handleRefusal(g, err); !errors.Is(err, errRetry) {
			return demand, grant, err
		}
	}
}

// handleRefusal takes note of a refusal. It returns errAgain if a later target may be
// granted.
func (r *Relay) handleRefusal(g *generation, err error) error {
	var refusal *scheduling.Refusal
	if !errors.As(err, &refusal) {
		g.refusal = err.Error()
		return errGiveUp
	}
	if refusal.Reason == scheduling.RefusedTarget && !g.late && !g.headerSent {
		g.late = g.relaxed
		g.relaxed = true
		return errRetry
	}
	if g.headerSent || g.mayHaveRun {
		return errGiveUp
	}
	g.refusal = string(refusal.Reason)
	g.retryAfter = min(max(refusal.RetryAfter, minBusyRetryAfter), maxBusyRetryAfter)
	return errGiveUp
}

// run prefills on one engine and generates on another.
func (r *Relay) run(ctx context.Context, g *generation, id engine.AttemptID, grant scheduling.Grant) error {
	view := r.options.Fleet.View()
	prefill, decode := view.Instance(grant.Prefill), view.Instance(grant.Decode)
	if !available(prefill) || !available(decode) {
		return r.discardGrant(g, id, grant)
	}
	g.deliveredBefore = g.delivered
	if prefill == decode {
		return r.decodeWhole(ctx, g, id, &decode.Endpoint)
	}
	source, err := r.prefill(ctx, g, id, &prefill.Endpoint)
	if err != nil {
		return err
	}
	// The engine may have announced its end while the prompt was read.
	if !available(r.options.Fleet.View().Instance(grant.Decode)) {
		r.Counters.PrefillsLost.Add(1)
		r.free(source)
		return r.discardGrant(g, id, grant)
	}
	taken, err := r.decode(ctx, g, id, &decode.Endpoint, source)
	if taken {
		return err
	}
	r.Counters.PrefillsLost.Add(1)
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.PrefillFailed, Prefill: prefill.Name})
	r.free(source)
	if !errors.Is(err, errDeclined) || !r.spendRetry(g.exchange) {
		return retryIfDeclined(err)
	}
	// The KV cache was gone. The engine still keeps the slot and reads the prompt.
	g.sends--
	return r.decodeWhole(ctx, g, id, &decode.Endpoint)
}

// decodeWhole has a decode engine read the prompt itself. An engine that declines
// that has no room or leaves, whatever the ledger says.
func (r *Relay) decodeWhole(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint) error {
	_, err := r.decode(ctx, g, id, to, nil)
	if !errors.Is(err, errDeclined) {
		return err
	}
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.DecodeFailed, Decode: to.Name})
	g.exclude = append(g.exclude, to.Name)
	return errRetry
}

// retryIfDeclined makes another attempt follow an engine that declined.
func retryIfDeclined(err error) error {
	if errors.Is(err, errDeclined) {
		return errRetry
	}
	return err
}

// available reports whether an engine is there and does not leave, as far as
// this process knows.
func available(instance *fleet.Instance) bool { return instance != nil && !instance.Draining }

// discardGrant keeps further attempts off engines that this process knows to
// leave, or has not heard of yet. The owner of the grant knows another state of
// the fleet, and is told of those that leave.
func (r *Relay) discardGrant(g *generation, id engine.AttemptID, grant scheduling.Grant) error {
	view := r.options.Fleet.View()
	for _, name := range []string{grant.Prefill, grant.Decode} {
		instance := view.Instance(name)
		if available(instance) {
			continue
		}
		g.exclude = append(g.exclude, name)
		leaves := instance != nil || view.Departed(name)
		if leaves {
			r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.EngineLeaving, Prefill: name, Decode: name})
		}
		r.decide(g.exchange, "grant not used", logrus.Fields{"endpoint": name, "leaves": leaves})
	}
	g.refusal = "an engine leaves"
	return errRetry
}

// retryOrGiveUp takes one repeat that is no send of the request itself.
func (r *Relay) retryOrGiveUp(g *generation) error {
	if !r.spendRetry(g.exchange) {
		return errGiveUp
	}
	return errRetry
}

// retryUnlessSingleRun returns what follows a failure of an engine that may have run the
// request.
func (g *generation) retryUnlessSingleRun() error {
	if g.route.RunsOnce() {
		return errGiveUp
	}
	return errRetry
}

// observe records how a call to an engine went. The time of a call depends on
// the request, so that it says nothing of the engine.
func (r *Relay) observe(g *generation, to *configuration.Endpoint, ok bool) {
	group := endpointNames(r.options.Fleet.View().Engines(g.service.Name, to.Role, ""))
	r.options.Endpoints.Observe(to.Name, group, ok, 0)
}
