package engine

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

func TestResumedStreamContinuesTheAnswer(t *testing.T) {
	const resumeFrom = 7
	p := startPair(t, unchanged)
	answer := NewAnswer("prompt", Range{Min: 20, Max: 40}, 0)
	delivered := ""
	for i := range resumeFrom {
		delivered += answer.Token(i)
	}
	resumed := func(body call) call {
		body["resume_from"] = resumeFrom
		body["resume_text"] = delivered
		return body
	}
	var prefilled prefillResponse
	p.postJSON(p.prefill, "/v1/completions", "vm-1.1.1.2", resumed(prefillCall("prompt")), &prefilled)
	assert.Equal(t, prefilled.Usage.PromptTokens, Tokens("prompt"+delivered))
	body := p.open(t.Context(), "/v1/completions", "vm-1.1.1.2", resumed(decodeCall("prompt", prefilled.KV)))
	events, done := readEvents(t, body)
	assert.Assert(t, done)
	assert.Equal(t, events[0].TokenIndex, resumeFrom)
	assert.Equal(t, delivered+text(events), answer.Text())
}

func TestChatStreamCarriesDeltas(t *testing.T) {
	p := startPair(t, unchanged)
	messages := []any{
		map[string]any{"role": "system", "content": "Be brief."},
		map[string]any{"role": "user", "content": []any{map[string]any{"type": "text", "text": "Why?"}}},
	}
	chat := func(body call) call {
		delete(body, "prompt")
		body["messages"] = messages
		return body
	}
	var prefilled prefillResponse
	p.postJSON(p.prefill, "/v1/chat/completions", "vm-1.1.1.1", chat(prefillCall("")), &prefilled)
	body := p.open(t.Context(), "/v1/chat/completions", "vm-1.1.1.1", chat(decodeCall("", prefilled.KV)))
	events, done := readEvents(t, body)
	assert.Assert(t, done)
	assert.Equal(t, events[0].Choices[0].Text, "")
	assert.Equal(t, text(events), NewAnswer("system\nBe brief.\nuser\nWhy?\n", Range{Min: 20, Max: 40}, 0).Text())
}

func TestMaxTokensLimitsTheAnswer(t *testing.T) {
	answer := NewAnswer("prompt", Range{Min: 20, Max: 40}, 5)
	assert.Equal(t, answer.Len(), 5)
	assert.Equal(t, answer.FinishReason(), "length")
	assert.Assert(t, strings.HasPrefix(NewAnswer("prompt", Range{Min: 20, Max: 40}, 0).Text(), answer.Text()))
	assert.Assert(t, answer.Text() != NewAnswer("prompt ", Range{Min: 20, Max: 40}, 5).Text())
}

func TestDecodeWithoutKVCacheIsRefused(t *testing.T) {
	p := startPair(t, unchanged)
	kv := p.runPrefill("vm-1.1.1.1", "prompt").KV
	assert.Equal(t, p.status(p.decode, "/v1/completions", "vm-1.1.2.1", decodeCall("another", kv)), http.StatusGone)
	_, done := readEvents(t, p.open(t.Context(), "/v1/completions", "vm-1.1.1.1", decodeCall("prompt", kv)))
	assert.Assert(t, done)
	assert.Equal(t, p.status(p.decode, "/v1/completions", "vm-1.1.1.2", decodeCall("prompt", kv)), http.StatusGone)
	counts := p.decode.Counts()
	assert.Equal(t, counts.RefusedEvicted, 2)
	assert.Equal(t, counts.PiecesHeld, 0)
	assert.Equal(t, counts.Executions["vm-1.1.1.2"], 0)
}

func TestKVCacheIsEvictedAfterItsRetention(t *testing.T) {
	p := startPair(t, func(prefill, _ *Options) { prefill.KVRetention = configuration.Duration(time.Millisecond) })
	kv := p.runPrefill("vm-1.1.1.1", "prompt").KV
	eventually(t, p.prefill.Engine, "evicted", func(c Counts) bool { return c.PrefillTokensWasted == 2 && c.PiecesHeld == 0 })
	assert.Equal(t, p.status(p.decode, "/v1/completions", "vm-1.1.1.1", decodeCall("prompt", kv)), http.StatusGone)
}

func TestFullEngineRefuses(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(decode *Options)
		status int
	}{
		{"no slot", func(o *Options) { o.Slots = 1 }, http.StatusTooManyRequests},
		{"no memory", func(o *Options) { o.MemoryPieces = 10 }, http.StatusTooManyRequests},
		{"never enough memory", func(o *Options) { o.MemoryPieces = 6 }, http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := startPair(t, func(prefill, decode *Options) {
				slowDecode(prefill, decode)
				test.change(decode)
			})
			// Each attempt takes 7 pieces of 16 tokens.
			if test.status == http.StatusTooManyRequests {
				body := p.startDecode(t.Context(), "vm-1.1.1.1", "prompt")
				t.Cleanup(func() { _ = body.Close() })
			}
			kv := p.runPrefill("vm-1.1.2.1", "prompt").KV
			assert.Equal(t, p.status(p.decode, "/v1/completions", "vm-1.1.2.1", decodeCall("prompt", kv)), test.status)
			assert.Equal(t, p.decode.Counts().Executions["vm-1.1.2.1"], 0)
			assert.Equal(t, p.prefill.Counts().Kept, 1)
		})
	}
}

// testAttempt returns an attempt for an engine that is used without HTTP.
func testAttempt(request uint64, priority int, o Options) *attempt {
	a := newAttempt(engine.AttemptID{VM: "vm-1", Incarnation: 1, Request: request, Attempt: 1}, priority)
	a.promptTokens = 1000
	a.pieces = 1
	a.answer = NewAnswer(a.id, o.OutputTokens, 0)
	return a
}

func TestTokenIntervalGrowsWithActiveRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(configuration.RoleDecode).withDefaults()
		o.TokenInterval = configuration.Duration(10 * time.Millisecond)
		o.TokenIntervalPerRequest = configuration.Duration(3 * time.Millisecond)
		o.OutputTokens = Range{Min: 10, Max: 10}
		e := New(o)
		defer e.Close()
		started := time.Now()
		var attempts []*attempt
		for request := range uint64(2) {
			a := testAttempt(request+1, 0, o)
			assert.NilError(t, e.admit(a, o.Model, o.Role))
			assert.Assert(t, e.join(a))
			// The first step is timed with one active request.
			synctest.Wait()
			attempts = append(attempts, a)
		}
		<-attempts[0].ended
		<-attempts[1].ended
		assert.Equal(t, time.Since(started), (10+9*(10+3))*time.Millisecond)
		assert.Equal(t, e.Counts().TokensDecoded, 20)
	})
}

func TestSlowFaultLengthensPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(configuration.RolePrefill).withDefaults()
		o.PrefillTokensPerSecond = 1000
		e := New(o)
		defer e.Close()
		e.SetFaults(Faults{Slow: 3})
		a := testAttempt(1, 0, o)
		assert.NilError(t, e.admit(a, o.Model, o.Role))
		started := time.Now()
		_, ok := e.prefill(t.Context(), a)
		assert.Assert(t, ok)
		assert.Equal(t, time.Since(started), 3*time.Second)
	})
}

func TestPrefillsRunSequentiallyByPriorityThenArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(configuration.RolePrefill).withDefaults()
		o.PrefillTokensPerSecond = 1000
		o.QueueLimit = 10
		e := New(o)
		defer e.Close()
		started := time.Now()
		finished := make(chan uint64, 4)
		for i, priority := range []int{0, 1, 5, 1} {
			a := testAttempt(uint64(i), priority, o)
			assert.NilError(t, e.admit(a, o.Model, o.Role))
			go func() {
				if _, ok := e.prefill(context.Background(), a); ok {
					finished <- uint64(i)
				}
			}()
		}
		var order []uint64
		for range 4 {
			order = append(order, <-finished)
		}
		assert.DeepEqual(t, order, []uint64{0, 2, 1, 3})
		assert.Equal(t, time.Since(started), 4*time.Second)
	})
}

func TestTransfersShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &link{rate: 1000}
		defer l.close()
		started := time.Now()
		long := l.start(3000)
		short := l.start(1000)
		<-short.done
		assert.Equal(t, time.Since(started).Round(time.Millisecond), 2*time.Second)
		l.stall(true)
		time.Sleep(time.Minute)
		l.stall(false)
		<-long.done
		assert.Equal(t, time.Since(started).Round(time.Millisecond), time.Minute+4*time.Second)
	})
}

func TestImportBetweenZonesUsesTheSharedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(configuration.RoleDecode).withDefaults()
		o.LinkBytesPerSecond = 10_000
		e := New(o)
		defer e.Close()
		shared := NewLink(1000, time.Second)
		defer shared.Close()
		a := testAttempt(1, 0, o)
		started := time.Now()
		assert.Assert(t, e.transferKV(t.Context(), a, 2000, shared))
		assert.Equal(t, time.Since(started).Round(time.Millisecond), 3*time.Second)
		assert.Assert(t, e.transferKV(t.Context(), a, 20_000, nil))
		assert.Equal(t, time.Since(started).Round(time.Millisecond), 5*time.Second)
	})
}
