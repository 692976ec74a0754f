package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/hedge"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// firstChoice records to which endpoint a request is sent first. Calls may arrive in another order.
type firstChoice struct {
	Admission
	name atomic.Pointer[string]
}

func (f *firstChoice) Admit(ctx context.Context, to *configuration.Endpoint) (time.Duration, bool) {
	wait, admitted := f.Admission.Admit(ctx, to)
	if admitted {
		f.name.CompareAndSwap(nil, &to.Name)
	}
	return wait, admitted
}

// hedged returns a fixture with two endpoints, whose routes have a quantile of 1 ms. The endpoint that is chosen
// first is late, the other handles the second call.
func hedged(t *testing.T, late, second func(http.ResponseWriter, *http.Request)) *fixture {
	t.Helper()
	s := newFixture(t)
	s.hedge()
	first := &firstChoice{Admission: &s.admission}
	s.relay.options.Admission = first
	for _, name := range []string{"d1", "d2"} {
		s.endpoint(name, "desk", "", func(w http.ResponseWriter, r *http.Request) {
			if *first.name.Load() == name {
				late(w, r)
				return
			}
			second(w, r)
		})
	}
	return s
}

// hedge lets the relay hedge requests after a quantile of 1 ms.
func (s *fixture) hedge() {
	h := hedge.New("vm", hedge.Settings{Share: 1, Burst: 8}, nil)
	h.SetVMs([]string{"vm"})
	for range 40 {
		h.Observe(time.Now(), lookup.Name+"\x00desk", "d1", time.Millisecond)
		h.Observe(time.Now(), booking.Name+"\x00desk", "d1", time.Millisecond)
	}
	h.Loaded(time.Now().Add(-time.Minute), "desk", nil) // The average of the load starts at its highest.
	s.relay.options.Hedger = h
}

// untilCancelled handles a call until its connection is closed.
func untilCancelled(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// The endpoint that loses must not go on working on the request, and must be preferred less.
func TestLateRequestIsAnsweredByAnotherEndpoint(t *testing.T) {
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	s := hedged(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		untilCancelled(w, r)
		close(cancelled)
	}, func(w http.ResponseWriter, r *http.Request) {
		<-arrived
		answers(http.StatusOK, "quick")(w, r)
	})
	assert.Equal(t, s.serve(lookup, nil).body, "quick")
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second): // The attempt by itself would end after 30 s.
		t.Fatal("the call that lost was not cancelled")
	}
	c := &s.relay.options.Hedger.Counters
	assert.Equal(t, c.Sent.Load(), int64(1))
	assert.Equal(t, c.Won.Load(), int64(1))
	assert.Equal(t, s.relay.options.Budget.(*budget).left, 9)
	assert.Assert(t, s.endpoints.Stats("d1").FailureRate+s.endpoints.Stats("d2").FailureRate > 0)
}

// Two answers that exceed the memory of a request must not both be passed on to the caller while
// they are read.
func TestAnswersOfAHedgedRequestAreReadWhole(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	arrived := make(chan struct{}, 1)
	s := hedged(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		answers(http.StatusOK, large)(w, r)
	}, func(w http.ResponseWriter, r *http.Request) {
		<-arrived
		answers(http.StatusOK, large)(w, r)
	})
	counters := s.shortMemory(1 << 20)
	caller := s.serve(lookup, nil)
	assert.Equal(t, caller.outcome, "answer")
	assert.Assert(t, caller.body == large)
	assert.Equal(t, counters.PassedOn.Load(), int64(0))
}

// Each of these must leave the request with its first endpoint and return what the hedge took.
func TestHedgeIsHeldBack(t *testing.T) {
	for name, prepare := range map[string]func(s *fixture, route *routing.Route){
		"limit used up":        func(s *fixture, _ *routing.Route) { s.relay.options.Hedger.SetVMs([]string{"other"}) },
		"retry budget used up": func(s *fixture, _ *routing.Route) { s.relay.options.Budget = &budget{} },
		"endpoints loaded": func(s *fixture, _ *routing.Route) {
			s.endpoints.ObserveLoad("d1", endpoint.Load{Running: 8})
			s.endpoints.ObserveLoad("d2", endpoint.Load{Running: 7})
		},
		"endpoint is draining": func(s *fixture, _ *routing.Route) { s.drain("d2") },
		"endpoint asked for quiet": func(s *fixture, _ *routing.Route) {
			s.endpoints.Announce("d2", endpoint.Announcement{Quiet: time.Minute})
		},
		"endpoint is in a cooldown": func(s *fixture, _ *routing.Route) { s.endpoints.MarkUnreachable("d2") },
		"endpoint is at its limit": func(s *fixture, _ *routing.Route) {
			s.admission.waits = map[string]time.Duration{"d2": time.Second}
		},
		"one attempt":          func(_ *fixture, route *routing.Route) { route.MaxAttempts = 1 },
		"may run at most once": func(_ *fixture, route *routing.Route) { route.Kind = routing.SingleRun },
	} {
		t.Run(name, func(t *testing.T) {
			s := hedged(t, untilCancelled, answers(http.StatusOK, "quick"))
			route := lookup
			route.Timeout = 300 * time.Millisecond
			prepare(s, &route)
			left := s.relay.options.Budget.(*budget).left
			assert.Equal(t, s.serve(route, nil).outcome, "failed: no endpoint answered")
			assert.Equal(t, s.relay.options.Hedger.Counters.Sent.Load(), int64(0))
			assert.Equal(t, s.callCount(), 1)
			assert.Equal(t, s.relay.options.Budget.(*budget).left, left)
		})
	}
}

// A hedge that fails must not end the request, whose first endpoint may still answer.
func TestFailedHedgeLeavesTheFirstAttempt(t *testing.T) {
	for name, bad := range map[string]func(http.ResponseWriter, *http.Request){
		"reset": reset, "declined": declines, "failed": answers(http.StatusInternalServerError, "no"),
	} {
		asked := make(chan struct{})
		s := hedged(t, func(w http.ResponseWriter, r *http.Request) {
			<-asked
			answers(http.StatusOK, "first")(w, r)
		}, func(w http.ResponseWriter, r *http.Request) {
			close(asked)
			bad(w, r)
		})
		assert.Equal(t, s.serve(lookup, nil).body, "first", name)
	}
}
