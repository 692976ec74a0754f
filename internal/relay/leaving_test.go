package relay

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// leaves returns a handler that announces that its endpoint leaves.
func leaves(serve func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(leavingHeader, "1")
		serve(w, r)
	}
}

// An engine that announces in the answer to a prefill that it leaves must be known as leaving
// to this VM and to the owner of the grant.
func TestEngineThatAnnouncesItsEndIsReportedAsLeaving(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p1", "e1"), grant("p2", "e2"))
	s.engines(leaves(answers(http.StatusOK, "h1")), events(3))
	assert.Equal(t, s.serve(dossier, work).body, eventText(3))
	assert.Assert(t, s.endpoints.Leaving("p1"))
	assert.Assert(t, strings.HasPrefix(s.reserver.kinds(), "engine-leaving"), s.reserver.kinds())
	assert.Equal(t, s.serve(dossier, work).body, eventText(3))
	assert.Equal(t, s.callLog(), "p1:1 e1:2/h1 p2:1 e2:2/h2", "the second grant of p1 is not used")
}

// A decode engine that has announced its end while the prompt was processed must not get the
// request, nor one that declines with that announcement a second call.
func TestEngineThatAnnouncedItsEndGetsNoDecode(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(func(w http.ResponseWriter, r *http.Request) {
		s.endpoints.MarkLeaving("e1")
		answers(http.StatusOK, "h1")(w, r)
	}, events(2))
	assert.Equal(t, s.serve(dossier, work).body, eventText(3))
	assert.Assert(t, !strings.Contains(s.callLog(), "e1:"), s.callLog())

	s = newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), leaves(declines))
	assert.Equal(t, s.serve(check, work).body, eventText(3))
	assert.Equal(t, strings.Count(s.callLog(), "e1:"), 1, s.callLog())
	assert.DeepEqual(t, s.reserver.demands[1].Exclude, []string{"e1"})
}

// The answer to a call that frees a KV cache announces the end of an engine as any other.
func TestEngineThatAnnouncesItsEndWhenACacheIsFreedIsLeaving(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			leaves(answers(http.StatusOK, ""))(w, r)
			return
		}
		answers(http.StatusOK, "h1")(w, r)
	}, declines)
	s.serve(dossier, work)
	assert.Assert(t, s.endpoints.Leaving("p1"), s.callLog())
}

// A plain endpoint that announces its end with any answer gets no further request.
func TestPlainEndpointThatAnnouncesItsEndGetsNoFurtherRequest(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		s := newFixture(t)
		s.endpoint("d1", "desk", configuration.Role(""), leaves(answers(status, "one")))
		route := routing.Route{Name: "lookup", Kind: routing.Repeatable, MaxAttempts: 1, Timeout: dossier.Timeout}
		s.serve(route, nil)
		caller := s.serve(route, nil)
		assert.Assert(t, strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
		assert.Equal(t, s.callCount(), 1)
	}
}

// A stream whose engine fell silent must not move to engines that have announced their end
// since they were granted.
func TestSilentStreamDoesNotMoveToAnEngineThatAnnouncedItsEnd(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(2))
	g := &generation{exchange: &exchange{route: &check, service: s.fleet.Table().Service("pool")}}
	granted := scheduling.Grant{Prefill: "p2", Decode: "e2"}
	assert.Assert(t, s.relay.usable(s.fleet.View(), g, granted))
	s.endpoints.MarkLeaving("e2")
	assert.Assert(t, !s.relay.usable(s.fleet.View(), g, granted))
}
