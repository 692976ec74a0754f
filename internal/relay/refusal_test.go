package relay

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// conduct is what an endpoint does with a request.
type conduct struct {
	name string
	// runs is set if it runs the request, states if it states that it did not. The others do neither.
	runs, states bool
	serve        func(w http.ResponseWriter, r *http.Request)
}

// conducts returns what endpoints do with a request. A nil function stands for an endpoint that is not
// reachable.
func conducts() []conduct {
	with := func(name, value string, then func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(name, value)
			then(w, r)
		}
	}
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	truncated := func(status int) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			answers(status, "id: 1\ndata: t\n\nid")(w, r)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	declinesCache := func(then func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(sourceHeader) != "" {
				declines(w, r)
				return
			}
			then(w, r)
		}
	}
	declinesUnframed := func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\n"+declinedHeader+": 1\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\n\r\n")
			_ = conn.Close()
		}
	}
	return []conduct{
		{"answers", true, false, events(2)},
		{"fails", true, false, answers(http.StatusInternalServerError, "no")},
		{"promises", true, false, answers(http.StatusServiceUnavailable, "no")},
		{"limits", true, false, answers(http.StatusTooManyRequests, "no")},
		{"answers unsigned", true, false, with(unsignedHeader, "1", answers(http.StatusOK, "yes"))},
		{"answers another request", true, false, with(idHeader, "other", declines)},
		{"breaks off", true, false, truncated(http.StatusOK)},
		{"resets after the run", true, false, reset},
		{"is silent and runs", true, false, silent},
		{"declines the cache and resets", true, false, declinesCache(reset)},
		{"resets", false, false, reset},
		{"is silent", false, false, silent},
		{"declines", false, true, declines},
		{"declines the cache, then all", false, true, declinesCache(declines)},
		{"declines and breaks off", false, true, with(declinedHeader, "1", truncated(http.StatusServiceUnavailable))},
		{"declines without framing", false, true, declinesUnframed},
		{"is replaced", false, true, with(declinedHeader, "1", answers(http.StatusMisdirectedRequest, ""))},
		{"is unreachable", false, true, nil},
	}
}

// encounter is a request that is sent to two endpoints at most.
type encounter struct {
	route         routing.Route
	first, second conduct
	// event happens while the endpoint that is reached first works on the request.
	event func(s *fixture, keyRemoved *atomic.Bool)
	// hedged is set if a late request is sent to both.
	hedged bool
}

func (e *encounter) silent() bool { return strings.Contains(e.first.name+e.second.name, "silent") }

// play serves the request and returns the answer and how often it was run.
func (e *encounter) play(t *testing.T, unreachable string) (caller *recorder, runs int64) {
	t.Helper()
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"), refuseTarget)
	prefix, service, generation := "d", "desk", (*Generation)(nil)
	if e.route.Kind == routing.Streaming {
		prefix, service, generation = "e", "pool", work
		s.endpoint("p1", service, "prefill", answers(http.StatusOK, "h"))
		s.endpoint("p2", service, "prefill", answers(http.StatusOK, "h"))
	}
	if e.hedged {
		s.hedge()
	}
	var run atomic.Int64
	var keyRemoved, reached atomic.Bool
	for i, c := range []conduct{e.first, e.second} {
		name := prefix + strconv.Itoa(i+1)
		if c.serve == nil {
			s.add(name, service, "decode", unreachable)
			continue
		}
		s.endpoint(name, service, "decode", func(w http.ResponseWriter, r *http.Request) {
			declined := strings.HasPrefix(c.name, "declines the cache") && r.Header.Get(sourceHeader) != ""
			if c.runs && !declined {
				run.Add(1)
			}
			if !reached.Swap(true) {
				e.event(s, &keyRemoved)
			}
			c.serve(w, r)
		})
	}
	route := e.route
	if e.silent() {
		route.Timeout = 100 * time.Millisecond
	}
	caller = s.serveWithKey(route, generation, &keyRemoved)
	// A hedge that lost ends after the answer.
	for s.endpoints.InFlight(prefix+"1")+s.endpoints.InFlight(prefix+"2") > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.relay.Counters.RefusalsPrevented.Load(), int64(0))
	return caller, run.Load()
}

// A request that an endpoint ran was refused, which is a promise that it has not run; or a request that may
// run only once was run again.
func TestNothingThatRanIsRefused(t *testing.T) {
	events := map[string]func(s *fixture, keyRemoved *atomic.Bool){
		"nothing": func(*fixture, *atomic.Bool) {},
		"stop": func(s *fixture, _ *atomic.Bool) {
			s.relay.BeginStop(time.Now())
			s.relay.RefuseNew()
			s.relay.RefuseWaiting()
		},
		"key is removed":   func(_ *fixture, keyRemoved *atomic.Bool) { keyRemoved.Store(true) },
		"first one leaves": func(s *fixture, _ *atomic.Bool) { s.endpoints.MarkLeaving("d1"); s.endpoints.MarkLeaving("e1") },
	}
	booking, dossier := booking, dossier
	booking.MaxAttempts, dossier.MaxAttempts = 3, 3
	unreachable := refusesConnections(t)
	for _, route := range []routing.Route{booking, dossier} {
		for _, first := range conducts() {
			seconds := conducts()
			if first.runs {
				// No other endpoint may get the request.
				seconds = seconds[:1]
			}
			for _, second := range seconds {
				for event, happens := range events {
					t.Run(strings.Join([]string{route.Name, first.name, second.name, event}, "/"), func(t *testing.T) {
						t.Parallel()
						e := &encounter{route: route, first: first, second: second, event: happens}
						caller, runs := e.play(t, unreachable)
						if first.states && second.runs && event == "nothing" && !e.silent() {
							assert.Equal(t, runs, int64(1), "the second endpoint did not get the request")
						}
						switch {
						case runs > 0:
							assert.Assert(t, !strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
							assert.Assert(t, caller.outcome != "answer" || caller.status != http.StatusServiceUnavailable && caller.status != http.StatusTooManyRequests)
							assert.Equal(t, runs, int64(1))
						case first.states && second.states:
							assert.Assert(t, strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
						}
					})
				}
			}
		}
	}
}

// That an endpoint may have run a request was lost if another one declined it meanwhile or later.
func TestRequestThatMayRunAgainIsNotRefusedOnceItRan(t *testing.T) {
	unreachable := refusesConnections(t)
	for _, hedged := range []bool{false, true} {
		for _, first := range conducts() {
			for _, second := range conducts() {
				t.Run(strings.Join([]string{strconv.FormatBool(hedged), first.name, second.name}, "/"), func(t *testing.T) {
					t.Parallel()
					e := &encounter{route: lookup, first: first, second: second, event: func(*fixture, *atomic.Bool) {}, hedged: hedged}
					caller, runs := e.play(t, unreachable)
					if runs > 0 {
						assert.Assert(t, !strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
					} else if first.states && second.states {
						assert.Assert(t, strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
					}
				})
			}
		}
	}
}

// serveWithKey is serve with a request whose key may be removed.
func (s *fixture) serveWithKey(route routing.Route, generation *Generation, removed *atomic.Bool) *recorder {
	caller := &recorder{}
	request := s.request(generation)
	request.Reauthenticate = func() (*team.Team, *Refusal) {
		if removed.Load() {
			return nil, &Refusal{Reason: "the key is removed"}
		}
		return nil, nil
	}
	s.serveRequest(s.t.Context(), caller, route, request)
	return caller
}

// A defect that refuses a request which may have run would break the promise of a refusal.
func TestRefusalOfARequestThatMayHaveRunIsAFailure(t *testing.T) {
	s := newFixture(t)
	caller := &recorder{}
	x := &exchange{request: s.request(nil), route: &booking, service: &routing.Service{}, caller: caller, mayHaveRun: true}
	s.relay.refuse(x, stoppingRefusal)
	assert.Equal(t, caller.outcome, "failed: the VM is stopping")
	assert.Equal(t, s.relay.Counters.RefusalsPrevented.Load(), int64(1))
	assert.Equal(t, s.relay.Counters.Refused.Load(), int64(0))
}

// refusesConnections returns an address on which nothing listens until the end of the test. Tests that
// run beside it cannot get the port.
func refusesConnections(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
}
