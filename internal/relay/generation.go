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
	// minBusyRetryAfter and maxBusyRetryAfter bound the retry delay sent to callers of
	// a busy pool. Bursts last for several seconds, and a caller that retries during the
	// same burst is finally refused. Callers wait for a retry no longer than a third of
	// their timeout. Where urgency orders demands, the delay is predicted and only the lower
	// bound holds.
	minBusyRetryAfter = 3 * time.Second
	maxBusyRetryAfter = 4 * time.Second
	// stoppingRetryAfter is the retry delay sent to callers of a VM that stops. Another VM
	// can serve them at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// maxLoggedParts limits the parts of a prompt in a log line.
	maxLoggedParts = 16
)

// stoppingRefusal is the refusal of a VM that stops.
var stoppingRefusal = Refusal{Reason: "the VM is stopping", RetryAfter: stoppingRetryAfter}

var (
	// errGiveUp means that no further attempt may follow.
	errGiveUp = errors.New("attempt failed and no other attempt may follow")
	// errRetry means that another attempt may follow.
	errRetry = errors.New("attempt failed and another attempt may follow")
	// errDeclined means that an engine did not accept a request.
	errDeclined = errors.New("declined")
)

// obstacleSingleRun is the obstacle of a request that may run only once.
const obstacleSingleRun = "the route allows a single run"

// obstacleDeadline is the obstacle of a request whose deadline has passed.
const obstacleDeadline = "the deadline has passed"

// generation is the state of a generation request across its attempts.
type generation struct {
	*exchange
	lineage
	// headerSent is set once the header of the stream was sent to the caller.
	headerSent bool
	// lastEventID is the ID of the last event that the caller received.
	lastEventID string
	// part is what the latest engine sent of the stream.
	part enginePart
	// delivered is the number of tokens delivered to the caller, deliveredBefore the
	// number that had been delivered when the current attempt began.
	delivered, deliveredBefore int
	// priorWait is the estimated time that the caller spent on its earlier attempts.
	priorWait time.Duration
	// firstEvent and lastEvent are the times at which the caller got its first and its
	// latest event, longestPause is the longest time between two events.
	firstEvent, lastEvent time.Time
	longestPause          time.Duration
	// relaxed is set once the first of two targets was refused. The second target is
	// the whole objective.
	relaxed bool
	// late is set if the objective can no longer be met.
	late bool
	// limited says that one of the granted engines takes a limited number of requests.
	limited bool
	// next holds the engines that were prepared for the next attempt during the current
	// one, nil if there are none.
	next *prepared
}

// serveGeneration serves a request on model engines.
func (r *Relay) serveGeneration(ctx context.Context, x *exchange) {
	g := &generation{
		exchange:    x,
		lastEventID: x.request.lastEventID(),
		priorWait:   r.waits.priorWait(x.route.Name, x.request.Timeout),
	}
	g.late = g.priorWait >= x.route.Objective-deliveryMargin
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if !r.trace(ctx, g) {
		return
	}
	complete := false
	defer func() { r.endStream(g, complete) }()
	defer r.discardUnused(g)
	for !r.heldBack(g.exchange) && (g.next != nil || r.mayAttempt(x)) {
		err := r.attempt(ctx, g)
		if err == nil {
			complete = true
			r.Counters.Answered.Add(1)
			r.decide(x, "stream complete", g.part.addTo(logrus.Fields{
				"tokens": g.delivered, "late": g.late, "first_event_ms": g.firstEvent.Sub(x.request.Arrived).Milliseconds(),
				"longest_pause_ms": g.longestPause.Milliseconds(),
			}))
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
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			g.obstacle = obstacleDeadline
		}
		r.decide(g.exchange, "stream broken", g.part.addTo(logrus.Fields{
			"tokens": g.delivered, "last_event": loggedID(g.lastEventID), "reason": g.obstacle,
		}))
		g.caller.Abort()
	default:
		r.concludePlain(g.exchange)
	}
}

// attempt reserves engines and runs the request on them once, or goes on with those that
// took the stream during the previous attempt. It returns nil if the answer is complete,
// errGiveUp if no other attempt may follow.
func (r *Relay) attempt(ctx context.Context, g *generation) error {
	if next := g.next; next != nil {
		g.next = nil
		return r.holding(g, next.demand, next.grant, time.Now(), func() error { return r.goOn(ctx, g, next) })
	}
	started := time.Now()
	demand, grant, err := r.reserveUnlessStopping(ctx, g)
	if err != nil {
		r.returnRetry(g.exchange)
		return err
	}
	r.Queues.Observe(time.Since(started))
	return r.holding(g, demand, grant, started, func() error { return r.run(ctx, g, demand.ID, grant) })
}

// holding runs an attempt and releases its engines.
func (r *Relay) holding(g *generation, demand scheduling.Demand, grant scheduling.Grant, started time.Time, run func() error) error {
	defer func() {
		r.options.Reserver.Progress(scheduling.Progress{ID: demand.ID, Kind: scheduling.Released, Tokens: g.delivered - g.deliveredBefore})
	}()
	r.decide(g.exchange, "engines granted", logrus.Fields{
		"attempt": demand.ID.String(), "prefill": grant.Prefill, "decode": grant.Decode, "build": r.buildOf(grant.Decode),
		"last_event": loggedID(g.lastEventID), "resumes": loggedID(g.request.resumes()),
		"queued_ms": time.Since(started).Milliseconds(), "predicted_first_ms": grant.FirstToken.Milliseconds(),
		"prompt_tokens": demand.PromptTokens, "output_tokens": demand.OutputTokens, "expected_tokens": g.request.Generation.ExpectedOutputTokens,
		"parts": g.loggedParts(), "identity": g.identity, "urgency": demand.Urgency, "late": g.late, "prior_wait_ms": g.priorWait.Milliseconds(),
	})
	return run()
}

// loggedParts returns the parts of the prompt that are logged.
func (g *generation) loggedParts() []string {
	parts := g.request.Generation.SharedParts
	return parts[:min(len(parts), maxLoggedParts)]
}

// reserveUnlessStopping reserves engines for a stream. It refuses one that has not begun
// if this VM is stopping.
func (r *Relay) reserveUnlessStopping(ctx context.Context, g *generation) (scheduling.Demand, scheduling.Grant, error) {
	if g.headerSent {
		return r.reserve(ctx, g)
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.stopping, cancel)()
	demand, grant, err := r.reserve(waiting, g)
	if err != nil && ctx.Err() == nil && r.stopping.Err() != nil {
		g.refusal, g.retryAfter = stoppingRefusal.Reason, stoppingRefusal.RetryAfter
	}
	return demand, grant, err
}

// discardUnused gives up what was prepared for an attempt that does not follow.
func (r *Relay) discardUnused(g *generation) {
	if g.next != nil {
		r.discard(g.service.Name, *g.next)
	}
}

// reserve requests engines, and retries the demand with a later target each time it
// is refused because the target cannot be met. The error is errGiveUp.
func (r *Relay) reserve(ctx context.Context, g *generation) (scheduling.Demand, scheduling.Grant, error) {
	for {
		if !r.awaitListed(ctx, g) {
			return scheduling.Demand{}, scheduling.Grant{}, errGiveUp
		}
		limited, listed, stop := r.untilListed(ctx, g)
		demand := r.demand(g)
		grant, err := r.options.Reserver.Reserve(limited, demand)
		stop()
		if err == nil {
			return demand, grant, nil
		}
		if listed() && ctx.Err() == nil {
			continue
		}
		if err = r.handleRefusal(g, err); !errors.Is(err, errRetry) {
			return demand, grant, err
		}
	}
}

// handleRefusal records the refusal of a demand. It returns errRetry if a demand with
// a later target may be granted, else errGiveUp.
func (r *Relay) handleRefusal(g *generation, err error) error {
	var refusal *scheduling.Refusal
	if !errors.As(err, &refusal) {
		g.refusal = err.Error()
		return errGiveUp
	}
	if g.allowFailedEngines(refusal.Reason) {
		return errRetry
	}
	if refusal.Reason == scheduling.RefusedTarget && !g.late && !g.begun && !g.headerSent {
		g.late = g.relaxed
		g.relaxed = true
		return errRetry
	}
	g.obstacle = string(refusal.Reason)
	if g.headerSent || g.mayHaveRun {
		return errGiveUp
	}
	g.refusal = string(refusal.Reason)
	g.retryAfter = g.busyRetryAfter(refusal.RetryAfter)
	if quiet := r.earliestEndOfQuiet(r.engines(g.service.Name)); refusal.Reason == scheduling.RefusedNoEngine && quiet > 0 {
		g.retryAfter = spread(quiet)
	}
	return errGiveUp
}

// busyRetryAfter returns the retry delay for the caller of a busy pool. For a strict demand
// the owner predicted when its turn would come; the bound below is for owners of older
// releases, which predict something else.
func (g *generation) busyRetryAfter(predicted time.Duration) time.Duration {
	longest := maxBusyRetryAfter
	if g.strict() {
		longest = g.retryWithin()
	}
	return min(max(predicted, minBusyRetryAfter), longest)
}

// run runs the request on the granted engines: the prefill on one and the decode on
// another, or both on one if the grant names it twice.
func (r *Relay) run(ctx context.Context, g *generation, id engine.AttemptID, grant scheduling.Grant) error {
	g.limited = grant.Limited
	view := r.options.Fleet.View()
	prefill, decode := view.Instance(grant.Prefill), view.Instance(grant.Decode)
	if !r.mayUse(prefill) || !r.mayUse(decode) {
		r.returnRetry(g.exchange)
		return r.discardGrant(g, id, grant)
	}
	if !r.mayContinue(g, decode) {
		r.returnRetry(g.exchange)
		return r.discardWrongBuild(g, decode)
	}
	if r.heldBack(g.exchange) {
		r.returnRetry(g.exchange)
		return errGiveUp
	}
	g.deliveredBefore = g.delivered
	if prefill == decode {
		return r.decodeWhole(ctx, g, id, &decode.Endpoint)
	}
	source, err := r.prefill(ctx, g, id, &prefill.Endpoint)
	if errors.Is(err, errNoPrefill) {
		return r.retryOrGiveUp(g)
	}
	if err != nil {
		return err
	}
	return r.runDecode(ctx, g, id, grant, source)
}

// runDecode runs the decode on the granted engine, which fetches the KV cache from the
// source.
func (r *Relay) runDecode(ctx context.Context, g *generation, id engine.AttemptID, grant scheduling.Grant, source *Source) error {
	g.deliveredBefore, g.limited = g.delivered, grant.Limited
	decode := r.options.Fleet.View().Instance(grant.Decode)
	// The decode engine may have started to drain during the prefill.
	if !r.mayUse(decode) {
		r.Counters.PrefillsLost.Add(1)
		r.free(source)
		return r.discardGrant(g, id, grant)
	}
	if !r.mayContinue(g, decode) {
		r.Counters.PrefillsLost.Add(1)
		r.free(source)
		return r.discardWrongBuild(g, decode)
	}
	if r.heldBack(g.exchange) {
		r.Counters.PrefillsLost.Add(1)
		r.free(source)
		return errGiveUp
	}
	accepted, err := r.decode(ctx, g, id, &decode.Endpoint, source)
	if accepted {
		return err
	}
	r.Counters.PrefillsLost.Add(1)
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.PrefillFailed, Prefill: grant.Prefill})
	r.free(source)
	// The grant stands for one call to each engine.
	if errors.Is(err, errDeclined) && (!r.mayUse(decode) || r.isLimited(decode.Name)) {
		g.exclude = append(g.exclude, decode.Name)
		return errRetry
	}
	if !errors.Is(err, errDeclined) || !r.spendRetry(g.exchange) {
		return retryIfDeclined(err)
	}
	// The KV cache was gone. The decode engine still holds the slot and can process the
	// prompt itself.
	g.sends--
	return r.decodeWhole(ctx, g, id, &decode.Endpoint)
}

// decodeWhole lets a decode engine process the prompt itself. An engine that declines
// even this is full or draining, although the scheduler has reserved a slot on it.
func (r *Relay) decodeWhole(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint) error {
	_, err := r.decode(ctx, g, id, to, nil)
	if !errors.Is(err, errDeclined) {
		return err
	}
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.DecodeFailed, Decode: to.Name})
	g.exclude = append(g.exclude, to.Name)
	return errRetry
}

// retryIfDeclined turns errDeclined into errRetry and returns other errors unchanged.
func retryIfDeclined(err error) error {
	if errors.Is(err, errDeclined) {
		return errRetry
	}
	return err
}

// usable reports whether a view holds the engines of a grant, none is leaving and the
// decode engine may continue the stream.
func (r *Relay) usable(view *fleet.View, g *generation, grant scheduling.Grant) bool {
	decode := view.Instance(grant.Decode)
	return r.mayUse(view.Instance(grant.Prefill)) && r.mayUse(decode) && r.mayContinue(g, decode)
}

// mayContinue reports whether an engine's build may serve the stream.
func (r *Relay) mayContinue(g *generation, decode *fleet.Instance) bool {
	return g.permits(decode.Build) && !r.heldBuild(g, decode.Service, decode.Build)
}

// buildOf returns the build of an engine, empty if it is not known.
func (r *Relay) buildOf(engine string) string {
	if instance := r.options.Fleet.View().Instance(engine); instance != nil {
		return instance.Build
	}
	return ""
}

// mayUse reports whether an engine may get a call: it is not leaving and has not asked for
// quiet.
func (r *Relay) mayUse(instance *fleet.Instance) bool {
	return r.available(instance) && r.options.Endpoints.QuietFor(instance.Name) == 0
}

// available reports whether this process knows an endpoint and it is not leaving, neither by
// its registration nor by its own answers.
func (r *Relay) available(instance *fleet.Instance) bool {
	return instance != nil && !instance.Draining && !r.options.Endpoints.Leaving(instance.Name)
}

// discardGrant excludes the engines of a grant that are leaving or not yet known to
// this process from further attempts. The owner that issued the grant has a
// different view of the fleet, so engines that are leaving are reported to it.
func (r *Relay) discardGrant(g *generation, id engine.AttemptID, grant scheduling.Grant) error {
	view := r.options.Fleet.View()
	for _, name := range []string{grant.Prefill, grant.Decode} {
		instance := view.Instance(name)
		if r.mayUse(instance) {
			continue
		}
		g.exclude = append(g.exclude, name)
		leaves := !r.available(instance) && (instance != nil || view.Departed(name))
		if leaves {
			r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.EngineLeaving, Prefill: name, Decode: name})
		}
		r.decide(g.exchange, "grant not used", logrus.Fields{"endpoint": name, "leaves": leaves})
	}
	g.refusal = "an engine leaves"
	return errRetry
}

// discardWrongBuild excludes an engine that must not continue the stream. Owners of
// releases without builds grant such engines. An engine that may not begin the
// stream yet is excluded by each demand until it may.
func (r *Relay) discardWrongBuild(g *generation, decode *fleet.Instance) error {
	if !g.permits(decode.Build) {
		g.exclude = append(g.exclude, decode.Name)
	}
	g.refusal = "no engine of the stream's build was granted"
	r.decide(g.exchange, "grant not used", logrus.Fields{"endpoint": decode.Name, "build": decode.Build, "required_build": g.build})
	return errRetry
}

// retryOrGiveUp takes a retry for an attempt in which the request itself was not
// sent. It returns errGiveUp if the budget does not allow it.
func (r *Relay) retryOrGiveUp(g *generation) error {
	if !r.spendRetry(g.exchange) {
		return errGiveUp
	}
	return errRetry
}

// retryUnlessSingleRun decides about another attempt after a failure of an engine
// that may have run the request. It returns errGiveUp if the request may run only
// once.
func (g *generation) retryUnlessSingleRun() error {
	if g.route.RunsOnce() {
		g.obstacle = obstacleSingleRun
		return errGiveUp
	}
	return errRetry
}

// observe records the outcome of a call to an engine, but not its duration: that
// depends on the request and says nothing about the engine.
func (r *Relay) observe(g *generation, to *configuration.Endpoint, ok bool) {
	group := endpointNames(r.options.Fleet.View().Engines(g.service.Name, to.Role, ""))
	r.options.Endpoints.Observe(to.Name, group, ok, 0)
}
