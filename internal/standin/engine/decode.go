package engine

import (
	"context"
	"time"
)

// unknownAttempt is the id in a crossed answer when no other attempt runs.
const unknownAttempt = "unknown.1.1.1"

// importKV waits for a slot, takes the KV cache from its prefill engine and
// moves it over the link. It returns an Evicted error if there is no such
// cache and a Cancelled error if the attempt ended before.
func (e *Engine) importKV(ctx context.Context, a *attempt, source kvSource) error {
	if !await(ctx, e, a, a.ready) {
		return Cancelled.New("attempt %s ended in the queue", a.id)
	}
	// A closed connection must not lose the answer, which the accounting needs.
	export, err := e.takeKV(context.WithoutCancel(ctx), source, a.promptHash)
	if err != nil {
		e.refuseEvicted(a)
		return err
	}
	e.countImport(a, export)
	bytes := int64(export.Tokens) * e.options.KVBytesPerToken
	if !e.transferKV(ctx, a, bytes, e.linkFrom(source.address())) {
		e.countWastedPrefill(a)
		return Cancelled.New("attempt %s ended in its import", a.id)
	}
	return nil
}

func (e *Engine) refuseEvicted(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.RefusedEvicted++
	e.release(a, causeRefused)
}

func (e *Engine) countImport(a *attempt, export kvExport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Executions[a.id]++
	a.computedTokens = export.Computed
}

// countWastedPrefill counts the prefill of an attempt as wasted.
func (e *Engine) countWastedPrefill(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.PrefillTokensWasted += a.computedTokens
}

// join adds an attempt to the batch. It returns false if the attempt has ended.
func (e *Engine) join(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.released {
		e.counts.PrefillTokensWasted += a.computedTokens
		return false
	}
	a.stage = stageDecode
	a.produced.Store(int64(a.firstToken))
	e.batch = append(e.batch, a)
	if !e.batching {
		e.batching = true
		e.running.Go(e.runBatch)
	}
	return true
}

// runBatch decodes one token for each attempt of the batch per interval until
// the batch is empty.
func (e *Engine) runBatch() {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		interval, ok := e.stepInterval()
		if !ok {
			return
		}
		next = nextStep(next, time.Now(), interval)
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-e.stopped:
		}
		e.step()
	}
}

// nextStep returns the time of the step after the one planned for last. A step
// that ran late shortens the next interval, but a longer pause is not made up for.
func nextStep(last, now time.Time, interval time.Duration) time.Time {
	if now.Sub(last) > interval {
		last = now
	}
	return last.Add(interval)
}

// stepInterval returns the time until the next step, false if the batch is empty.
func (e *Engine) stepInterval() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.batch) == 0 {
		e.batching = false
		return 0, false
	}
	further := time.Duration(len(e.batch) - 1)
	interval := e.options.TokenInterval.D() + further*e.options.TokenIntervalPerRequest.D()
	return e.scaled(interval), true
}

// step decodes one token for each attempt of the batch.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashIfDue(len(e.batch)) {
		return
	}
	e.counts.TokensDecoded += len(e.batch)
	finished := 0
	for _, a := range e.batch {
		if a.produced.Add(1) == int64(a.answer.Len()) {
			finished++
		}
		a.notifyProgress()
	}
	if finished > 0 {
		e.releaseFinished(finished)
	}
}

// crashIfDue counts tokens down to the crash of the fault CrashAfterTokens.
func (e *Engine) crashIfDue(tokens int) bool {
	if e.faults.CrashAfterTokens <= 0 {
		return false
	}
	e.faults.CrashAfterTokens -= tokens
	if e.faults.CrashAfterTokens > 0 {
		return false
	}
	e.faults.CrashAfterTokens = 0
	e.crash()
	return true
}

// releaseFinished releases the attempts of the batch that have all tokens.
func (e *Engine) releaseFinished(count int) {
	done := make([]*attempt, 0, count)
	for _, a := range e.batch {
		if a.produced.Load() == int64(a.answer.Len()) {
			done = append(done, a)
		}
	}
	for _, a := range done {
		e.release(a, causeFinished)
	}
}

// closeStream accounts for a stream whose tokens were written up to an index.
func (e *Engine) closeStream(a *attempt, written int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(a, causeClosed)
	e.counts.TokensThrownAway += int(a.produced.Load()) - written
	switch {
	case written == a.answer.Len():
		e.counts.AnswersFinished++
	case a.cause != causeCrashed:
		e.counts.PrefillTokensWasted += a.computedTokens
	}
}

// otherAttempt returns the oldest attempt other than a, one that does not exist
// if there is none.
func (e *Engine) otherAttempt(a *attempt) *attempt {
	var oldest *attempt
	for _, other := range e.attempts {
		if other != a && (oldest == nil || other.arrivalSeq < oldest.arrivalSeq) {
			oldest = other
		}
	}
	if oldest == nil {
		return &attempt{id: unknownAttempt, answer: NewAnswer(unknownAttempt, e.options.OutputTokens, 0)}
	}
	return oldest
}

// drawCrossedEvent draws whether the next event of a stream is preceded or replaced by
// one of the other attempt that is returned.
func (e *Engine) drawCrossedEvent(a *attempt) (other *attempt, replace bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.chance(e.faults.CrossAnswers) {
		return nil, false
	}
	return e.otherAttempt(a), e.faults.ReplaceCrossed
}
