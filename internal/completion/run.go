package completion

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/prefix"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 5
	// retryDelay is the base of the delay before failed engines are tried again. It
	// doubles with each attempt.
	retryDelay = 10 * time.Millisecond
	// failedRetryAfter is the retry delay that is returned to callers whose request
	// failed on engines.
	failedRetryAfter = time.Second
)

// run is the state of one request across its attempts.
type run struct {
	*Runner
	request *Request
	sink    Sink
	blocks  []uint64

	attempts uint32
	exclude  []string
	// next is the index of the first token that the caller does not have.
	next int
	// build is the build of the engine that began the answer; empty if it is not known
	// or the caller has no token.
	build string
	// deliveredText is the text that the caller has, kept for resuming.
	deliveredText []byte
	outcome       Outcome
	result        Result
	// lastError is the error of the last attempt that reached an engine.
	lastError error
}

func newRun(r *Runner, request *Request, sink Sink) *run {
	return &run{
		Runner:  r,
		request: request,
		sink:    sink,
		blocks:  prefix.Blocks(request.PromptText),
	}
}

// attemptID returns the id of the next attempt.
func (r *run) attemptID() engine.AttemptID {
	r.attempts++
	return engine.AttemptID{
		VM:          r.options.VM,
		Incarnation: r.options.Incarnation,
		Request:     r.request.Number,
		Attempt:     r.attempts,
	}
}

// demand describes the next attempt to the scheduler.
func (r *run) demand(id engine.AttemptID) scheduling.Demand {
	class := r.request.Class
	return scheduling.Demand{
		ID:           id,
		Zone:         r.options.Zone,
		Team:         r.request.Team.Name,
		Class:        class.Name,
		Model:        class.Model,
		Priority:     class.Priority,
		Order:        class.Order,
		Share:        r.request.Team.Share,
		QueueLimit:   class.QueueLimit,
		PromptTokens: prefix.Tokens(len(r.request.PromptText)) + r.next,
		Blocks:       r.blocks,
		OutputTokens: r.request.MaxTokens - r.next,
		Targets:      r.targets(),
		Weights:      r.request.Team.Weights,
		Waited:       time.Since(r.request.Arrived),
		Exclude:      r.exclude,
		Build:        r.build,
		Resumed:      r.next > 0,
	}
}

// targets returns the targets that still apply. The first-token target no longer
// applies once the caller has a token; if it were kept, a resumed request whose
// target has passed would be refused.
func (r *run) targets() configuration.Targets {
	targets := r.request.Class.Targets
	if r.next > 0 {
		targets.FirstToken = 0
	}
	return targets
}

// call returns what prefill and decode calls of an attempt have in common.
func (r *run) call(id engine.AttemptID) engine.Call {
	return engine.Call{
		Attempt:    id,
		Model:      r.request.Class.Model,
		Prompt:     r.request.Prompt,
		Priority:   r.request.Class.Priority,
		ResumeFrom: r.next,
		ResumeText: string(r.deliveredText),
	}
}

// finalError returns the final error of the request, or nil if another attempt
// follows.
func (r *run) finalError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errorx.IsOfType(err, CallerGone) {
		return CallerGone.Wrap(err, "%s", r.request.ID)
	}
	if errorx.IsOfType(err, Withheld) {
		return err
	}
	var refusal *scheduling.Refusal
	if errors.As(err, &refusal) {
		return r.refusalError(ctx, refusal)
	}
	r.lastError = err
	if r.mayRetry(err) {
		return nil
	}
	return r.giveUp(scheduling.Refusal{Reason: scheduling.RefusedEngineFailed, RetryAfter: failedRetryAfter}, err)
}

// refusalError returns the final error after a refusal. It returns nil, for another
// attempt, if only engines that failed this request are left, since these may have
// recovered.
func (r *run) refusalError(ctx context.Context, refusal *scheduling.Refusal) error {
	if refusal.Reason == scheduling.RefusedNoEngine && len(r.exclude) > 0 && r.mayRetry(r.lastError) {
		r.exclude = nil
		return r.pause(ctx)
	}
	return r.giveUp(*refusal, r.lastError)
}

// pause waits before failed engines are tried again; the delay doubles with each
// attempt.
func (r *run) pause(ctx context.Context) error {
	timer := time.NewTimer(retryDelay << r.attempts)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return CallerGone.Wrap(ctx.Err(), "%s", r.request.ID)
	case <-timer.C:
		return nil
	}
}

// mayRetry reports whether another attempt may succeed and is allowed. If so, the
// attempt is charged to the retry budget.
func (r *run) mayRetry(err error) bool {
	if errorx.IsOfType(err, engine.BadRequest) || r.attempts >= maxAttempts {
		return false
	}
	if !r.budget.Spend() {
		r.Counters.RetriesDenied.Add(1)
		return false
	}
	return true
}

// giveUp returns the final error of a request that gets no further attempt.
func (r *run) giveUp(refusal scheduling.Refusal, cause error) error {
	if r.next == 0 {
		return &RefusedError{Refusal: refusal, Cause: cause, Outcome: r.outcome}
	}
	return &InterruptedError{Delivered: r.next, Refusal: refusal, Cause: cause}
}

// buildOf returns the build of an engine, empty if it is not known.
func (r *run) buildOf(name string) string {
	endpoint, ok := r.options.Configuration.Snapshot().Endpoint(name)
	if !ok {
		return ""
	}
	return endpoint.Build
}

// recordOutcome records that an engine may have started work. The outcome never goes
// back to a lesser one.
func (r *run) recordOutcome(outcome Outcome) { r.outcome = max(r.outcome, outcome) }

// excludeEngine excludes an engine that failed this request from further attempts.
func (r *run) excludeEngine(name string) { r.exclude = append(r.exclude, name) }
