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
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// asksForQuiet declines a request and asks for quiet.
func asksForQuiet(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(quietHeader, "1m")
	declines(w, r)
}

// A plain endpoint that asked for quiet must get nothing more from this VM, neither first requests
// nor retries, and callers that only it could serve must be refused at once.
func TestEndpointThatAskedForQuietGetsNothing(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", asksForQuiet)
	s.endpoint("d2", "desk", "", answers(http.StatusOK, "two"))
	for range 20 {
		assert.Equal(t, s.serve(lookup, nil).body, "two")
	}
	assert.Assert(t, strings.Count(s.callLog(), "d1:") <= 1, s.callLog())

	s = newFixture(t)
	s.endpoint("d1", "desk", "", asksForQuiet)
	s.serve(lookup, nil)
	caller := s.serve(lookup, nil)
	assert.Equal(t, s.callCount(), 1)
	assert.Assert(t, strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
	assert.Assert(t, caller.retryAfter > 50*time.Second && caller.retryAfter <= 2*time.Minute, "%v", caller.retryAfter)
}

// An engine that asked for quiet must not be granted to this VM, nor called for a grant that was
// made before.
func TestEngineThatAskedForQuietGetsNothing(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(asksForQuiet, events(3))
	assert.Equal(t, s.serve(dossier, work).body, eventText(3))
	assert.DeepEqual(t, s.reserver.demands[1].Exclude, []string{"p1"})
	s.reserver.demands, s.reserver.progress = nil, nil
	assert.Equal(t, s.serve(dossier, work).body, eventText(3))
	assert.Equal(t, strings.Count(s.callLog(), "p1:"), 1, s.callLog())
	assert.DeepEqual(t, s.reserver.demands[0].Exclude, []string{"p1"})
	assert.Assert(t, !strings.Contains(s.reserver.kinds(), string(scheduling.EngineLeaving)), "it does not leave")
}

// If all engines asked for quiet, callers are told when the first one takes requests again.
func TestRefusalTellsTheEndOfQuiet(t *testing.T) {
	s := newFixture(t, func(scheduling.Demand) (scheduling.Grant, error) {
		return scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedNoEngine, RetryAfter: time.Second}
	})
	s.endpoint("e1", "pool", configuration.RoleDecode, events(1))
	s.endpoints.MarkQuiet("e1", 10*time.Second)
	caller := s.serve(dossier, work)
	assert.Assert(t, caller.retryAfter > 9*time.Second && caller.retryAfter <= 20*time.Second, "%v", caller.retryAfter)
}

// The answer to a call that frees a KV cache asks for quiet as any other, and no cache is freed at an engine
// that asked. Neither was so, and the engine got further calls.
func TestQuietHoldsForCallsThatFreeCaches(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			asksForQuiet(w, r)
			return
		}
		answers(http.StatusOK, "h1")(w, r)
	}, declines)
	s.serve(dossier, work)
	assert.Assert(t, s.endpoints.QuietFor("p1") > 0, s.callLog())

	s = newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
		s.endpoints.MarkQuiet("p1", time.Minute)
		declines(w, r)
	})
	s.serve(dossier, work)
	assert.Equal(t, strings.Count(s.callLog(), "p1:"), 1, s.callLog())
}

// quietOnceLooked is a registry in which an endpoint asks for quiet when a VM has looked a number of times
// whether it did.
type quietOnceLooked struct {
	*endpoint.Registry
	name  string
	looks atomic.Int64
}

func (e *quietOnceLooked) QuietFor(name string) time.Duration {
	if name == e.name && e.looks.Add(-1) < 0 {
		return time.Minute
	}
	return 0
}

// A request for which a connection was being opened when its endpoint asked for quiet was sent. It must go
// to another endpoint, and the one that asked must not count as failing or unreachable.
func TestRequestIsWithheldIfItsEndpointAsksForQuietMeanwhile(t *testing.T) {
	// The choice and the look before the dial pass.
	const looks = 2
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "one"))
	quiet := &quietOnceLooked{Registry: s.endpoints, name: "d1"}
	quiet.looks.Store(looks)
	s.relay.options.Endpoints = quiet
	caller := s.serve(booking, nil)
	assert.Assert(t, strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
	assert.Equal(t, s.callCount(), 0)
	assert.Equal(t, s.endpoints.Stats("d1").FailureRate, 0.0)

	s = newFixture(t, grant("e1", "e1"), grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	quiet = &quietOnceLooked{Registry: s.endpoints, name: "e1"}
	quiet.looks.Store(looks + 2) // the demand and both engines of the grant
	s.relay.options.Endpoints = quiet
	assert.Equal(t, s.serve(check, work).body, eventText(3))
	assert.Assert(t, !strings.Contains(s.callLog(), "e1:"), s.callLog())
	assert.Assert(t, !strings.Contains(s.reserver.kinds(), string(scheduling.DecodeFailed)), s.reserver.kinds())
}

// An endpoint that asked for quiet in its answer to a request that was given up meanwhile got further requests.
func TestQuietAskedForAfterARequestWasGivenUpHolds(t *testing.T) {
	for name, c := range map[string]struct {
		route routing.Route
		work  *Generation
	}{"plain": {lookup, nil}, "keyed": {booking, nil}, "stream": {dossier, work}, "resumed": {check, work}} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, grant("d1", "d1"))
			ctx, leave := context.WithCancel(t.Context())
			asks := func(w http.ResponseWriter, r *http.Request) {
				leave()
				<-r.Context().Done()
				asksForQuiet(w, r)
			}
			s.endpoint("d1", map[bool]string{true: "desk", false: "pool"}[c.work == nil], configuration.RoleDecode, asks)
			s.serveTo(ctx, &recorder{}, c.route, c.work)
			for s.endpoints.QuietFor("d1") == 0 {
				assert.NilError(t, t.Context().Err())
				time.Sleep(time.Millisecond)
			}
		})
	}
}
