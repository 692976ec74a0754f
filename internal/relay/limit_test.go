package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// limits returns a handler that names a limit.
func limits(rate string, serve func(http.ResponseWriter, *http.Request)) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(limitHeader, rate)
		serve(w, r)
	}
}

// A request that an endpoint at its limit does not take must go to another one.
func TestRequestBeyondALimitGoesToAnotherEndpoint(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "one"))
	s.endpoint("d2", "desk", "", answers(http.StatusOK, "two"))
	s.admission.waits = map[string]time.Duration{"d1": time.Second}
	for range 10 {
		assert.Equal(t, s.serve(lookup, nil).body, "two")
	}
}

// A request that no endpoint takes must be refused at once, and its caller told when one takes
// requests again.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "one"))
	s.endpoint("d2", "desk", "", answers(http.StatusOK, "two"))
	s.admission.waits = map[string]time.Duration{"d1": 900 * time.Millisecond, "d2": 700 * time.Millisecond}
	caller := s.serve(lookup, nil)
	assert.Equal(t, caller.outcome, "refused: the endpoints are at their limits or asked for quiet")
	assert.Assert(t, caller.retryAfter >= 700*time.Millisecond && caller.retryAfter < 1400*time.Millisecond, "%v", caller.retryAfter)
	assert.Equal(t, s.callCount(), 0)
}

// A retry that finds all other endpoints at their limits must not cost the budget of others, and
// the caller must get the answer that there is.
func TestRetryBeyondAllLimitsIsReturned(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusInternalServerError, "failed"))
	s.endpoint("d2", "desk", "", answers(http.StatusOK, "two"))
	s.admission.waits = map[string]time.Duration{"d2": time.Second}
	caller := s.serve(lookup, nil)
	assert.Equal(t, caller.status, http.StatusInternalServerError)
	assert.Equal(t, s.relay.options.Budget.(*budget).left, 10)
}

// What an endpoint names must be known at this VM and passed on when it begins and ends.
func TestLimitsThatAnswersNameArePassedOn(t *testing.T) {
	s := newFixture(t)
	serve := limits("4.5", answers(http.StatusOK, "one"))
	s.endpoint("d1", "desk", "", func(w http.ResponseWriter, r *http.Request) { serve(w, r) })
	s.serve(lookup, nil)
	s.serve(lookup, nil)
	limit, _ := s.endpoints.Limit("d1")
	assert.Equal(t, limit, endpoint.Limit{Named: true, PerSecond: 4.5})
	assert.DeepEqual(t, s.admission.reported, []string{"d1"})
	serve = answers(http.StatusOK, "one")
	s.serve(lookup, nil)
	limit, _ = s.endpoints.Limit("d1")
	assert.Equal(t, limit, endpoint.Limit{})
	assert.DeepEqual(t, s.admission.reported, []string{"d1", "d1"})
}

// The owner of a grant must learn what its engines say of their limits, also that a limit which
// it knows has ended.
func TestLimitsOfEnginesAreReportedToTheOwner(t *testing.T) {
	limited := func(d scheduling.Demand) (scheduling.Grant, error) {
		return scheduling.Grant{ID: d.ID, Prefill: "p1", Decode: "e1", Limited: true}, nil
	}
	s := newFixture(t, grant("p1", "e1"), limited)
	s.engines(limits("2.5", answers(http.StatusOK, "h1")), events(2))
	reports := func() (all []scheduling.Progress) {
		s.serve(dossier, work)
		for _, p := range s.reserver.progress {
			if p.Kind == scheduling.EngineLimit {
				p.ID, p.Elapsed = engine.AttemptID{}, 0
				all = append(all, p)
			}
		}
		s.reserver.progress = nil
		return all
	}
	p1 := scheduling.Progress{Kind: scheduling.EngineLimit, Prefill: "p1", Limited: true, Limit: 2.5}
	e1 := scheduling.Progress{Kind: scheduling.EngineLimit, Prefill: "e1"}
	assert.DeepEqual(t, reports(), []scheduling.Progress{p1})
	assert.DeepEqual(t, reports(), []scheduling.Progress{p1, e1})
}

// The owner of a grant must receive the slowdowns that its engines state.
func TestSlowdownsOfEnginesAreReportedToTheOwner(t *testing.T) {
	states := func(slowdown string, serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(slowHeader, slowdown)
			serve(w, r)
		}
	}
	s := newFixture(t, grant("p1", "e1"))
	s.engines(states("2.5", answers(http.StatusOK, "h1")), states("1.5", events(2)))
	s.serve(dossier, work)
	stated := map[scheduling.ProgressKind]float64{}
	for _, p := range s.reserver.progress {
		if p.Slowdown != 0 {
			stated[p.Kind] = p.Slowdown
		}
	}
	assert.DeepEqual(t, stated, map[scheduling.ProgressKind]float64{scheduling.PrefillDone: 2.5, scheduling.FirstTokenSeen: 1.5})
}

// A grant stands for one call to each engine: one that is limited must not get a second call.
func TestLimitedEngineGetsOneCallOfAGrant(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), limits("3", declines))
	assert.Equal(t, s.serve(check, work).body, eventText(3))
	assert.Equal(t, strings.Count(s.callLog(), "e1:"), 1, s.callLog())
	assert.DeepEqual(t, s.reserver.demands[1].Exclude, []string{"e1"})
}
