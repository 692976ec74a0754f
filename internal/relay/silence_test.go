package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// newImpatientFixture returns a fixture whose callers wait for events for a short time,
// so that silences are noticed soon.
func newImpatientFixture(t *testing.T, answers ...func(scheduling.Demand) (scheduling.Grant, error)) *fixture {
	s := newFixture(t, answers...)
	s.eventTimeout = 100 * time.Millisecond
	return s
}

// silentUntil returns a handler that streams four events and falls silent after the
// second one until a condition holds.
func silentUntil(condition func() bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		events(2)(w, r)
		_ = http.NewResponseController(w).Flush()
		for !condition() && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		eventsBetween(w, 3, 4)
	}
}

// silenceNoticed reports whether the relay has noticed a silence.
func (s *fixture) silenceNoticed() bool { return s.relay.Counters.Silences.Load() > 0 }

// A sound engine may pause for a while. A stream that no other engine can continue must
// not be ended because of it.
func TestSilenceDoesNotEndAStreamThatCannotBeContinued(t *testing.T) {
	refuseFull := func(scheduling.Demand) (scheduling.Grant, error) {
		return scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedNoEngine}
	}
	once := check
	once.MaxAttempts = 1
	for _, c := range []struct {
		name   string
		route  routing.Route
		budget int
		second func(scheduling.Demand) (scheduling.Grant, error)
	}{
		{"route allows a single run", dossier, 10, grant("p2", "e2")},
		{"route's attempts are used up", once, 10, grant("p2", "e2")},
		{"retry budget is used up", check, 0, grant("p2", "e2")},
		{"no engine is free", check, 10, refuseFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newImpatientFixture(t, grant("p1", "e1"), c.second)
			s.relay.options.Budget = &budget{left: c.budget}
			s.engines(answers(http.StatusOK, "h1"), silentUntil(s.silenceNoticed))
			caller := s.serve(c.route, work)
			assert.Equal(t, caller.outcome, "stream")
			assert.Equal(t, caller.body, eventText(4))
			assert.Equal(t, s.callLog(), "p1:1 e1:2/h1")
		})
	}
}

// An engine that hangs must not hold up a stream that another engine can continue.
func TestStreamOfASilentEngineMovesToAnother(t *testing.T) {
	s := newImpatientFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	cancelled := make(chan struct{})
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
		events(2)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	caller := s.serve(check, work)
	<-cancelled
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(3))
	assert.DeepEqual(t, s.reserver.demands[1].Exclude, []string{"e1"})
	assert.Assert(t, s.reserver.demands[1].Resumed)
}

// An engine that goes on while others are sought keeps its stream, and nothing that was
// taken for the change is kept.
func TestEngineThatGoesOnKeepsItsStream(t *testing.T) {
	s := newImpatientFixture(t, grant("p1", "e1"), nil)
	retries := &budget{left: 1}
	s.relay.options.Budget = retries
	s.engines(answers(http.StatusOK, "h1"), silentUntil(s.silenceNoticed))
	caller := s.serve(check, work)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(4))
	assert.Equal(t, s.callLog(), "p1:1 e1:2/h1")
	assert.Assert(t, len(s.reserver.demands) > 1, "no other engine was sought")
	retries.await(1)
	assert.Equal(t, s.relay.Counters.Repeated.Load(), int64(0))
}

// A grant that names a leaving engine must not end the stream that it was to continue.
func TestSilentStreamIsNotLeftForALeavingEngine(t *testing.T) {
	s := newImpatientFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	retries := &budget{left: 1}
	s.relay.options.Budget = retries
	s.engines(answers(http.StatusOK, "h1"), silentUntil(func() bool { return strings.Contains(s.reserver.kinds(), "released") }))
	s.drain("e2")
	caller := s.serve(check, work)
	assert.Equal(t, caller.body, eventText(4))
	assert.Equal(t, s.callLog(), "p1:1 e1:2/h1")
	assert.Assert(t, strings.HasPrefix(s.reserver.kinds(), "prefill-done first-token released released"), s.reserver.kinds())
	retries.await(1)
}

// A sound engine may pause for a second or more. Moving its stream costs a prefill, and
// the engine may still work on it until it notices.
func TestSilenceLimitLeavesCallersTimeForTheChange(t *testing.T) {
	for _, c := range []struct{ callersWait, limit time.Duration }{
		{4 * time.Second, 2 * time.Second},
		{2 * time.Second, time.Second},
		{0, defaultSilenceLimit},
	} {
		assert.Equal(t, silenceLimit(&Request{EventTimeout: c.callersWait}), c.limit)
	}
}

// A stream that was left for engines which then failed to continue it was lost, although
// the silent engine would have gone on.
func TestStreamIsLeftOnlyOnceThePromptIsProcessedElsewhere(t *testing.T) {
	for name, prefill := range map[string]func(s *fixture) func(http.ResponseWriter, *http.Request){
		"prefill fails": func(*fixture) func(http.ResponseWriter, *http.Request) {
			return answers(http.StatusInternalServerError, "no")
		},
		"prefill is declined": func(*fixture) func(http.ResponseWriter, *http.Request) { return declines },
		"decode engine drains": func(s *fixture) func(http.ResponseWriter, *http.Request) {
			return func(w http.ResponseWriter, r *http.Request) {
				s.drain("e2")
				answers(http.StatusOK, "h2")(w, r)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newImpatientFixture(t, grant("p1", "e1"), grant("p2", "e2"))
			retries := &budget{left: 1}
			s.relay.options.Budget = retries
			s.endpoint("p1", "pool", configuration.RolePrefill, answers(http.StatusOK, "h1"))
			s.endpoint("p2", "pool", configuration.RolePrefill, prefill(s))
			s.endpoint("e1", "pool", configuration.RoleDecode, silentUntil(func() bool { return s.reserver.released() > 0 }))
			s.endpoint("e2", "pool", configuration.RoleDecode, events(4))
			caller := s.serve(check, work)
			assert.Equal(t, caller.outcome, "stream")
			assert.Equal(t, caller.body, eventText(4))
			assert.Assert(t, !strings.Contains(s.callLog(), "e2:"), s.callLog())
			assert.Equal(t, retries.left, 0, "the call to p2 costs a retry")
		})
	}
}

// A retry that becomes available only when callers give up is of no use to them.
func TestSilentStreamIsLookedAtAgainSoon(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.eventTimeout = 4 * seekInterval
	retries := &budget{left: 0}
	s.relay.options.Budget = retries
	left := make(chan time.Duration, 1)
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
		events(2)(w, r)
		_ = http.NewResponseController(w).Flush()
		for !s.silenceNoticed() {
			time.Sleep(time.Millisecond)
		}
		retries.Refund("")
		noticed := s.relay.Counters.Silences.Load()
		<-r.Context().Done()
		left <- time.Duration(s.relay.Counters.Silences.Load()-noticed) * seekInterval
	})
	caller := s.serve(check, work)
	assert.Equal(t, caller.body, eventText(3))
	assert.Assert(t, <-left <= seekInterval, "the stream did not move at the first look after the retry became available")
}

// An engine that sends its header and then nothing has missed the objective, which must
// not keep others from taking the request.
func TestSilenceBeforeTheFirstEventMovesTheRequest(t *testing.T) {
	withoutTarget := func(d scheduling.Demand) (scheduling.Grant, error) {
		if d.Targets.FirstToken > 0 {
			return refuseTarget(d)
		}
		return grant("p2", "e2")(d)
	}
	s := newImpatientFixture(t, grant("p1", "e1"), withoutTarget)
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	caller := s.serve(check, work)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(3))
}

// A pause of the VM must not count as a silence of all its engines.
func TestLateTimerIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := newSilenceTimer(2 * time.Second)
		defer timer.timer.Stop()
		<-timer.timer.C
		assert.Assert(t, !timer.paused())
		time.Sleep(timer.tolerance())
		assert.Assert(t, !timer.paused())
		time.Sleep(time.Millisecond)
		assert.Assert(t, timer.paused())
		timer.reset(timer.tolerance())
		<-timer.timer.C
		assert.Assert(t, !timer.paused())
	})
}

// What was prepared for a caller that has gone must be given back.
func TestPreparedEnginesAreReleasedIfTheCallerIsGone(t *testing.T) {
	s := newImpatientFixture(t, grant("p1", "e1"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	retries := &budget{left: 1}
	s.relay.options.Budget = retries
	s.reserver.answers = append(s.reserver.answers, func(d scheduling.Demand) (scheduling.Grant, error) {
		cancel()
		return grant("e2", "e2")(d)
	})
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
		events(2)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	s.serveTo(ctx, &recorder{}, check, work)
	for s.reserver.released() < 2 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(s.reserver.demands), 2)
	assert.Assert(t, !strings.Contains(s.callLog(), "e2:"), s.callLog())
	retries.await(1)
}
