package engine

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// longPrompt takes an hour to prefill at one token per second.
var longPrompt = strings.Repeat("x", 3600*BytesPerToken)

// TestCancelFreesAllMemoryAtEveryStage brings an attempt to each stage and
// cancels it there.
func TestCancelFreesAllMemoryAtEveryStage(t *testing.T) {
	const id = "vm-1.1.2.1"
	for _, test := range []struct {
		name   string
		change func(prefill, decode *Options)
		reach  func(p *pair) (on *Server, reached func(Counts) bool)
	}{
		{"queue", slowPrefill, func(p *pair) (*Server, func(Counts) bool) {
			go p.postIgnoringResponse(p.prefill, "vm-1.1.1.1", prefillCall(longPrompt))
			eventually(p.t, p.prefill.Engine, "first runs", func(c Counts) bool { return c.Executions["vm-1.1.1.1"] == 1 })
			go p.postIgnoringResponse(p.prefill, id, prefillCall(longPrompt))
			return p.prefill, func(c Counts) bool { return c.Queued == 1 }
		}},
		{"prefill", slowPrefill, func(p *pair) (*Server, func(Counts) bool) {
			go p.postIgnoringResponse(p.prefill, id, prefillCall(longPrompt))
			return p.prefill, func(c Counts) bool { return c.Executions[id] == 1 }
		}},
		{"kept", unchanged, func(p *pair) (*Server, func(Counts) bool) {
			p.runPrefill(id, "prompt")
			return p.prefill, func(c Counts) bool { return c.Kept == 1 }
		}},
		{"import", unchanged, func(p *pair) (*Server, func(Counts) bool) {
			p.decode.SetFaults(Faults{StallTransfers: true})
			kv := p.runPrefill(id, "prompt").KV
			go p.postIgnoringResponse(p.decode, id, decodeCall("prompt", kv))
			return p.decode, func(c Counts) bool { return c.Importing == 1 && c.Executions[id] == 1 }
		}},
		{"decode", slowDecode, func(p *pair) (*Server, func(Counts) bool) {
			body := p.startDecode(p.t.Context(), id, "prompt")
			p.t.Cleanup(func() { _ = body.Close() })
			return p.decode, func(c Counts) bool { return c.Active == 1 }
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := startPair(t, test.change)
			on, reached := test.reach(p)
			eventually(t, on.Engine, "stage reached", reached)
			before := on.Counts().PiecesHeld
			assert.Equal(t, p.cancel(on, id), cancelResponse{ID: id, State: CancelStateCancelled})
			after := on.Counts()
			assert.Equal(t, after.Cancelled, 1)
			if test.name == "queue" {
				assert.Equal(t, after.PiecesHeld, before)
				assert.Equal(t, after.Queued, 0)
				return
			}
			assert.Assert(t, before > 0)
			assert.Equal(t, after.PiecesHeld, 0)
			eventually(t, on.Engine, "waste counted", func(c Counts) bool { return test.name == "prefill" || c.PrefillTokensWasted == 2 })
			assert.Equal(t, p.cancel(on, id).State, CancelStateCancelled)
		})
	}
}

func slowPrefill(prefill, _ *Options) {
	prefill.PrefillTokensPerSecond = 1
	prefill.QueueLimit = 5
}

func slowDecode(_, decode *Options) { decode.TokenInterval = hour }

// postIgnoringResponse posts a completion and discards the response.
func (p *pair) postIgnoringResponse(server *Server, id string, body call) {
	if response, err := p.post(p.t.Context(), server, "/v1/completions", id, body); err == nil {
		_ = response.Body.Close()
	}
}

func (p *pair) cancel(server *Server, id string) cancelResponse {
	var response cancelResponse
	p.callJSON(server, http.MethodPost, "/v1/requests/"+id+"/cancel", &response)
	return response
}

func TestAttemptCancelledBeforeItArrivesIsRefused(t *testing.T) {
	p := startPair(t, unchanged)
	assert.Equal(t, p.cancel(p.prefill, "vm-1.1.1.1").State, CancelStateUnknown)
	assert.Equal(t, p.status(p.prefill, "/v1/completions", "vm-1.1.1.1", prefillCall("prompt")), http.StatusConflict)
	assert.Equal(t, p.status(p.prefill, "/v1/completions", "vm-1.1.1.2", prefillCall("prompt")), http.StatusOK)
	assert.Equal(t, p.prefill.Counts().Executions["vm-1.1.1.1"], 0)
	assert.Equal(t, p.prefill.Counts().RefusedCancelled, 1)
}

func TestCancelOfAnIncarnationKeepsOtherAttempts(t *testing.T) {
	p := startPair(t, unchanged)
	for _, id := range []string{"vm-1.1.1.1", "vm-1.1.2.1", "vm-1.2.1.1", "vm-2.1.1.1"} {
		p.runPrefill(id, "prompt")
	}
	var response cancelIncarnationResponse
	p.callJSON(p.prefill, http.MethodPost, "/v1/incarnations/vm-1/1/cancel", &response)
	assert.Equal(t, response, cancelIncarnationResponse{Cancelled: 2})
	assert.Equal(t, p.prefill.Counts().Kept, 2)
	assert.Equal(t, p.status(p.prefill, "/v1/completions", "vm-1.1.3.1", prefillCall("prompt")), http.StatusOK)
	assert.Equal(t, p.status(p.prefill, "/v1/completions", "vm-1.1.1.1", prefillCall("prompt")), http.StatusConflict)
	assert.Equal(t, p.status(p.prefill, "/v1/completions", "vm-1.2.3.1", prefillCall("prompt")), http.StatusOK)
}

func TestFinishedAttemptIsNotCancelled(t *testing.T) {
	p := startPair(t, unchanged)
	_, done := readEvents(t, p.startDecode(t.Context(), "vm-1.1.1.1", "prompt"))
	assert.Assert(t, done)
	assert.Equal(t, p.cancel(p.decode, "vm-1.1.1.1").State, CancelStateFinished)
	assert.Equal(t, p.cancel(p.prefill, "vm-1.1.1.1").State, CancelStateFinished)
}

func TestClosedConnectionCancels(t *testing.T) {
	p := startPair(t, slowDecode)
	ctx, cancel := context.WithCancel(t.Context())
	body := p.startDecode(ctx, "vm-1.1.1.1", "prompt")
	cancel()
	_ = body.Close()
	eventually(t, p.decode.Engine, "memory free and waste counted", func(c Counts) bool {
		return c.Cancelled == 1 && c.PiecesHeld == 0 && c.PrefillTokensWasted == 2
	})
}

func TestIgnoredClosedConnectionLetsTheAttemptFinish(t *testing.T) {
	p := startPair(t, func(_, decode *Options) { decode.TokenInterval = configuration.Duration(20 * time.Millisecond) })
	p.decode.SetFaults(Faults{IgnoreClose: true, LateAnswers: hour})
	ctx, cancel := context.WithCancel(t.Context())
	body := p.startDecode(ctx, "vm-1.1.1.1", "prompt")
	cancel()
	_ = body.Close()
	length := NewAnswer("prompt", Range{Min: 20, Max: 40}, 0).Len()
	eventually(t, p.decode.Engine, "all tokens decoded and thrown away", func(c Counts) bool {
		return c.TokensDecoded == length && c.TokensThrownAway == length && c.PrefillTokensWasted == 2
	})
	assert.Equal(t, p.decode.Counts().AnswersFinished, 0)
}

func TestIgnoredClosedConnectionLetsThePrefillFinish(t *testing.T) {
	p := startPair(t, func(prefill, _ *Options) {
		prefill.PrefillTokensPerSecond = 10_000
		prefill.KVRetention = configuration.Duration(time.Millisecond)
	})
	p.prefill.SetFaults(Faults{IgnoreClose: true})
	prompt := strings.Repeat("x", 1000*BytesPerToken)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		if response, err := p.post(ctx, p.prefill, "/v1/completions", "vm-1.1.1.1", prefillCall(prompt)); err == nil {
			_ = response.Body.Close()
		}
	}()
	eventually(t, p.prefill.Engine, "prefill runs", func(c Counts) bool { return c.Executions["vm-1.1.1.1"] == 1 })
	cancel()
	eventually(t, p.prefill.Engine, "all computed, then evicted", func(c Counts) bool {
		return c.TokensPrefilled == 1000 && c.PrefillTokensWasted == 1000 && c.PiecesHeld == 0
	})
	assert.Equal(t, p.prefill.Counts().Cancelled, 0)
}

func TestCancelTakesEffectWhenItsResponseIsLost(t *testing.T) {
	p := startPair(t, unchanged)
	p.runPrefill("vm-1.1.1.1", "prompt")
	p.prefill.SetFaults(Faults{LoseCancelAnswers: true})
	response, err := p.post(t.Context(), p.prefill, "/v1/requests/vm-1.1.1.1/cancel", "", nil)
	if err == nil {
		_ = response.Body.Close()
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, p.prefill.Counts().PiecesHeld, 0)
}
