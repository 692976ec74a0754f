package relay

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/standin/repeated"
)

// repeating lets the endpoints that are added from now on write refusals once more.
func (s *fixture) repeating(mode repeated.Mode) {
	s.listen = func(inner net.Listener) net.Listener { return repeated.Listener{Listener: inner, Mode: mode} }
}

// refuses returns a handler that declines a number of calls with a status and asks for quiet if quiet is not
// empty; further ones are handled by a function.
func refuses(count int64, status int, quiet string, then http.HandlerFunc) http.HandlerFunc {
	var calls atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > count {
			then(w, r)
			return
		}
		w.Header().Set(declinedHeader, "1")
		w.Header().Set(quietHeader, quiet)
		w.WriteHeader(status)
	}
}

// awaitCalls waits until endpoints have received a number of calls. A call may end with a repeated refusal before
// its endpoint has received it.
func (s *fixture) awaitCalls(count int) {
	for s.callCount() < count {
		time.Sleep(time.Millisecond)
	}
}

// prefillOrEvents answers a prefill, and any other call with three events.
func prefillOrEvents(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(stageHeader) == strconv.Itoa(int(Prefill)) {
		answers(http.StatusOK, "h1")(w, r)
		return
	}
	events(3)(w, r)
}

// noEngine refuses a demand.
func noEngine(scheduling.Demand) (scheduling.Grant, error) {
	return scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedNoEngine}
}

// A refusal that an endpoint wrote once more was taken for the answer to the next call on its connection if that
// had the same ID. The endpoint ran the call, while the caller got a refusal, or another engine ran
// it as well.
func TestRefusalWrittenAgainIsNoPromise(t *testing.T) {
	type answersOf = []func(scheduling.Demand) (scheduling.Grant, error)
	const (
		declined       = "refused: the endpoint did not run the request"
		engineDeclined = "refused: the engine did not take the request"
	)
	for _, c := range []struct {
		name  string
		route routing.Route
		// refused is the number of calls that the endpoint refuses.
		refused int64
		grants  answersOf
		// prefill is set if the endpoint that refuses has that role.
		prefill  bool
		ids      []string
		outcomes []string
		calls    string
	}{
		{"another request", booking, 1, nil, false, []string{"r1", "r2"}, []string{declined, "failed: no endpoint answered"}, "d1:0 d1:0"},
		{"request that is sent again", booking, 1, nil, false, []string{"r1", "r1"}, []string{declined, "answer"}, "d1:0 d1:0"},
		{"prefill that is sent again", dossier, 1, answersOf{grant("p1", "e1"), noEngine, grant("p1", "e1")}, true,
			[]string{"r1", "r1"}, []string{"refused: no-engine", "stream"}, "p1:1 p1:1 e1:2/h1"},
		{"whole request after its prefill", dossier, 1, answersOf{grant("p1", "e1"), grant("p1", "p1")}, true,
			[]string{"r1"}, []string{"stream"}, "p1:1 p1:0"},
		{"second call of a single run", dossier, 1, answersOf{grant("p1", "e1")}, false,
			[]string{"r1"}, []string{"stream"}, "p1:1 e1:2/h1 p1: e1:0"},
		{"second call of a resumable stream", check, 1, answersOf{grant("p1", "e1"), grant("p2", "e2")}, false,
			[]string{"r1"}, []string{"stream"}, "p1:1 e1:2/h1 p1: e1:0"},
		{"decode that is sent again", dossier, 2, answersOf{grant("p1", "e1")}, false,
			[]string{"r1", "r1"}, []string{engineDeclined, "stream"}, "p1:1 e1:2/h1 p1: e1:0 p1:1 e1:2/h1"},
		{"decode of another request", dossier, 2, answersOf{grant("p1", "e1")}, false,
			[]string{"r1", "r2"}, []string{engineDeclined, "stream"}, "p1:1 e1:2/h1 p1: e1:0 p1:1 e1:2/h1"},
	} {
		for mode, repeats := range repeated.Modes {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
				t.Run(strings.Join([]string{c.name, mode, http.StatusText(status)}, "/"), func(t *testing.T) {
					s := newFixture(t, c.grants...)
					s.repeating(repeats)
					generation := work
					switch {
					case c.grants == nil:
						generation = nil
						s.endpoint("d1", "desk", "", refuses(c.refused, status, "", answers(http.StatusOK, "done")))
					case c.prefill:
						s.engines(refuses(c.refused, status, "", prefillOrEvents), events(3))
					default:
						s.engines(answers(http.StatusOK, "h1"), refuses(c.refused, status, "", events(3)))
					}
					for i, id := range c.ids {
						s.requestID = id
						caller := s.serve(c.route, generation)
						assert.Equal(t, caller.outcome, c.outcomes[i], s.callLog())
						if caller.outcome == "stream" {
							assert.Equal(t, caller.body, eventText(3))
						}
					}
					s.awaitCalls(len(strings.Fields(c.calls)))
					assert.Equal(t, s.callLog(), c.calls)
				})
			}
		}
	}
}

// The call that frees a KV cache bears no ID. If it shared a connection with requests, its own answer could be that
// of the next request.
func TestCallThatFreesACacheSharesNoConnection(t *testing.T) {
	for mode, repeats := range repeated.Modes {
		t.Run(mode, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"))
			s.repeating(repeats)
			freed := refuses(1, http.StatusServiceUnavailable, "", answers(http.StatusOK, ""))
			s.engines(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodDelete {
					freed(w, r)
					return
				}
				answers(http.StatusOK, "h1")(w, r)
			}, refuses(1, http.StatusServiceUnavailable, "", events(3)))
			for _, s.requestID = range []string{"r1", "r2"} {
				assert.Equal(t, s.serve(dossier, work).body, eventText(3), s.callLog())
			}
			assert.Equal(t, s.callLog(), "p1:1 e1:2/h1 p1: e1:0 p1:1 e1:2/h1")
			assert.Equal(t, s.relay.Counters.Foreign.Load(), int64(0))
		})
	}
}

// What an endpoint states of itself in an answer to another call may be of another time, or of another endpoint that
// had its address. It was taken for news of the endpoint that was called.
func TestNothingIsLearntOfAnEndpointFromTheAnswerToAnotherCall(t *testing.T) {
	for name, call := range map[string]func(s *fixture){
		"request": func(s *fixture) { s.serve(booking, nil) },
		"free": func(s *fixture) {
			s.relay.free(&Source{Endpoint: "new", InstanceID: "new", Address: s.instances[0].Address, Handle: "h1"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.repeating(repeated.Before)
			s.endpoint("old", "desk", "", refuses(1, http.StatusServiceUnavailable, "1m", func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusOK)
			}))
			assert.Equal(t, s.serve(booking, nil).outcome, "refused: the endpoint did not run the request")
			address := s.instances[0].Address
			s.instances = nil
			s.add("new", "desk", configuration.Role(""), address)
			s.requestID = "r2"
			call(s)
			s.awaitCalls(2)
			assert.Equal(t, s.callCount(), 2)
			assert.Equal(t, s.endpoints.QuietFor("new"), time.Duration(0))
		})
	}
}
