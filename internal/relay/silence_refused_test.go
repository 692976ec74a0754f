package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// A silent stream is left before the engine that is to continue it has taken the request.
// If that engine does not, and no retry is left, the stream is lost although the silent
// engine would have gone on.
func TestSilentStreamIsLeftOnlyOnceAnotherEngineTakesIt(t *testing.T) {
	for name, second := range map[string]func(s *fixture){
		"decode engine declines": func(s *fixture) { s.endpoint("e2", "pool", configuration.RoleDecode, declines) },
		"decode engine is unreachable": func(s *fixture) {
			s.add("e2", "pool", configuration.RoleDecode, unreachable(s.t))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newImpatientFixture(t, grant("p1", "e1"), grant("p2", "e2"))
			s.relay.options.Budget = &budget{left: 1}
			s.endpoint("p1", "pool", configuration.RolePrefill, answers(http.StatusOK, "h1"))
			s.endpoint("p2", "pool", configuration.RolePrefill, answers(http.StatusOK, "h2"))
			s.endpoint("e1", "pool", configuration.RoleDecode, silentUntil(func() bool { return s.reserver.released() > 0 }))
			second(s)
			caller := s.serve(check, work)
			assert.Equal(t, caller.outcome, "stream")
			assert.Equal(t, caller.body, eventText(4))
		})
	}
}

// The engine of another build that was to go on with a stream before its first event was recorded as the one that
// began it, although the silent engine did.
func TestSilentEngineThatBeginsAfterAllIsRecorded(t *testing.T) {
	for name, takes := range map[string]bool{"the silent engine begins": false, "the other engine begins": true} {
		t.Run(name, func(t *testing.T) {
			s := newImpatientFixture(t, grant("e1", "e1"), grant("e2", "e2"))
			s.endpoint("e1", "pool", configuration.RoleDecode, func(w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).Flush()
				for s.reserver.released() == 0 && r.Context().Err() == nil {
					time.Sleep(time.Millisecond)
				}
				events(3)(w, r)
			})
			second := declines
			if takes {
				second = events(3)
			}
			s.endpoint("e2", "pool", configuration.RoleDecode, second)
			s.setBuilds(twoBuilds)
			assert.Equal(t, s.serve(check, work).body, eventText(3))
			last := s.origins.recorded[len(s.origins.recorded)-1]
			assert.Equal(t, last.Build == "v2", takes, "%+v", s.origins.recorded)
			for _, earlier := range s.origins.recorded[:len(s.origins.recorded)-1] {
				assert.Assert(t, earlier.Revision < last.Revision, "%+v", s.origins.recorded)
			}
		})
	}
}
