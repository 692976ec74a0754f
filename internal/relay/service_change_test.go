package relay

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// withoutServices puts a configuration in force that defines no service.
func (s *fixture) withoutServices() {
	s.fleet.SetTable(routing.NewTable(2, routing.Limits{}, nil, nil))
}

// A service that disappears from the configuration must not end the requests that it
// serves already.
func TestRequestsInFlightAreAnsweredAfterTheirServiceDisappears(t *testing.T) {
	t.Run("plain", func(t *testing.T) {
		s := newFixture(t)
		s.endpoint("d1", "desk", "", func(w http.ResponseWriter, r *http.Request) {
			s.withoutServices()
			answers(http.StatusOK, "done")(w, r)
		})
		assert.Equal(t, s.serve(booking, nil).body, "done")
	})
	t.Run("stream that has begun", func(t *testing.T) {
		s := newFixture(t, grant("p1", "e1"))
		s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, _ *http.Request) {
			eventsBetween(w, 1, 2)
			_ = http.NewResponseController(w).Flush()
			s.withoutServices()
			eventsBetween(w, 3, 4)
		})
		caller := s.serve(check, work)
		assert.Equal(t, caller.outcome, "stream")
		assert.Equal(t, caller.body, eventText(4))
	})
	t.Run("silent stream", func(t *testing.T) {
		s := newImpatientFixture(t, grant("p1", "e1"), grant("p2", "e2"))
		s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
			s.withoutServices()
			silentUntil(func() bool { return s.reserver.released() > 0 })(w, r)
		})
		caller := s.serve(check, work)
		assert.Equal(t, caller.outcome, "stream")
		assert.Equal(t, caller.body, eventText(4))
	})
}

// A request whose service disappears while its prompt is processed has not run. Its caller
// can only know that from a refusal.
func TestRequestWhoseServiceDisappearsDuringThePrefillIsRefused(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), refuseTarget)
	s.engines(func(w http.ResponseWriter, r *http.Request) {
		s.withoutServices()
		answers(http.StatusOK, "h1")(w, r)
	}, events(2))
	caller := s.serve(dossier, work)
	assert.Assert(t, strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
	assert.Assert(t, !strings.Contains(s.callLog(), "e1:"), s.callLog())
}
