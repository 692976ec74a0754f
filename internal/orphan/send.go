package orphan

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// untilNextCall returns the time until the next call may be due.
func (s *Service) untilNextCall(now time.Time) time.Duration {
	if s.inFlight >= maxCallsInFlight {
		return maxIdleWait
	}
	return max(s.queue.untilDue(now, maxIdleWait), s.untilRateLimitAllows())
}

// untilRateLimitAllows returns the time until the rate limit allows a call.
func (s *Service) untilRateLimitAllows() time.Duration {
	missing := 1 - s.limiter.Tokens()
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / callsPerSecond * float64(time.Second))
}

// send starts the calls that are due, within the limits on rate and
// concurrency.
func (s *Service) send(ctx context.Context, calls *sync.WaitGroup) {
	for s.inFlight < maxCallsInFlight && s.limiter.Tokens() >= 1 {
		now := time.Now()
		t := s.queue.popDue(now)
		switch {
		case t == nil:
			return
		case isAlive(t.process, s.params.View.Members()):
			s.counters.Refuted.Add(1)
			s.finishTask(t)
		case t.remote && !s.engineRespondedLongEnough(now, t):
			s.probeIfDue(ctx, calls, now, t)
		default:
			s.startCall(calls, func() { s.report(ctx, s.cancel(ctx, t)) })
		}
	}
}

// startCall makes a call in the background and counts it against the limits.
func (s *Service) startCall(calls *sync.WaitGroup, call func()) {
	s.limiter.Allow()
	s.inFlight++
	calls.Go(call)
}

// engineRespondedLongEnough reports whether the engine of a remote task has
// responded to probes for the grace period.
func (s *Service) engineRespondedLongEnough(now time.Time, t *task) bool {
	p, ok := s.probes[t.engine]
	return ok && p.respondedLongEnough(now)
}

// probeIfDue probes the engine of a remote task if a probe is due, and requeues
// the task until after the next probe.
func (s *Service) probeIfDue(ctx context.Context, calls *sync.WaitGroup, now time.Time, t *task) {
	p, ok := s.probes[t.engine]
	if !ok {
		p = &probe{}
		s.probes[t.engine] = p
	}
	if p.due(now) {
		p.inFlight = true
		name := t.engine
		s.startCall(calls, func() {
			s.report(ctx, result{engine: name, responded: s.probeEngine(ctx, name)})
		})
	}
	if now.Sub(t.started) >= maxRetryDuration {
		s.counters.Abandoned.Add(1)
		s.finishTask(t)
		return
	}
	t.due = now.Add(probeInterval)
	if p.nextProbe.After(t.due) {
		t.due = p.nextProbe
	}
	s.queue.putBack(t)
}

func (s *Service) report(ctx context.Context, r result) {
	select {
	case s.results <- r:
	case <-ctx.Done():
	}
}

// cancel sends the cancel of a task. While the engine still holds memory of the
// process, the cancel counts as not yet acknowledged.
func (s *Service) cancel(ctx context.Context, t *task) result {
	client, found := s.params.Clients.Engine(t.engine)
	if !found {
		return result{task: t, notConfigured: true}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.counters.Sent.Add(1)
	response, err := client.CancelIncarnation(ctx, t.process.vm, t.process.incarnation)
	if err == nil && response.HeldPieces > 0 {
		err = errStillHeld.New("%s holds %d pieces", t.engine, response.HeldPieces)
	}
	return result{task: t, err: err}
}

// handleResult processes the outcome of a call.
func (s *Service) handleResult(now time.Time, r result) {
	s.inFlight--
	t := r.task
	switch {
	case t == nil:
		s.probes[r.engine].record(now, r.responded)
	case r.notConfigured:
		s.counters.EngineGone.Add(1)
		s.finishTask(t)
	case r.err == nil:
		s.counters.Confirmed.Add(1)
		s.params.Events.Record(timeline.OrphanCancelled, "", t.process.String()+" on "+t.engine)
		s.finishTask(t)
	default:
		s.retry(now, t)
	}
}

// retry schedules the next cancel after a failure.
func (s *Service) retry(now time.Time, t *task) {
	s.counters.Failed.Add(1)
	if p, ok := s.probes[t.engine]; ok {
		p.respondingSince = time.Time{}
	}
	if !t.scheduleRetry(now) {
		s.counters.Abandoned.Add(1)
		s.finishTask(t)
		return
	}
	s.queue.putBack(t)
}

// finishTask removes a task for which nothing is left to do.
func (s *Service) finishTask(t *task) {
	s.queue.drop(t)
	s.counters.Pending.Add(-1)
	if g, ok := s.gone[t.process]; ok {
		g.done[t.engine] = true
	}
}
