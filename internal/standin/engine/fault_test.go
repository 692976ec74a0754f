package engine

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

func TestCrashMidStreamAbortsItAndClearsTheEngine(t *testing.T) {
	p := startPair(t, unchanged)
	p.decode.SetFaults(Faults{CrashAfterTokens: 5})
	events, done := readEvents(t, p.startDecode(t.Context(), "vm-1.1.1.1", "prompt"))
	assert.Assert(t, !done)
	assert.Assert(t, len(events) < 5)
	counts := p.decode.Counts()
	assert.Equal(t, counts.Crashes, 1)
	assert.Equal(t, counts.PiecesHeld, 0)
	assert.Equal(t, counts.Active, 0)
	// The engine is available again and the fault is reset.
	_, done = readEvents(t, p.startDecode(t.Context(), "vm-1.1.1.2", "prompt"))
	assert.Assert(t, done)
}

func TestDownEngineAbortsConnections(t *testing.T) {
	p := startPair(t, unchanged)
	p.decode.SetFaults(Faults{Down: true})
	response, err := p.post(t.Context(), p.decode, "/v1/completions", "vm-1.1.1.1", decodeCall("prompt", kvParams{}))
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, p.decode.Counts().Received["vm-1.1.1.1"], 0)
}

func TestCrossedEventsCarryAnotherAttempt(t *testing.T) {
	for _, replace := range []bool{false, true} {
		p := startPair(t, unchanged)
		p.decode.SetFaults(Faults{CrossAnswers: 0.5, ReplaceCrossed: replace})
		events, done := readEvents(t, p.startDecode(t.Context(), "vm-1.1.1.1", "prompt"))
		assert.Assert(t, done)
		var own, others []event
		for _, e := range events {
			if e.ID == "vm-1.1.1.1" {
				own = append(own, e)
			} else {
				others = append(others, e)
			}
		}
		answer := NewAnswer("prompt", Range{Min: 20, Max: 40}, 0)
		assert.Assert(t, len(others) > 0)
		assert.Assert(t, !strings.Contains(answer.Text(), others[0].Choices[0].Text))
		assert.Equal(t, text(own) == answer.Text(), !replace)
	}
}

func TestCrossedPrefillResponseCarriesAnotherAttempt(t *testing.T) {
	p := startPair(t, unchanged)
	p.prefill.SetFaults(Faults{CrossAnswers: 1})
	assert.Equal(t, p.runPrefill("vm-1.1.1.1", "prompt").ID, unknownAttempt)
}

func TestLeavingEngineFinishesRunningAttemptsAndRefusesNewOnes(t *testing.T) {
	p := startPair(t, unchanged)
	body := p.startDecode(t.Context(), "vm-1.1.1.1", "prompt")
	p.decode.SetFaults(Faults{Leaving: true})
	response, err := p.post(t.Context(), p.decode, "/v1/completions", "vm-1.1.2.1", decodeCall("prompt", kvParams{
		DoRemotePrefill: true, RemoteBlockIDs: []uint64{1},
	}))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Ospreyshed-Leaving"), "true")
	_, done := readEvents(t, body)
	assert.Assert(t, done)
	assert.Equal(t, p.decode.Counts().AfterLeaving, 1)
	assert.Assert(t, p.decode.Load().Leaving)
}

func TestDelayedResponseArrivesAfterKVEviction(t *testing.T) {
	p := startPair(t, func(prefill, _ *Options) { prefill.KVRetention = configuration.Duration(time.Millisecond) })
	p.prefill.SetFaults(Faults{LateAnswers: configuration.Duration(20 * time.Millisecond)})
	kv := p.runPrefill("vm-1.1.1.1", "prompt").KV
	eventually(t, p.prefill.Engine, "evicted", func(c Counts) bool { return c.Kept == 0 })
	assert.Equal(t, p.status(p.decode, "/v1/completions", "vm-1.1.1.1", decodeCall("prompt", kv)), http.StatusGone)
}

func TestBadCallsAreRefused(t *testing.T) {
	p := startPair(t, unchanged)
	otherModel := prefillCall("prompt")
	otherModel["model"] = "unknown"
	noPrompt := prefillCall("prompt")
	delete(noPrompt, "prompt")
	resumed := decodeCall("prompt", kvParams{DoRemotePrefill: true, RemoteBlockIDs: []uint64{1}})
	resumed["resume_from"] = 100
	for _, test := range []struct {
		name   string
		server *Server
		id     string
		body   any
		status int
	}{
		{"no attempt id", p.prefill, "x", prefillCall("prompt"), http.StatusBadRequest},
		{"body is not an object", p.prefill, "vm-1.1.1.1", "text", http.StatusBadRequest},
		{"no prompt", p.prefill, "vm-1.1.1.1", noPrompt, http.StatusBadRequest},
		{"no KV parameters", p.prefill, "vm-1.1.1.1", call{"model": "drafter", "prompt": ""}, http.StatusBadRequest},
		{"unknown model", p.prefill, "vm-1.1.1.1", otherModel, http.StatusNotFound},
		{"other role", p.decode, "vm-1.1.1.1", prefillCall("prompt"), http.StatusTooManyRequests},
		{"resumed after the last token", p.decode, "vm-1.1.1.1", resumed, http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, p.status(test.server, "/v1/completions", test.id, test.body), test.status)
			assert.Equal(t, len(test.server.Counts().Executions), 0)
		})
	}
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(configuration.RoleDecode).withDefaults()
		o.LoadLag = configuration.Duration(time.Second)
		e := New(o)
		defer e.Close()
		time.Sleep(time.Minute)
		assert.NilError(t, e.admit(testAttempt(1, 0, o), o.Model, o.Role))
		time.Sleep(time.Second - time.Nanosecond)
		assert.Equal(t, e.Load().Active, 0)
		assert.Equal(t, e.Load().TimeMS, time.Now().Add(-time.Second).UnixMilli())
		time.Sleep(time.Nanosecond)
		assert.Equal(t, e.Load().Active, 1)
		assert.Equal(t, e.Load().PiecesFree, o.MemoryPieces-1)
	})
}
