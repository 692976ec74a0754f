package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const hour = configuration.Duration(time.Hour)

// testOptions returns the options of a fast engine with a long KV retention.
func testOptions(role configuration.Role) Options {
	return Options{
		Name:                   string(role) + "-1",
		Role:                   role,
		Slots:                  2,
		MemoryPieces:           1000,
		PrefillTokensPerSecond: 1e6,
		TokenInterval:          configuration.Duration(time.Millisecond),
		KVBytesPerToken:        1000,
		KVRetention:            hour,
		OutputTokens:           Range{Min: 20, Max: 40},
		Seed:                   1,
	}
}

// pair is a prefill engine and a decode engine on loopback ports.
type pair struct {
	t               *testing.T
	client          *http.Client
	prefill, decode *Server
}

func startPair(t *testing.T, change func(prefill, decode *Options)) *pair {
	prefillOptions := testOptions(configuration.RolePrefill)
	decodeOptions := testOptions(configuration.RoleDecode)
	change(&prefillOptions, &decodeOptions)
	p := &pair{t: t, client: &http.Client{Transport: &http.Transport{}}}
	p.prefill = startEngine(t, prefillOptions)
	p.decode = startEngine(t, decodeOptions)
	t.Cleanup(p.client.CloseIdleConnections)
	return p
}

func startEngine(t *testing.T, options Options) *Server {
	server, err := Start("127.0.0.1:0", options)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return server
}

func unchanged(_, _ *Options) {}

// call is the body of a completion request.
type call map[string]any

func (p *pair) post(ctx context.Context, server *Server, path, id string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	assert.NilError(p.t, err)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Addr()+path, bytes.NewReader(encoded))
	assert.NilError(p.t, err)
	request.Header.Set(requestIDHeader, id)
	return p.client.Do(request)
}

// postJSON posts a body and decodes the response, whose status must be 200.
func (p *pair) postJSON(server *Server, path, id string, body, target any) {
	response, err := p.post(p.t.Context(), server, path, id, body)
	assert.NilError(p.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(p.t, response.StatusCode, http.StatusOK)
	assert.NilError(p.t, json.NewDecoder(response.Body).Decode(target))
}

// runPrefill prefills a prompt and returns the response.
func (p *pair) runPrefill(id, prompt string) prefillResponse {
	var response prefillResponse
	p.postJSON(p.prefill, "/v1/completions", id, prefillCall(prompt), &response)
	return response
}

func prefillCall(prompt string) call {
	return call{
		"model": "drafter", "prompt": prompt, "max_tokens": 1,
		"kv_transfer_params": kvParams{DoRemoteDecode: true},
	}
}

func decodeCall(prompt string, kv kvParams) call {
	return call{"model": "drafter", "prompt": prompt, "max_tokens": 100, "stream": true, "kv_transfer_params": kv}
}

// startDecode prefills a prompt and opens the stream of its answer.
func (p *pair) startDecode(ctx context.Context, id, prompt string) io.ReadCloser {
	kv := p.runPrefill(id, prompt).KV
	return p.open(ctx, "/v1/completions", id, decodeCall(prompt, kv))
}

// open opens a stream of the decode engine.
func (p *pair) open(ctx context.Context, path, id string, body call) io.ReadCloser {
	response, err := p.post(ctx, p.decode, path, id, body)
	assert.NilError(p.t, err)
	assert.Equal(p.t, response.StatusCode, http.StatusOK)
	return response.Body
}

// status posts a body and returns the status of the response.
func (p *pair) status(server *Server, path, id string, body any) int {
	response, err := p.post(p.t.Context(), server, path, id, body)
	assert.NilError(p.t, err)
	assert.NilError(p.t, response.Body.Close())
	return response.StatusCode
}

// callJSON calls a path without a body and decodes the response, whose status must
// be 200.
func (p *pair) callJSON(server *Server, method, path string, target any) {
	request, err := http.NewRequestWithContext(p.t.Context(), method, "http://"+server.Addr()+path, nil)
	assert.NilError(p.t, err)
	response, err := p.client.Do(request)
	assert.NilError(p.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(p.t, response.StatusCode, http.StatusOK)
	assert.NilError(p.t, json.NewDecoder(response.Body).Decode(target))
}

// event is one event of a stream.
type event struct {
	ID         string `json:"id"`
	TokenIndex int    `json:"token_index"`
	Choices    []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readEvents reads a stream and reports whether it ended with [DONE].
func readEvents(t *testing.T, body io.ReadCloser) (events []event, done bool) {
	defer func() { _ = body.Close() }()
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var e event
		assert.NilError(t, json.Unmarshal([]byte(data), &e))
		events = append(events, e)
	}
	return events, done
}

// text joins the events' texts.
func text(events []event) string {
	var b strings.Builder
	for _, e := range events {
		b.WriteString(e.Choices[0].Text)
		b.WriteString(e.Choices[0].Delta.Content)
	}
	return b.String()
}

// eventually polls until a condition on an engine's counts holds.
func eventually(t *testing.T, e *Engine, what string, condition func(c Counts) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if counts := e.Counts(); !condition(counts) {
			return poll.Continue("%s; counts: %+v", what, counts)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}
