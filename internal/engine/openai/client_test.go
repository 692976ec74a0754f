package openai

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var attempt = engine.AttemptID{VM: "vm-1", Incarnation: 7, Request: 3, Attempt: 1}

const wholeStream = ": imported\n\n" +
	`data: {"id":"vm-1.7.3.1","token_index":0,"choices":[{"index":0,"text":"a \"b\" ","finish_reason":null}]}` + "\n\n" +
	`data: {"id":"vm-1.7.3.1","token_index":1,"choices":[{"index":0,"delta":{"content":"c"},"finish_reason":"stop"}]}` + "\n\n" +
	"data: [DONE]\n\n"

// readAll returns the text of a stream and the error that ended it.
func readAll(text string) (string, error) {
	s := newStream(strings.NewReader(text), attempt, func(bool) {})
	if err := s.awaitImport(); err != nil {
		return "", err
	}
	var all strings.Builder
	for {
		token, err := s.Next()
		if err != nil {
			return all.String(), err
		}
		all.Write(token.Text)
	}
}

func TestWholeStream(t *testing.T) {
	text, err := readAll(wholeStream)
	assert.Assert(t, errors.Is(err, io.EOF))
	assert.Equal(t, text, `a "b" c`)
}

func TestStreamCutAnywhereIsNotWhole(t *testing.T) {
	end := strings.LastIndex(wholeStream, "]") + 1
	for cut := range end {
		_, err := readAll(wholeStream[:cut])
		assert.Assert(t, !errors.Is(err, io.EOF), "cut at %d passed as whole", cut)
	}
}

func TestStreamWithForeignEventInPlaceOfItsOwnIsNotWhole(t *testing.T) {
	text, err := readAll(strings.Replace(wholeStream, "7.3.1\",\"token_index\":1", "6.3.1\",\"token_index\":1", 1))
	assert.Assert(t, errorx.IsOfType(err, engine.CutShort), "%v", err)
	assert.Equal(t, text, `a "b" `)
}

func TestEventOfAnotherAttemptIsDroppedAndCounted(t *testing.T) {
	foreign := `data: {"id":"vm-1.7.2.1","token_index":0,"choices":[{"index":0,"text":"x","finish_reason":"stop"}]}` + "\n\n"
	s := newStream(strings.NewReader(strings.Replace(wholeStream, "data:", foreign+foreign+"data:", 1)), attempt, func(bool) {})
	assert.NilError(t, s.awaitImport())
	token, err := s.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(token.Text), `a "b" `)
	assert.Equal(t, token.Foreign, 2)
	token, err = s.Next()
	assert.NilError(t, err)
	assert.Equal(t, token.Foreign, 0)
}

func TestStatusSaysWhetherAnythingRan(t *testing.T) {
	for _, test := range []struct {
		status  int
		leaving bool
		kind    *errorx.Type
		notRun  bool
	}{
		{http.StatusBadRequest, false, engine.BadRequest, true},
		{http.StatusGone, false, engine.Evicted, true},
		{http.StatusTooManyRequests, false, engine.Busy, true},
		{http.StatusConflict, false, engine.Cancelled, false},
		{http.StatusServiceUnavailable, true, engine.Leaving, true},
		{http.StatusServiceUnavailable, false, engine.Unavailable, false},
		{http.StatusInternalServerError, false, engine.Unavailable, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
			if test.leaving {
				w.Header().Set(leavingHeader, "true")
			}
			w.WriteHeader(test.status)
		}))
		client := newClient(t, server.Listener.Addr().String())
		_, err := client.Prefill(context.Background(), engine.Call{Attempt: attempt, Prompt: &engine.Prompt{Text: "x"}})
		assert.Assert(t, errorx.IsOfType(err, test.kind), "%d: %v", test.status, err)
		assert.Equal(t, errorx.HasTrait(err, engine.NotRun), test.notRun, "%d", test.status)
		server.Close()
	}
}

func TestUnreachableEngineDidNotRun(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	client := newClient(t, listener.Addr().String())
	_, err = client.Prefill(context.Background(), engine.Call{Attempt: attempt, Prompt: &engine.Prompt{Text: "x"}})
	assert.Assert(t, errorx.HasTrait(err, engine.NotRun), "%v", err)
}

func TestPrefillOfAnotherAttemptIsCrossed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"id":"vm-2.7.3.1","kv_transfer_params":{}}`))
	}))
	defer server.Close()
	client := newClient(t, server.Listener.Addr().String())
	_, err := client.Prefill(context.Background(), engine.Call{Attempt: attempt, Prompt: &engine.Prompt{Text: "x"}})
	assert.Assert(t, errorx.IsOfType(err, engine.Crossed), "%v", err)
}

func FuzzStream(f *testing.F) {
	f.Add(wholeStream)
	f.Add("data: {}\n\n")
	f.Add(": imported\r\n\r\ndata: {\"id\":\"vm-1.7.3.1\",\"choices\":[{\"finish_reason\":\"\"}]}\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := readAll(text)
		if errors.Is(err, io.EOF) && !strings.Contains(text, "[DONE]") {
			t.Fatal("a stream without its terminal event passed as whole")
		}
	})
}

func TestEventKeepsNoFieldOfThePreviousEvent(t *testing.T) {
	s := newStream(strings.NewReader(
		`data: {"id":"vm-1.7.3.1","token_index":4,"choices":[{"text":"a","delta":{"content":"b"},"finish_reason":"stop"}]}`+"\n\n"+
			`data: {"id":"vm-1.7.3.1","token_index":0,"choices":[{}]}`+"\n\n"+
			`data: {"id":"vm-1.7.3.1","token_index":4,"choices":[{}]}`+"\n\n"+
			`data: {"id":"vm-1.7.3.1","choices":[{}]}`+"\n\n"+
			`data: {"choices":[{"text":"c"}]}`+"\n\n"), attempt, func(bool) {})
	token, err := s.Next()
	assert.NilError(t, err)
	assert.Equal(t, token.Index, 4)
	assert.Equal(t, string(token.Text), "ab")
	assert.Equal(t, token.FinishReason, "stop")
	token, err = s.Next()
	assert.NilError(t, err)
	assert.Equal(t, token.Index, 0)
	assert.Equal(t, string(token.Text), "")
	assert.Equal(t, token.FinishReason, "")
	_, err = s.Next()
	assert.NilError(t, err)
	_, err = s.Next()
	assert.Assert(t, errorx.IsOfType(err, engine.Unavailable), "an event without an index was taken: %v", err)
	token, err = s.Next()
	assert.Assert(t, errorx.IsOfType(err, engine.CutShort), "%v", err)
	assert.Equal(t, token.Foreign, 1, "an event without an id was taken")
	assert.Equal(t, string(token.Text), "")
}

func BenchmarkStreamToken(b *testing.B) {
	line := `data: {"id":"vm-1.7.3.1","token_index":0,"choices":[{"index":0,"text":"word ","finish_reason":null}]}` + "\n\n"
	s := newStream(&repeatingReader{line: line}, attempt, func(bool) {})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingReader repeats a line forever.
type repeatingReader struct {
	line string
	rest string
}

func (e *repeatingReader) Read(p []byte) (int, error) {
	if e.rest == "" {
		e.rest = e.line
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}
