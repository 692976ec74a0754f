package orphan

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// pause returns the time until there is something to do.
func (s *Service) pause(now time.Time) time.Duration {
	if s.flying >= callsInFlight {
		return idleWait
	}
	return max(s.queue.wait(now, idleWait), s.untilAllowed())
}

// untilAllowed returns the time until the limit of calls allows one.
func (s *Service) untilAllowed() time.Duration {
	missing := 1 - s.limiter.Tokens()
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / callsPerSecond * float64(time.Second))
}

// send starts the calls that are due and allowed.
func (s *Service) send(ctx context.Context, calls *sync.WaitGroup) {
	for s.flying < callsInFlight && s.limiter.Tokens() >= 1 {
		now := time.Now()
		t := s.queue.next(now)
		switch {
		case t == nil:
			return
		case isAlive(t.process, s.params.View.Members()):
			s.counters.Refuted.Add(1)
			s.end(t)
		case t.remote && !s.settled(now, t):
			s.lookIfDue(ctx, calls, now, t)
		default:
			s.start(calls, func() { s.report(ctx, s.cancel(ctx, t)) })
		}
	}
}

// start makes a call in the background.
func (s *Service) start(calls *sync.WaitGroup, call func()) {
	s.limiter.Allow()
	s.flying++
	calls.Go(call)
}

// settled reports whether the engine of a remote task has answered for long
// enough.
func (s *Service) settled(now time.Time, t *task) bool {
	l, ok := s.looks[t.engine]
	return ok && l.settled(now)
}

// lookIfDue puts a remote task back until after the next look at its engine.
func (s *Service) lookIfDue(ctx context.Context, calls *sync.WaitGroup, now time.Time, t *task) {
	l, ok := s.looks[t.engine]
	if !ok {
		l = &look{}
		s.looks[t.engine] = l
	}
	if l.due(now) {
		l.flying = true
		name := t.engine
		s.start(calls, func() {
			s.report(ctx, result{engine: name, answered: s.lookAt(ctx, name)})
		})
	}
	if now.Sub(t.started) >= giveUpAfter {
		s.counters.Abandoned.Add(1)
		s.end(t)
		return
	}
	t.due = now.Add(lookPeriod)
	if l.next.After(t.due) {
		t.due = l.next
	}
	s.queue.putBack(t)
}

func (s *Service) report(ctx context.Context, r result) {
	select {
	case s.results <- r:
	case <-ctx.Done():
	}
}

// cancel sends the cancel of a task. Memory that is still held counts as not
// yet acknowledged.
func (s *Service) cancel(ctx context.Context, t *task) result {
	client, found := s.params.Clients.Engine(t.engine)
	if !found {
		return result{task: t, unknown: true}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.counters.Sent.Add(1)
	answer, err := client.CancelIncarnation(ctx, t.process.vm, t.process.incarnation)
	if err == nil && answer.HeldPieces > 0 {
		err = errStillHeld.New("%s holds %d pieces", t.engine, answer.HeldPieces)
	}
	return result{task: t, err: err}
}

// finish takes the outcome of a call.
func (s *Service) finish(now time.Time, r result) {
	s.flying--
	t := r.task
	switch {
	case t == nil:
		s.looks[r.engine].finish(now, r.answered)
	case r.unknown:
		s.counters.EngineGone.Add(1)
		s.end(t)
	case r.err == nil:
		s.counters.Confirmed.Add(1)
		s.params.Events.Record(timeline.OrphanCancelled, "", t.process.String()+" on "+t.engine)
		s.end(t)
	default:
		s.retry(now, t)
	}
}

// retry plans the next cancel after a failure.
func (s *Service) retry(now time.Time, t *task) {
	s.counters.Failed.Add(1)
	if l, ok := s.looks[t.engine]; ok {
		l.since = time.Time{}
	}
	if !t.fail(now) {
		s.counters.Abandoned.Add(1)
		s.end(t)
		return
	}
	s.queue.putBack(t)
}

// end drops a task for which nothing is left to do.
func (s *Service) end(t *task) {
	s.queue.drop(t)
	s.counters.Pending.Add(-1)
	if d, ok := s.deaths[t.process]; ok {
		d.finished[t.engine] = true
	}
}
