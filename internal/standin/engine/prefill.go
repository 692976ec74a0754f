package engine

import (
	"context"
	"slices"
	"time"
)

// prefillResult is the outcome of a prefill.
type prefillResult struct {
	promptTokens, cachedTokens int
	blocks                     []uint64
	// responseID is the attempt id in the response; that of another attempt in a
	// crossed response.
	responseID string
	// responseDelay is the delay of the response by the fault LateAnswers.
	responseDelay time.Duration
}

// prefill runs an admitted attempt: it waits in the queue, simulates the
// computation of the prompt and keeps the KV cache for export. It returns false if
// the attempt ends first.
func (e *Engine) prefill(ctx context.Context, a *attempt) (prefillResult, bool) {
	if !await(ctx, e, a, a.ready) {
		return prefillResult{}, false
	}
	cached, duration, ok := e.startPrefill(a)
	if !ok {
		return prefillResult{}, false
	}
	started := time.Now()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	if !await(ctx, e, a, timer.C) {
		e.countAbortedPrefill(a, float64(time.Since(started))/float64(duration))
		return prefillResult{}, false
	}
	return e.finishPrefill(a, cached)
}

// startPrefill looks up the prompt in the prefix cache. It returns the number of
// cached tokens and the time to compute the others.
func (e *Engine) startPrefill(a *attempt) (cached int, duration time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.released {
		return 0, 0, false
	}
	e.counts.Executions[a.id]++
	// The last token is always computed: its output is the input of the decode.
	cached = min(e.cache.match(a.blockHashes)*TokensPerBlock, a.promptTokens-1)
	cached = max(cached, 0)
	a.computedTokens = a.promptTokens - cached
	e.counts.TokensCached += cached
	seconds := float64(a.computedTokens) / e.options.PrefillTokensPerSecond
	return cached, max(e.scaled(time.Duration(seconds*float64(time.Second))), 1), true
}

// countAbortedPrefill counts the fraction of a prefill, 0 to 1, that was computed
// before the attempt ended.
func (e *Engine) countAbortedPrefill(a *attempt, part float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	computed := int(float64(a.computedTokens) * min(part, 1))
	e.counts.TokensPrefilled += computed
	e.counts.PrefillTokensWasted += computed
}

func (e *Engine) finishPrefill(a *attempt, cached int) (prefillResult, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.TokensPrefilled += a.computedTokens
	if a.released {
		e.counts.PrefillTokensWasted += a.computedTokens
		return prefillResult{}, false
	}
	stored, removed := e.cache.store(a.blockHashes)
	e.addEvent(EventStored, stored)
	e.addEvent(EventRemoved, removed)
	kv := e.keep(a)
	return prefillResult{
		promptTokens:  a.promptTokens,
		cachedTokens:  cached,
		blocks:        slices.Clone(kv.blocks),
		responseID:    e.prefillResponseID(a),
		responseDelay: e.faults.LateAnswers.D(),
	}, true
}

// prefillResponseID returns the attempt id for the response to a prefill.
func (e *Engine) prefillResponseID(a *attempt) string {
	if !e.chance(e.faults.CrossAnswers) {
		return a.id
	}
	return e.otherAttempt(a).id
}

// await waits until a receive from ready succeeds. It returns false if the attempt
// ends first. A closed connection ends the attempt.
func await[T any](ctx context.Context, e *Engine, a *attempt, ready <-chan T) bool {
	select {
	case <-ready:
		return true
	case <-a.ended:
		return false
	case <-e.connectionClosed(ctx):
		e.end(a, causeClosed)
		return false
	}
}

// connectionClosed returns a channel that is closed when the caller's connection is
// closed, or nil while the fault IgnoreClose is set.
func (e *Engine) connectionClosed(ctx context.Context) <-chan struct{} {
	if e.Faults().IgnoreClose {
		return nil
	}
	return ctx.Done()
}
