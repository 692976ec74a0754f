package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	// promptShare is the part of the time to the first event that a request asks for
	// at first. A zone that would need longer lets others have it, if they can
	// start at once; only then does the request wait in its own zone.
	promptShare = 0.6
	// lateMargin is kept of the time that callers wait for a first event.
	lateMargin = 300 * time.Millisecond
	// lateClassSuffix and returnedClassSuffix tell the late requests of a route, and
	// those of callers that were refused before, from the others.
	lateClassSuffix     = "/late"
	returnedClassSuffix = "/returned"
	// leastBusyRetryAfter and mostBusyRetryAfter bound what is told to callers of a
	// busy pool. Bursts last for seconds, and callers wait no longer than a third
	// of their time.
	leastBusyRetryAfter = time.Second
	mostBusyRetryAfter  = 4 * time.Second
	// deliveryMargin is kept of a first event's objective for the way to the caller.
	deliveryMargin = 20 * time.Millisecond
	// prefillPatience bounds a prefill. A waiting prefill is of use only as long as
	// the decode slot that is reserved for it.
	prefillPatience = 1500 * time.Millisecond
	// freeTimeout bounds the message that frees a KV cache nobody takes.
	freeTimeout = 300 * time.Millisecond
	// hintMargin is the part by which the memory reserved for an answer exceeds
	// the caller's estimate, which is right at the median only.
	hintMargin = 1.25
	// hintFloorTokens is the least memory reserved for an answer.
	hintFloorTokens = 64
)

var (
	// errGiveUp ends a generation's attempts.
	errGiveUp = errors.New("no further attempt")
	// errAgain asks for another attempt.
	errAgain = errors.New("try again")
	// errDeclined says that an engine did not take a request.
	errDeclined = errors.New("declined")
)

// generation is a generation over its attempts.
type generation struct {
	*exchange
	// begun says that the caller has the header of the stream.
	begun bool
	// lastEventID is the last event that the caller has.
	lastEventID string
	// delivered counts the tokens that the caller has, before those that it had
	// when the present attempt began.
	delivered, before int
	// age is the time that earlier attempts of the caller took.
	age time.Duration
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
		age:         r.ages.of(x.route.Name, x.request.Patience),
	}
	g.late = g.age >= x.route.Objective-deliveryMargin
	ctx, cancel := context.WithDeadline(ctx, x.answerBy)
	defer cancel()
	for r.mayRepeat(x) {
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
	case g.begun:
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
	demand := r.demand(g)
	started := time.Now()
	grant, err := r.options.Reserver.Reserve(ctx, demand)
	if err != nil {
		return r.notGranted(g, err)
	}
	defer func() {
		r.options.Reserver.Progress(scheduling.Progress{ID: demand.ID, Kind: scheduling.Released, Tokens: g.delivered - g.before})
	}()
	r.Queues.Observe(time.Since(started))
	r.decide(g.exchange, "engines granted", logrus.Fields{
		"attempt": demand.ID.String(), "prefill": grant.Prefill, "decode": grant.Decode,
		"queued_ms": time.Since(started).Milliseconds(), "predicted_first_ms": grant.FirstToken.Milliseconds(),
		"prompt_tokens": demand.PromptTokens, "output_tokens": demand.OutputTokens, "expected_tokens": g.request.Generation.ExpectedOutputTokens,
	})
	return r.run(ctx, g, demand.ID, grant)
}

// notGranted takes note of a refusal.
func (r *Relay) notGranted(g *generation, err error) error {
	var refusal *scheduling.Refusal
	if !errors.As(err, &refusal) {
		g.refusal = err.Error()
		return errGiveUp
	}
	if refusal.Reason == scheduling.RefusedTarget && !g.late && !g.begun {
		g.late = g.relaxed
		g.relaxed = true
		return errAgain
	}
	if g.begun || g.mayHaveRun {
		return errGiveUp
	}
	g.refusal = string(refusal.Reason)
	g.retryAfter = min(max(refusal.RetryAfter, leastBusyRetryAfter), mostBusyRetryAfter)
	return errGiveUp
}

// demand describes the next attempt to the scheduler.
func (r *Relay) demand(g *generation) scheduling.Demand {
	work := g.request.Generation
	return scheduling.Demand{
		ID:           r.attemptID(),
		Zone:         r.options.Zone,
		Class:        classOf(g),
		Model:        g.service.Name,
		Priority:     priorityOf(g),
		Order:        configuration.OrderAny,
		PromptTokens: work.PromptTokens + g.delivered,
		OutputTokens: max(hintFloorTokens, reservedOutput(work)-g.delivered),
		Targets:      r.targets(g),
		Weights:      configuration.Weights{WastedPrefill: 1},
		Waited:       time.Since(g.request.Arrived),
		Exclude:      g.exclude,
		Resumed:      g.begun,
	}
}

// reservedOutput returns the length of answer that memory is reserved for.
func reservedOutput(work *Generation) int {
	if work.ExpectedOutputTokens <= 0 {
		return work.MaxOutputTokens
	}
	return min(work.MaxOutputTokens, int(hintMargin*float64(work.ExpectedOutputTokens)))
}

// targets returns the targets that are still open. A late request has to begin
// before its caller gives up.
func (r *Relay) targets(g *generation) configuration.Targets {
	first := g.route.Objective - g.age - deliveryMargin
	switch {
	case g.late:
		first = g.request.FirstEventPatience - lateMargin
	case !g.relaxed:
		first = time.Duration(promptShare * float64(first))
	}
	if g.begun || first <= 0 {
		return configuration.Targets{}
	}
	return configuration.Targets{FirstToken: configuration.Duration(first)}
}

func classOf(g *generation) string {
	switch {
	case !g.late:
		return g.route.Name
	case g.age > 0:
		return g.route.Name + returnedClassSuffix
	}
	return g.route.Name + lateClassSuffix
}

func priorityOf(g *generation) int {
	switch {
	case !g.late:
		return -g.route.Priority
	case g.age > 0:
		// A caller that was refused before comes first.
		return scheduling.BackgroundPriority
	}
	return scheduling.BackgroundPriority - 1
}

func (r *Relay) attemptID() engine.AttemptID {
	return engine.AttemptID{
		VM:          r.options.VM,
		Incarnation: r.options.Incarnation,
		Request:     r.requests.Add(1),
		Attempt:     1,
	}
}

// run prefills on one engine and generates on another.
func (r *Relay) run(ctx context.Context, g *generation, id engine.AttemptID, grant scheduling.Grant) error {
	view := r.options.Fleet.View()
	prefill, decode := view.Instance(grant.Prefill), view.Instance(grant.Decode)
	if !takesWork(prefill) || !takesWork(decode) {
		return r.refuseGrant(g, id, grant)
	}
	g.before = g.delivered
	if prefill == decode {
		return r.decodeWhole(ctx, g, id, &decode.Endpoint)
	}
	source, err := r.prefill(ctx, g, id, &prefill.Endpoint)
	if err != nil {
		return err
	}
	// The engine may have announced its end while the prompt was read.
	if !takesWork(r.options.Fleet.View().Instance(grant.Decode)) {
		r.Counters.PrefillsLost.Add(1)
		r.free(source)
		return r.refuseGrant(g, id, grant)
	}
	taken, err := r.decode(ctx, g, id, &decode.Endpoint, source)
	if taken {
		return err
	}
	r.Counters.PrefillsLost.Add(1)
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.PrefillFailed, Prefill: prefill.Name})
	r.free(source)
	if !errors.Is(err, errDeclined) || !r.budgeted(g) {
		return orAgain(err)
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
	return errAgain
}

// orAgain makes another attempt follow an engine that declined.
func orAgain(err error) error {
	if errors.Is(err, errDeclined) {
		return errAgain
	}
	return err
}

// takesWork reports whether an engine is there and does not leave, as far as
// this process knows.
func takesWork(instance *fleet.Instance) bool { return instance != nil && !instance.Draining }

// refuseGrant keeps further attempts off engines that this process knows to
// leave, or has not heard of yet. The owner of the grant knows another state of
// the fleet, and is told of those that leave.
func (r *Relay) refuseGrant(g *generation, id engine.AttemptID, grant scheduling.Grant) error {
	view := r.options.Fleet.View()
	for _, name := range []string{grant.Prefill, grant.Decode} {
		instance := view.Instance(name)
		if takesWork(instance) {
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
	return errAgain
}

// prefill has the prompt read and returns where its KV cache is kept.
func (r *Relay) prefill(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint) (*Source, error) {
	defer r.options.Endpoints.Begin(to.Name)()
	started := time.Now()
	answer, verdict, err := r.call(ctx, g.exchange, to, &Call{Stage: Prefill, LastEventID: g.lastEventID}, min(prefillPatience, g.left()))
	if verdict.OtherInstance {
		return nil, r.addressReused(g, id, to)
	}
	prompt, err := r.promptOf(answer, verdict, err)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.observe(g, to, err == nil)
	if err != nil {
		g.exclude = append(g.exclude, to.Name)
		g.refusal = "the prompt could not be read"
		r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: failureKind(err, scheduling.PrefillFailed, scheduling.PrefillLost), Prefill: to.Name})
		r.decide(g.exchange, "prefill failed", logrus.Fields{"endpoint": to.Name, "error": err.Error()})
		return nil, r.again(g)
	}
	r.Counters.Prefills.Add(1)
	r.decide(g.exchange, "prompt read", logrus.Fields{
		"endpoint": to.Name, "tokens": prompt.Tokens, "ms": time.Since(started).Milliseconds(),
	})
	r.options.Reserver.Progress(scheduling.Progress{
		ID: id, Kind: scheduling.PrefillDone, Prefill: to.Name, Tokens: prompt.Tokens, Elapsed: time.Since(started),
	})
	return &Source{Address: to.Address, Handle: prompt.Handle}, nil
}

// promptOf returns the outcome of a prefill call.
func (r *Relay) promptOf(answer *Answer, verdict Verdict, err error) (Prompt, error) {
	if err != nil {
		return Prompt{}, err
	}
	if verdict.NotRun || answer.Status != http.StatusOK {
		return Prompt{}, fmt.Errorf("the engine answered with status %d", answer.Status)
	}
	return r.options.Dialect.Prompt(answer.Body)
}

// again takes one repeat that is no send of the request itself.
func (r *Relay) again(g *generation) error {
	if !r.budgeted(g) {
		return errGiveUp
	}
	return errAgain
}

// budgeted takes one repeat from the budget and reports whether it is allowed.
func (r *Relay) budgeted(g *generation) bool {
	if !r.options.Budget.Spend(g.service.Name) {
		r.Counters.RepeatsDenied.Add(1)
		return false
	}
	r.Counters.Repeated.Add(1)
	return true
}

// observe records how a call to an engine went. The time of a call depends on
// the request, so that it says nothing of the engine.
func (r *Relay) observe(g *generation, to *configuration.Endpoint, ok bool) {
	group := endpointNames(r.options.Fleet.View().Engines(g.service.Name, to.Role, ""))
	r.options.Endpoints.Observe(to.Name, group, ok, 0)
}

// free has an engine drop a KV cache that nobody takes.
func (r *Relay) free(source *Source) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	response, err := r.options.Client.Do(ctx, source.Address, r.options.Dialect.Free(source.Handle))
	if err != nil {
		r.options.Log.Decide("KV cache not freed", logrus.Fields{"address": source.Address, "error": err.Error()})
		return
	}
	response.Close()
}

// decode generates on an engine that takes over the KV cache. It reports whether
// the engine may have taken it.
func (r *Relay) decode(ctx context.Context, g *generation, id engine.AttemptID, to *configuration.Endpoint, source *Source) (bool, error) {
	defer r.options.Endpoints.Begin(to.Name)()
	started := time.Now()
	response, verdict, err := r.open(ctx, g.exchange, to, &Call{Stage: decodeStage(source), Source: source, LastEventID: g.lastEventID})
	if ctx.Err() != nil {
		closeResponse(response)
		g.mayHaveRun = g.mayHaveRun || !errorx.IsOfType(err, upstream.NotSent)
		return true, ctx.Err()
	}
	if err != nil {
		return r.decodeError(g, id, to, err)
	}
	defer response.Close()
	if verdict.OtherInstance {
		g.sends--
		return false, r.addressReused(g, id, to)
	}
	if verdict.NotRun {
		r.observe(g, to, true)
		g.refusal = "the engine did not take the request"
		r.decide(g.exchange, "engine declined", logrus.Fields{"endpoint": to.Name, "status": response.Status})
		return false, errDeclined
	}
	g.mayHaveRun = true
	if response.Status != http.StatusOK {
		return true, r.failedDecode(g, to, response)
	}
	stream := &stream{relay: r, generation: g, id: id, endpoint: to, started: started}
	return true, stream.pass(ctx, response)
}

// addressReused takes note of an engine whose address another one has.
func (r *Relay) addressReused(g *generation, id engine.AttemptID, to *configuration.Endpoint) error {
	g.refusal = "an engine is gone"
	g.exclude = append(g.exclude, to.Name)
	r.options.Endpoints.MarkLeaving(to.Name)
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: scheduling.EngineLeaving, Prefill: to.Name, Decode: to.Name})
	r.decide(g.exchange, "endpoint replaced", logrus.Fields{"endpoint": to.Name})
	return r.again(g)
}

// decodeStage returns what is asked of an engine that takes over a KV cache, or
// that reads the prompt itself for want of a source.
func decodeStage(source *Source) Stage {
	if source == nil {
		return Whole
	}
	return Decode
}

// failureKind tells a call that the engine did not take from a lost answer.
func failureKind(err error, failed, lost scheduling.ProgressKind) scheduling.ProgressKind {
	if errorx.IsOfType(err, upstream.InDoubt) {
		return lost
	}
	return failed
}

// decodeError takes note of an attempt without a response.
func (r *Relay) decodeError(g *generation, id engine.AttemptID, to *configuration.Endpoint, err error) (bool, error) {
	r.observe(g, to, false)
	r.options.Reserver.Progress(scheduling.Progress{ID: id, Kind: failureKind(err, scheduling.DecodeFailed, scheduling.DecodeLost), Decode: to.Name})
	r.decide(g.exchange, "decode failed", logrus.Fields{"endpoint": to.Name, "error": err.Error()})
	g.exclude = append(g.exclude, to.Name)
	if errorx.IsOfType(err, upstream.NotSent) {
		g.sends--
		g.refusal = "the engine is not reachable"
		return false, r.again(g)
	}
	g.mayHaveRun = true
	if g.route.RunsOnce() {
		return true, errGiveUp
	}
	return true, errAgain
}

// failedDecode keeps an engine's own failure for the caller.
func (r *Relay) failedDecode(g *generation, to *configuration.Endpoint, response *upstream.Response) error {
	r.observe(g, to, false)
	body, err := readWhole(response)
	r.decide(g.exchange, "engine failed the request", logrus.Fields{"endpoint": to.Name, "status": response.Status})
	if err == nil && !g.begun {
		g.answer = &Answer{Status: response.Status, Header: response.Header, Body: body}
	}
	g.exclude = append(g.exclude, to.Name)
	if g.route.RunsOnce() {
		return errGiveUp
	}
	return errAgain
}

func closeResponse(response *upstream.Response) {
	if response != nil {
		response.Close()
	}
}
