package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// silentAfter returns a handler that streams events up to the last one and falls silent
// after the first ones, until the relay has noticed the silence.
func (s *fixture) silentAfter(silent, last int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		events(silent)(w, r)
		_ = http.NewResponseController(w).Flush()
		for s.relay.Counters.Silences.Load() == 0 && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		eventsBetween(w, silent+1, last)
	}
}

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
			s := newFixture(t, grant("p1", "e1"), c.second)
			s.relay.options.Budget = &budget{left: c.budget}
			s.engines(answers(http.StatusOK, "h1"), s.silentAfter(2, 4))
			caller := s.serve(c.route, work)
			assert.Equal(t, caller.outcome, "stream")
			assert.Equal(t, caller.body, eventText(4))
			assert.Equal(t, s.callLog(), "p1:1 e1:2/h1")
		})
	}
}

// An engine that hangs must not hold up a stream that another engine can continue.
func TestStreamOfASilentEngineMovesToAnother(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
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
