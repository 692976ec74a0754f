package engine

import (
	"context"
	"time"
)

// unknownAttempt is the id in a crossed response (see Faults.CrossAnswers) if there
// is no other attempt.
const unknownAttempt = "unknown.1.1.1"

// importKV waits for a slot, fetches the KV cache from its prefill engine and
// waits for its transfer over the link. It returns an Evicted error if the KV
// cache cannot be fetched and a Cancelled error if the attempt ends first.
func (e *Engine) importKV(ctx context.Context, a *attempt, source kvSource) error {
	if !await(ctx, e, a, a.ready) {
		return Cancelled.New("attempt %s ended in the queue", a.id)
	}
	// The counts need the response even if the caller's connection is closed.
	export, err := e.takeKV(context.WithoutCancel(ctx), source, a.promptHash)
	if err != nil {
		e.refuseEvicted(a)
		return err
	}
	e.countImport(a, export)
	bytes := int64(export.Tokens) * e.options.KVBytesPerToken
	if !e.transferKV(ctx, a, bytes, e.linkFrom(source.address())) {
		e.countWastedPrefill(a)
		return Cancelled.New("attempt %s ended during its import", a.id)
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

// countWastedPrefill counts an attempt's computed prompt tokens as wasted.
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

// nextStep returns the scheduled time of the step after the one scheduled for
// last. A delayed step shortens the next interval. If the delay exceeds an
// interval, the schedule restarts from now instead.
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

// crashIfDue decrements the fault CrashAfterTokens, crashes the engine when it
// drops to 0 and reports whether the engine crashed.
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

// releaseFinished releases the attempts of the batch that have decoded all tokens;
// count is their number.
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

// closeStream releases the attempt of a stream that has ended and updates the
// counts; written is the index after the last token written.
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

// otherAttempt returns the oldest attempt other than a, or a placeholder with
// the id unknownAttempt if there is no other.
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

// drawCrossedEvent decides randomly whether the next event of a stream is crossed.
// If so, it returns the attempt whose event precedes or replaces it, and whether
// it replaces it.
func (e *Engine) drawCrossedEvent(a *attempt) (other *attempt, replace bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.chance(e.faults.CrossAnswers) {
		return nil, false
	}
	return e.otherAttempt(a), e.faults.ReplaceCrossed
}
