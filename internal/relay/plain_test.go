package relay

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

var (
	booking = routing.Route{Name: "booking", Kind: routing.SingleRun, MaxAttempts: 1, Timeout: time.Minute, Objective: time.Second}
	lookup  = routing.Route{Name: "lookup", Kind: routing.Repeatable, MaxAttempts: 2, Timeout: time.Minute, Objective: time.Second}
)

func TestLostAnswerOfASingleRunIsNeitherRepeatedNorRefused(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", reset)
	s.endpoint("d2", "desk", "", reset)
	caller := s.serve(booking, nil)
	assert.Equal(t, caller.outcome, "failed: no endpoint answered")
	assert.Equal(t, s.callCount(), 1)
}

func TestSingleRunThatIsDeclinedIsRefused(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", declines)
	caller := s.serve(booking, nil)
	assert.Equal(t, caller.outcome, "refused: the endpoint did not run the request")
	assert.Assert(t, caller.retryAfter > 0)
}

func TestUnreachableEndpointDoesNotCountAsAttempt(t *testing.T) {
	s := newFixture(t)
	s.add("d1", "desk", "", unreachable(t))
	s.endpoint("d2", "desk", "", answers(http.StatusOK, "done"))
	for range 4 {
		caller := s.serve(booking, nil)
		assert.Equal(t, caller.outcome, "answer")
		assert.Equal(t, caller.body, "done")
	}
}

func TestRepeatableRequestIsTriedOnAnotherEndpoint(t *testing.T) {
	for name, bad := range map[string]func(http.ResponseWriter, *http.Request){
		"reset": reset, "declined": declines, "failed": answers(http.StatusInternalServerError, "no"),
	} {
		s := newFixture(t)
		var tried atomic.Bool
		serve := func(w http.ResponseWriter, r *http.Request) {
			if tried.CompareAndSwap(false, true) {
				bad(w, r)
				return
			}
			answers(http.StatusOK, "found")(w, r)
		}
		s.endpoint("d1", "desk", "", serve)
		s.endpoint("d2", "desk", "", serve)
		caller := s.serve(lookup, nil)
		assert.Equal(t, caller.body, "found", name)
		assert.Equal(t, s.callCount(), 2, name)
	}
}

func TestEndpointErrorIsDeliveredIfNoOtherAnswerArrives(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusInternalServerError, "d1"))
	caller := s.serve(lookup, nil)
	assert.Equal(t, caller.outcome, "answer")
	assert.Equal(t, caller.status, http.StatusInternalServerError)
}

func TestBudgetLimitsRetries(t *testing.T) {
	s := newFixture(t)
	s.relay.options.Budget = &budget{}
	s.endpoint("d1", "desk", "", reset)
	s.endpoint("d2", "desk", "", reset)
	caller := s.serve(lookup, nil)
	assert.Equal(t, caller.outcome, "failed: no endpoint answered")
	assert.Equal(t, s.callCount(), 1)
	assert.Equal(t, s.relay.Counters.RepeatsDenied.Load(), int64(1))
}

func TestAnswerToAnotherRequestIsNotDelivered(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(idHeader, "another")
		_, _ = w.Write([]byte("theirs"))
	})
	caller := s.serve(booking, nil)
	assert.Equal(t, caller.outcome, "failed: no endpoint answered")
	assert.Equal(t, s.relay.Counters.Foreign.Load(), int64(1))
}

// Guards against a request that is sent to an endpoint which probably declines it, and against a
// refusal while another endpoint has room.
func TestRequestGoesPastAFullEndpoint(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "d1"))
	full := Load{Running: 1, Waiting: 1000, Slots: 1}
	fill := func(name string) {
		for range 100 {
			s.endpoints.Offer(&configuration.Endpoint{Name: name, Slots: 1})
		}
		s.endpoints.ObserveDecline(name, &full)
		s.endpoints.ObserveLoad(name, full)
	}
	fill("d1")
	refused := func() int {
		count := 0
		for range 20 {
			if s.serve(booking, nil).outcome == "refused: the endpoints are too full" {
				count++
			}
			s.endpoints.ObserveLoad("d1", full)
		}
		return count
	}
	assert.Assert(t, refused() >= 15)
	assert.Assert(t, s.relay.Counters.Overfull.Load() >= 15)
	s.endpoint("d2", "desk", "", answers(http.StatusOK, "d2"))
	assert.Equal(t, refused(), 0)
}

func TestReplacedEndpointIsMarkedLeaving(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(declinedHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	caller := s.serve(booking, nil)
	assert.Equal(t, caller.outcome, "refused: the endpoint did not run the request")
	assert.Assert(t, s.endpoints.Leaving("d1"))
}

// A burst exceeds the connection limits of endpoints. An endpoint resets connections
// beyond its limit, and it is then unknown whether their requests ran. Refusing the
// excess requests avoids this.
func TestRequestsBeyondTheConnectionLimitAreRefusedAtOnce(t *testing.T) {
	s := newFixture(t)
	s.fleet.SetTable(routing.NewTable(2, routing.Limits{}, nil, []routing.Service{{Name: "desk", MaxConnections: 2}}))
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "done"))
	ends := []func(){s.endpoints.Begin("d1"), s.endpoints.Begin("d1")}
	assert.Equal(t, s.serve(booking, nil).outcome, "refused: no endpoint is reachable")
	assert.Equal(t, s.callCount(), 0)
	ends[0]()
	assert.Equal(t, s.serve(booking, nil).body, "done")
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	s := newFixture(t)
	caller := s.serve(booking, nil)
	assert.Equal(t, caller.outcome, "refused: no endpoint is reachable")
}
