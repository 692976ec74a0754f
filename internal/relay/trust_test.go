package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/routing"
)

const lost = "failed: no endpoint answered"

// The status of an endpoint that ran a request was a promise to the caller that it had not run, and the
// caller sent it again.
func TestStatusIsNoPromiseUnlessTheEndpointStatesIt(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   routing.Route
		status  int
		body    string
		outcome string
		calls   int
	}{
		{"single run", booking, http.StatusServiceUnavailable, "no", lost, 1},
		{"single run, other status", booking, http.StatusTooManyRequests, "no", lost, 1},
		{"single run, passed on piecewise", booking, http.StatusServiceUnavailable, strings.Repeat("x", 100<<10), lost, 1},
		{"single run, no promise", booking, http.StatusInternalServerError, "no", "answer", 1},
		{"may run again", lookup, http.StatusServiceUnavailable, "no", "answer", 2},
		{"may run again, no failure", lookup, http.StatusTooManyRequests, "no", "answer", 1},
		{"stream of a single run", dossier, http.StatusServiceUnavailable, "no", lost, 2},
		{"stream that may run again", check, http.StatusServiceUnavailable, "no", "answer", 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
			s.shortMemory(0)
			for _, name := range []string{"d1", "d2"} {
				s.endpoint(name, "desk", "", answers(c.status, c.body))
			}
			for _, name := range []string{"p1", "p2"} {
				s.endpoint(name, "pool", "prefill", answers(http.StatusOK, "h"))
			}
			for _, name := range []string{"e1", "e2"} {
				s.endpoint(name, "pool", "decode", answers(c.status, c.body))
			}
			generation := work
			if c.route.Kind != routing.Streaming {
				generation = nil
			}
			caller := s.serve(c.route, generation)
			assert.Equal(t, caller.outcome, c.outcome)
			assert.Equal(t, s.callCount(), c.calls, s.callLog())
			assert.Equal(t, s.relay.Counters.Promises.Load() > 0, c.outcome == lost)
			if c.outcome == "answer" {
				assert.Equal(t, caller.status, c.status)
			}
		})
	}
}

// A success of something other than the endpoint, or whose body was changed on the way, reached the
// caller, whose request may not have run.
func TestUnsignedSuccessIsNotDelivered(t *testing.T) {
	for _, c := range []struct {
		name      string
		route     routing.Route
		status    int
		body      string
		outcome   string
		calls     int
		onlyFirst bool
	}{
		{"single run", booking, http.StatusOK, "yes", lost, 1, false},
		{"passed on piecewise", booking, http.StatusOK, strings.Repeat("x", 100<<10), lost, 1, false},
		{"may run again", lookup, http.StatusOK, "yes", lost, 2, false},
		{"may run again, once unsigned", lookup, http.StatusOK, "yes", "answer", 2, true},
		{"in place of a stream", dossier, http.StatusCreated, "yes", lost, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"))
			s.shortMemory(0)
			var answered atomic.Bool
			unsigned := func(w http.ResponseWriter, r *http.Request) {
				if !answered.Swap(true) || !c.onlyFirst {
					w.Header().Set(unsignedHeader, "1")
				}
				answers(c.status, c.body)(w, r)
			}
			s.endpoint("d1", "desk", "", unsigned)
			s.endpoint("d2", "desk", "", unsigned)
			s.engines(answers(http.StatusOK, "h"), unsigned)
			generation := work
			if c.route.Kind != routing.Streaming {
				generation = nil
			}
			assert.Equal(t, s.serve(c.route, generation).outcome, c.outcome)
			assert.Equal(t, s.callCount(), c.calls, s.callLog())
			if c.route.Kind != routing.Streaming {
				assert.Assert(t, s.relay.Counters.Unsigned.Load() > 0)
			}
		})
	}
}
