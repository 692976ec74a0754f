package completion

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const (
	// stallFactor is multiplied by the expected duration of a phase and added to the
	// phase's minimum limit.
	stallFactor = 4
	// defaultStallFloor is the default minimum limit of a transfer and of the time
	// between two tokens.
	defaultStallFloor = 500 * time.Millisecond
	// prefillFloor is the minimum limit of a prefill.
	prefillFloor = 2 * time.Second
	// deliveredReportInterval is the number of tokens between two reports of progress.
	deliveredReportInterval = 16
	// tokenStallFactor times the between-token target is the limit of the time
	// between two tokens, unless the minimum limit is longer.
	tokenStallFactor = 20
)

// attempt is one pass through prefill and decode.
type attempt struct {
	*run
	id    engine.AttemptID
	grant scheduling.Grant
	// decodeBuild is the build of the decode engine at the time of the grant.
	decodeBuild string
	// prefillMayHold and decodeMayHold say that the engine may hold resources for
	// this attempt.
	prefillMayHold, decodeMayHold bool
	promptTokens                  int
	delivered                     int
}

// attempt reserves engines and runs one attempt on them.
func (r *run) attempt(ctx context.Context) error {
	id := r.attemptID()
	grant, err := r.options.Reserver.Reserve(ctx, r.demand(id))
	if err != nil {
		return err
	}
	r.Counters.Attempts.Add(1)
	r.options.Events.Record(timeline.SlotReserved, r.request.ID, grant.Prefill+" "+grant.Decode)
	a := &attempt{run: r, id: id, grant: grant, decodeBuild: r.buildOf(grant.Decode)}
	err = a.execute(ctx)
	a.finish(err)
	return err
}

// execute runs prefill, transfer and decode.
func (a *attempt) execute(ctx context.Context) error {
	if a.build != "" && a.decodeBuild != a.build {
		// The owner of the model may be of a release that ignores the build.
		a.excludeEngine(a.grant.Decode)
		return wrongBuild.New("%s has build %q, the answer began at %q", a.grant.Decode, a.decodeBuild, a.build)
	}
	prefill, found := a.options.Engines.Engine(a.grant.Prefill)
	if !found {
		return engine.Unreachable.New("prefill engine %s is not configured", a.grant.Prefill)
	}
	decode, found := a.options.Engines.Engine(a.grant.Decode)
	if !found {
		return engine.Unreachable.New("decode engine %s is not configured", a.grant.Decode)
	}
	result, err := a.prefill(ctx, prefill)
	if err != nil {
		return err
	}
	return a.decode(ctx, decode, result)
}

// prefill runs the prompt on the prefill engine.
func (a *attempt) prefill(ctx context.Context, client engine.Client) (engine.PrefillResult, error) {
	ctx, watch := newWatchdog(ctx, a.prefillLimit())
	defer watch.stop()
	started := time.Now()
	a.options.Events.Record(timeline.PrefillStarted, a.request.ID, a.grant.Prefill)
	result, err := client.Prefill(ctx, a.call(a.id))
	if err != nil {
		a.recordFailure(a.grant.Prefill, configuration.RolePrefill, err, &a.prefillMayHold)
		a.options.Events.Record(timeline.PrefillFailed, a.request.ID, a.grant.Prefill)
		return result, watch.phaseError(err)
	}
	a.prefillMayHold = true
	a.recordOutcome(OutcomeRan)
	a.observe(a.grant.Prefill, configuration.RolePrefill, true, time.Since(started))
	a.promptTokens = result.PromptTokens
	a.Counters.PrefillTokens.Add(int64(result.PromptTokens - result.CachedTokens))
	a.result.PromptTokens = result.PromptTokens
	a.result.CachedTokens = result.CachedTokens
	a.options.Events.Record(timeline.PrefillFinished, a.request.ID, a.grant.Prefill)
	a.progress(scheduling.Progress{
		Kind:    scheduling.PrefillDone,
		Tokens:  result.PromptTokens,
		Cached:  result.CachedTokens,
		Elapsed: time.Since(started),
	})
	return result, nil
}

// decode imports the KV cache and forwards the tokens to the caller.
func (a *attempt) decode(caller context.Context, client engine.Client, prefill engine.PrefillResult) error {
	ctx, watch := newWatchdog(caller, a.transferLimit())
	defer watch.stop()
	started := time.Now()
	a.options.Events.Record(timeline.TransferStarted, a.request.ID, a.grant.Prefill+" "+a.grant.Decode)
	stream, err := client.Decode(ctx, engine.DecodeCall{
		Call:      a.call(a.id),
		KV:        prefill.KV,
		MaxTokens: a.request.MaxTokens,
	})
	if err != nil {
		a.recordFailure(a.grant.Decode, configuration.RoleDecode, err, &a.decodeMayHold)
		return a.transferError(watch, err)
	}
	defer func() { _ = stream.Close() }()
	a.prefillMayHold = false
	a.decodeMayHold = true
	a.options.Events.Record(timeline.DecodeStarted, a.request.ID, a.grant.Decode)
	err = a.stream(stream, watch, started)
	if err != nil && !sinkEnded(err) && caller.Err() == nil {
		a.recordFailure(a.grant.Decode, configuration.RoleDecode, err, &a.decodeMayHold)
	}
	return err
}

// transferError returns the error of a failed import and records a stall.
func (a *attempt) transferError(watch *watchdog, err error) error {
	if watch.fired() {
		a.Counters.TransferStalls.Add(1)
		a.options.Events.Record(timeline.TransferStalled, a.request.ID, a.grant.Decode)
		a.excludeEngine(a.grant.Decode)
	}
	return watch.phaseError(err)
}

// finish cancels the attempt on engines that may still hold resources and releases
// the reservation. The reservation is of a decode slot, so a prefill engine that
// does not respond must not delay its release.
func (a *attempt) finish(err error) {
	if err != nil && a.delivered == 0 {
		a.Counters.WastedPrefillTokens.Add(int64(a.promptTokens))
	}
	release := func() {
		a.progress(scheduling.Progress{Kind: scheduling.Released, Tokens: a.delivered})
		a.options.Events.Record(timeline.SlotReleased, a.request.ID, a.grant.Decode)
	}
	if !a.decodeMayHold {
		release()
		release = func() {}
	}
	if holders := a.enginesToCancel(); len(holders) > 0 {
		a.options.Canceller.Cancel(a.id, a.request.ID, holders, release)
	}
}

// enginesToCancel returns the engines that may hold resources for this attempt.
func (a *attempt) enginesToCancel() []string {
	var names []string
	if a.prefillMayHold {
		names = append(names, a.grant.Prefill)
	}
	if a.decodeMayHold {
		names = append(names, a.grant.Decode)
	}
	return names
}

// recordFailure records a failed call. The engine may hold resources unless the
// error says that nothing ran.
func (a *attempt) recordFailure(name string, role configuration.Role, err error, holds *bool) {
	if errorx.IsOfType(err, engine.Crossed) {
		a.countForeign(1)
	}
	if errorx.IsOfType(err, engine.Leaving) {
		a.options.Endpoints.MarkLeaving(name)
	}
	if !errorx.HasTrait(err, engine.NotRun) {
		*holds = true
		a.recordOutcome(OutcomeUnknown)
	}
	if errorx.IsOfType(err, engine.Evicted) {
		a.prefillMayHold = false
		return
	}
	a.excludeEngine(name)
	a.observe(name, role, false, 0)
}

// observe reports the result of a call to the endpoint registry.
func (a *attempt) observe(name string, role configuration.Role, ok bool, latency time.Duration) {
	snapshot := a.options.Configuration.Snapshot()
	engines := snapshot.Engines(a.request.Class.Model, role, a.options.Zone)
	group := make([]string, len(engines))
	for i, e := range engines {
		group[i] = e.Name
	}
	a.options.Endpoints.Observe(name, group, ok, latency)
}

func (a *attempt) progress(p scheduling.Progress) {
	p.ID = a.id
	p.Prefill = a.grant.Prefill
	p.Decode = a.grant.Decode
	a.options.Reserver.Progress(p)
}
