package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

var (
	dossier = routing.Route{
		Name: "dossier", Kind: routing.Streaming, MaxAttempts: 1, Timeout: time.Minute, Objective: 10 * time.Second,
	}
	check = routing.Route{
		Name: "check", Kind: routing.Streaming, Resumable: true, MaxAttempts: 2, Timeout: time.Minute, Objective: 10 * time.Second,
	}
	work = &Generation{PromptTokens: 100, MaxOutputTokens: 50, ExpectedOutputTokens: 20}
)

// engines adds two engines of each role.
func (s *fixture) engines(prefill, decode func(http.ResponseWriter, *http.Request)) {
	s.endpoint("p1", "pool", configuration.RolePrefill, prefill)
	s.endpoint("p2", "pool", configuration.RolePrefill, answers(http.StatusOK, "h2"))
	s.endpoint("e1", "pool", configuration.RoleDecode, decode)
	s.endpoint("e2", "pool", configuration.RoleDecode, events(3))
}

func TestPrefillAndDecodeRunOnSeparateEngines(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(3))
	assert.Equal(t, s.callLog(), "p1:1 e1:2/h1")
	assert.Equal(t, s.reserver.kinds(), "prefill-done first-token released")
}

func TestEngineGrantedForBothStagesProcessesThePromptItself(t *testing.T) {
	s := newFixture(t, grant("e1", "e1"))
	s.engines(reset, events(2))
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.body, eventText(2))
	assert.Equal(t, s.callLog(), "e1:0")
}

func TestFailedPrefillMovesToOtherEngines(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e1"))
	s.engines(answers(http.StatusServiceUnavailable, ""), events(2))
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.body, eventText(2))
	assert.DeepEqual(t, s.reserver.demands[1].Exclude, []string{"p1"})
	assert.Assert(t, strings.HasPrefix(s.reserver.kinds(), "prefill-failed released"), s.reserver.kinds())
}

func TestDecodeEngineProcessesThePromptIfTheCacheIsGone(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(sourceHeader) != "" {
			declines(w, r)
			return
		}
		events(2)(w, r)
	})
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.body, eventText(2))
	assert.Equal(t, s.callLog(), "p1:1 e1:2/h1 p1: e1:0")
}

func TestEngineThatDeclinesEveryStageIsReported(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), declines)
	caller := s.serve(dossier, work)
	assert.Assert(t, strings.HasPrefix(caller.outcome, "refused"), caller.outcome)
	assert.Equal(t, s.reserver.kinds(), "prefill-done prefill-failed decode-failed released")
}

func TestReplacedEngineIsReportedAsLeaving(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}, events(2))
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.body, eventText(3))
	assert.Assert(t, strings.HasPrefix(s.reserver.kinds(), "engine-leaving released"), s.reserver.kinds())
	assert.Assert(t, s.endpoints.Leaving("p1"))
}

func TestEngineThatAnnouncesItsEndDuringThePrefillGetsNoRequest(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(func(w http.ResponseWriter, r *http.Request) {
		s.drain("e1")
		answers(http.StatusOK, "h1")(w, r)
	}, events(2))
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.body, eventText(3))
	assert.Assert(t, !strings.Contains(s.callLog(), "e1:"), s.callLog())
}

func TestEngineNotHeardOfYetIsNotReportedAsLeaving(t *testing.T) {
	s := newFixture(t, grant("new", "e1"), grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), events(2))
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.body, eventText(3))
	assert.Assert(t, !strings.Contains(s.reserver.kinds(), string(scheduling.EngineLeaving)), s.reserver.kinds())
}

func TestGrantOfALeavingEngineIsNotUsed(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), events(2))
	s.drain("p1")
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.body, eventText(3))
	assert.Equal(t, s.callLog(), "p2:1 e2:2/h2")
	assert.DeepEqual(t, s.reserver.demands[1].Exclude, []string{"p1"})
}

// cutAfter returns a handler that streams events up to the last one and a part of
// another, and then aborts the connection.
func cutAfter(last int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		events(last)(w, r)
		_, _ = w.Write([]byte("id: 9\nda"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestCutStreamGoesOnWithoutLossOrRepeat(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), cutAfter(2))
	caller := s.serve(check, work)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(3))
	assert.Assert(t, strings.HasSuffix(s.callLog(), "p2:1/2 e2:2/h2/2"), s.callLog())
	resumed := s.reserver.demands[1]
	assert.Assert(t, resumed.Resumed)
	assert.Equal(t, resumed.PromptTokens, work.PromptTokens+2)
	assert.Equal(t, resumed.Targets.FirstToken, configuration.Duration(0))
}

func TestCutStreamThatMayNotRunAgainIsAborted(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), cutAfter(2))
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.outcome, "aborted")
	assert.Equal(t, caller.body, eventText(2))
	assert.Equal(t, len(s.reserver.demands), 1)
}

func TestLostDecodeIsNeitherRepeatedNorRefused(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), reset)
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.outcome, "failed: no endpoint answered")
	assert.Equal(t, len(s.reserver.demands), 1)
}

func TestSilentDecodeIsNotCalledNotRun(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	short := dossier
	short.Timeout = 200 * time.Millisecond
	caller := s.serve(short, work)
	assert.Equal(t, caller.outcome, "failed: no endpoint answered")
}

func TestRequestThatMissesItsObjectiveIsQueuedAsLate(t *testing.T) {
	s := newFixture(t, refuseTarget, refuseTarget, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(2))
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.body, eventText(2))
	initial, relaxed, late := s.reserver.demands[0], s.reserver.demands[1], s.reserver.demands[2]
	assert.Assert(t, initial.Targets.FirstToken < relaxed.Targets.FirstToken)
	assert.Assert(t, relaxed.Targets.FirstToken < configuration.Duration(dossier.Objective))
	assert.Equal(t, relaxed.Priority, 0)
	assert.Assert(t, late.Priority <= scheduling.BackgroundPriority)
	assert.Assert(t, late.Targets.FirstToken > relaxed.Targets.FirstToken)
}

func TestTargetRefusalsDoNotSpendRetryBudget(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), refuseTarget, refuseTarget, grant("p2", "e2"))
	s.relay.options.Budget = &budget{left: 1}
	s.engines(answers(http.StatusOK, "h1"), reset)
	caller := s.serve(check, work)
	assert.Equal(t, caller.body, eventText(3))
}

func TestUnreachableTargetIsRefusedWithRetryAfter(t *testing.T) {
	s := newFixture(t, refuseTarget)
	caller := s.serve(dossier, work)
	assert.Equal(t, caller.outcome, "refused: target-unreachable")
	assert.Assert(t, caller.retryAfter >= minBusyRetryAfter)
	assert.Equal(t, len(s.reserver.demands), 3)
}

func TestPreviouslyRefusedCallerHasPriorityAmongLateRequests(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(1))
	s.serve(dossier, work)
	request := &Request{
		ID: "r2", Method: http.MethodPost, Target: "/x/1", Header: http.Header{}, Arrived: time.Now(),
		Timeout: time.Minute - 12*time.Second, EventTimeout: time.Minute, Generation: work,
	}
	s.relay.Serve(t.Context(), request, &dossier, s.fleet.Table().Service("pool"), &recorder{})
	assert.Equal(t, s.reserver.demands[0].Priority, 0)
	assert.Equal(t, s.reserver.demands[1].Priority, scheduling.BackgroundPriority)
}

func TestEngineRequestIsCancelledWhenTheCallerDisconnects(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	cancelled := make(chan struct{})
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
		events(1)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	caller := &recorder{disconnected: true}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.serveTo(ctx, caller, dossier, work)
	<-cancelled
	assert.Equal(t, caller.outcome, "aborted")
}
