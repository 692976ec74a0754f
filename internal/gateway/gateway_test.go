package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/claim"
	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/forward"
	"github.com/ospreyshed/ospreyshed/internal/problem"
	"github.com/ospreyshed/ospreyshed/internal/questionnaire"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const bearerKey = "secret"

// fakes implements the gateway's dependencies.
type fakes struct {
	snapshot *configuration.Snapshot
	// tokens are passed to the sink before completeErr is returned.
	tokens      []string
	completeErr error
	forwardErr  error
	claimErr    error
	decision    claim.Decision
	// notJoined makes Joined return false.
	notJoined bool
}

func (f *fakes) Snapshot() *configuration.Snapshot { return f.snapshot }

func (f *fakes) Run(_ context.Context, _ *completion.Request, sink completion.Sink) (completion.Result, error) {
	for i, text := range f.tokens {
		token := engine.Token{Index: i, Text: []byte(text)}
		if i == len(f.tokens)-1 && f.completeErr == nil {
			token.FinishReason = "stop"
		}
		if err := sink.Token(token); err != nil {
			return completion.Result{}, err
		}
	}
	return completion.Result{CompletionTokens: len(f.tokens)}, f.completeErr
}

func (f *fakes) Do(context.Context, *forward.Call) (*forward.Reply, error) {
	if f.forwardErr != nil {
		return nil, f.forwardErr
	}
	return &forward.Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte("reply")}, nil
}

func (f *fakes) Claim(context.Context, claim.Key) (claim.Decision, error) {
	return f.decision, f.claimErr
}

func (f *fakes) Begin(context.Context, claim.Key) (claim.AnswerDecision, error) {
	return claim.AnswerDecision{}, f.claimErr
}

func newGateway(t *testing.T, f *fakes) *Gateway {
	t.Helper()
	digest, err := questionnaire.Digest([]byte(bearerKey))
	assert.NilError(t, err)
	bundle := configuration.Bundle{Format: configuration.Format}
	bundle.Fleet.Zones = []configuration.Zone{{Name: "z"}}
	bundle.Fleet.Models = []configuration.Model{{
		Name: "drafter", PrefillTokensPerSecond: 1000, TokenInterval: configuration.Duration(time.Millisecond),
		KVRetention: configuration.Duration(time.Second), KVBytesPerToken: 1,
	}}
	bundle.Fleet.Endpoints = []configuration.Endpoint{
		{Name: "desk", Zone: "z", Address: "127.0.0.1:1", Kind: configuration.KindPlain, Service: "desk"},
		{Name: "p", Zone: "z", Address: "127.0.0.1:2", Kind: configuration.KindEngine, Model: "drafter", Role: configuration.RolePrefill},
		{Name: "d", Zone: "z", Address: "127.0.0.1:3", Kind: configuration.KindEngine, Model: "drafter", Role: configuration.RoleDecode, Slots: 1, MemoryPieces: 100, PieceTokens: 100},
	}
	bundle.Fleet.Times = configuration.Times{
		DrainLimit: configuration.Duration(time.Minute), LogRetention: configuration.Duration(time.Hour),
		KeyWindow: configuration.Duration(time.Minute),
	}
	bundle.Teams = []configuration.Team{{
		Name: "band", KeyDigests: []string{digest}, Weights: configuration.Weights{Goodput: 1},
		Classes: []configuration.Class{
			{Name: "summary", Model: "drafter", Method: http.MethodPost, Path: "/v1/completions", Repeat: configuration.Repeatable, Key: configuration.KeyOptional, MaxOutputTokens: 10, MaxPromptTokens: 20, QueueLimit: 1, Order: configuration.OrderFirstCome},
			{Name: "booking", Service: "desk", Method: http.MethodPost, Path: "/book", Repeat: configuration.NeverRepeat, Key: configuration.KeyRequired, QueueLimit: 1, Order: configuration.OrderAny},
			{Name: "lookup", Service: "desk", Method: http.MethodGet, Path: "/roster/*", Repeat: configuration.Repeatable, Key: configuration.KeyNone, QueueLimit: 1, Order: configuration.OrderAny},
		},
	}}
	f.snapshot, err = configuration.NewSnapshot(bundle)
	assert.NilError(t, err)
	return New(Options{
		VM: "vm-1", Incarnation: 7, Completer: f, Forwarder: f, Claims: f, Answers: f, Configuration: f,
		Joined: func() bool { return !f.notJoined },
		Events: timeline.Discard, BodyBytes: 400, WriteTimeout: time.Second,
	})
}

// call sends a request and returns the response.
func call(g http.Handler, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+bearerKey)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name, method, path, body string
		header                   map[string]string
		fakes                    fakes
		status                   int
		problem                  problem.Type
		outcome                  problem.Outcome
	}{
		{name: "unknown key", method: "GET", path: "/roster/1", header: map[string]string{"Authorization": "Bearer other"}, status: 401, problem: problem.Unauthorized, outcome: problem.NotRun},
		{name: "no scheme", method: "GET", path: "/roster/1", header: map[string]string{"Authorization": bearerKey}, status: 401, problem: problem.Unauthorized, outcome: problem.NotRun},
		{name: "no class", method: "DELETE", path: "/roster/1", status: 403, problem: problem.ClassNotAllowed, outcome: problem.NotRun},
		{name: "unknown model", method: "POST", path: "/v1/completions", body: `{"model":"x","prompt":"y"}`, status: 403, problem: problem.ClassNotAllowed, outcome: problem.NotRun},
		{name: "malformed body", method: "POST", path: "/v1/completions", body: `{`, status: 400, problem: problem.BadRequest, outcome: problem.NotRun},
		{name: "too many tokens", method: "POST", path: "/v1/completions", body: `{"model":"drafter","prompt":"y","max_tokens":11}`, status: 400, problem: problem.BadRequest, outcome: problem.NotRun},
		{name: "prompt too long", method: "POST", path: "/v1/completions", body: `{"model":"drafter","prompt":"` + strings.Repeat("y", 100) + `"}`, status: 400, problem: problem.BadRequest, outcome: problem.NotRun},
		{name: "oversize", method: "POST", path: "/v1/completions", body: strings.Repeat(" ", 401), status: 413, problem: problem.TooLarge, outcome: problem.NotRun},
		{name: "key required", method: "POST", path: "/book", status: 400, problem: problem.KeyRequired, outcome: problem.NotRun},
		{name: "log unavailable, attempt not stated", method: "POST", path: "/book", header: map[string]string{KeyHeader: "k"}, fakes: fakes{claimErr: claim.LogUnavailable.New("")}, status: 503, problem: problem.ClaimUnavailable, outcome: problem.Unknown},
		{name: "log unavailable, first attempt", method: "POST", path: "/book", header: map[string]string{KeyHeader: "k", AttemptHeader: "1"}, fakes: fakes{claimErr: claim.LogUnavailable.New("")}, status: 503, problem: problem.ClaimUnavailable, outcome: problem.NotRun},
		{name: "key malformed", method: "POST", path: "/book", header: map[string]string{KeyHeader: "k"}, fakes: fakes{claimErr: claim.KeyMalformed.New("")}, status: 400, problem: problem.KeyMalformed, outcome: problem.NotRun},
		{name: "key expired", method: "POST", path: "/book", header: map[string]string{KeyHeader: "k"}, fakes: fakes{claimErr: claim.KeyExpired.New("")}, status: 422, problem: problem.KeyExpired, outcome: problem.Unknown},
		{name: "key running", method: "POST", path: "/book", header: map[string]string{KeyHeader: "k"}, fakes: fakes{decision: claim.Decision{Kind: claim.Running, RetryAfter: time.Second}}, status: 409, problem: problem.KeyRunning, outcome: problem.Unknown},
		{name: "key answered", method: "POST", path: "/book", header: map[string]string{KeyHeader: "k"}, fakes: fakes{decision: claim.Decision{Kind: claim.Answered}}, status: 409, problem: problem.KeyAnswered, outcome: problem.Ran},
		{name: "key closed", method: "POST", path: "/book", header: map[string]string{KeyHeader: "k"}, fakes: fakes{decision: claim.Decision{Kind: claim.ClosedNotRun}}, status: 409, problem: problem.KeyClosed, outcome: problem.NotRun},
		{name: "outcome at the endpoint in doubt", method: "GET", path: "/roster/1", fakes: fakes{forwardErr: forward.InDoubt.New("")}, status: 502, problem: problem.EndpointFailed, outcome: problem.Unknown},
		{name: "no endpoint", method: "GET", path: "/roster/1", fakes: fakes{forwardErr: forward.NoEndpoint.New("")}, status: 503, problem: problem.NoEndpoint, outcome: problem.NotRun},
		{name: "target missed", method: "POST", path: "/v1/completions", body: `{"model":"drafter","prompt":"y"}`, fakes: fakes{completeErr: &completion.RefusedError{Refusal: scheduling.Refusal{Reason: scheduling.RefusedTarget, RetryAfter: time.Second}}}, status: 503, problem: problem.TargetMissed, outcome: problem.NotRun},
		{name: "engine failed after work", method: "POST", path: "/v1/completions", body: `{"model":"drafter","prompt":"y"}`, fakes: fakes{completeErr: &completion.RefusedError{Refusal: scheduling.Refusal{Reason: scheduling.RefusedEngineFailed}, Outcome: completion.OutcomeRan}}, status: 502, problem: problem.EndpointFailed, outcome: problem.Ran},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := call(newGateway(t, &test.fakes), test.method, test.path, test.body, test.header)
			assert.Equal(t, w.Code, test.status, "%s", w.Body)
			var details problem.Details
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &details))
			assert.Equal(t, details.Type, test.problem)
			assert.Equal(t, w.Header().Get(problem.OutcomeHeader), string(test.outcome))
			assert.Equal(t, w.Header().Get("Content-Type"), "application/problem+json")
		})
	}
}

func TestBadBodyReportsAllFindings(t *testing.T) {
	w := call(newGateway(t, &fakes{}), "POST", "/v1/completions", `{"model":7,"stream":"yes","n":2}`, nil)
	var details problem.Details
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &details))
	var paths []string
	for _, f := range details.Findings {
		paths = append(paths, f.Path)
	}
	assert.DeepEqual(t, paths, []string{"model", "model", "n", "prompt", "stream"})
}

func TestUnstreamedAnswerIsNotSentBeforeItIsComplete(t *testing.T) {
	f := &fakes{tokens: []string{"a", "b"}, completeErr: &completion.InterruptedError{Delivered: 2, Cause: errors.New("crash")}}
	w := call(newGateway(t, f), "POST", "/v1/completions", `{"model":"drafter","prompt":"y"}`, nil)
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, w.Header().Get(problem.OutcomeHeader), string(problem.Ran))
}

func TestInterruptedStreamIsCutAndHasNoTerminalEvent(t *testing.T) {
	f := &fakes{tokens: []string{"a"}, completeErr: &completion.InterruptedError{Delivered: 1, Cause: errors.New("crash")}}
	g := newGateway(t, f)
	server := httptest.NewServer(g)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/completions", strings.NewReader(`{"model":"drafter","prompt":"y","stream":true}`))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+bearerKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var body strings.Builder
	buffer := make([]byte, 4096)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buffer)
		body.Write(buffer[:n])
	}
	assert.ErrorContains(t, err, "unexpected EOF")
	assert.Assert(t, strings.Contains(body.String(), "event: error"))
	assert.Assert(t, !strings.Contains(body.String(), "[DONE]"))
}

func TestAppendJSONStringRoundTrips(t *testing.T) {
	for _, text := range []string{"plain", "q\"uo\\te", "line\nfeed\ttab\x01", "ünï 漢 \U0001F3BA"} {
		var decoded string
		assert.NilError(t, json.Unmarshal(appendJSONString(nil, []byte(text)), &decoded))
		assert.Equal(t, decoded, text)
	}
	assert.Equal(t, string(appendJSONString(nil, []byte("\xff"))), "\"\ufffd\"")
}

func TestReadiness(t *testing.T) {
	f := &fakes{}
	g := newGateway(t, f)
	assert.Equal(t, call(g, "GET", "/readyz", "", nil).Code, http.StatusOK)
	f.notJoined = true
	assert.Equal(t, call(g, "GET", "/readyz", "", nil).Code, http.StatusServiceUnavailable)
	f.notJoined = false
	g.Drain(time.Now().Add(time.Minute))
	assert.Equal(t, call(g, "GET", "/readyz", "", nil).Code, http.StatusServiceUnavailable)
	assert.Equal(t, call(g, "GET", "/roster/1", "", nil).Code, http.StatusOK, "the load balancer may still send requests")
	assert.Equal(t, call(g, "GET", "/roster/1", "", nil).Header().Get("Connection"), "close")
	f.snapshot = nil
	assert.Equal(t, call(g, "GET", "/roster/1", "", nil).Code, http.StatusServiceUnavailable)
	assert.Equal(t, call(g, "GET", "/healthz", "", nil).Code, http.StatusOK)
}

// A request that arrived late in a planned stop was passed on and cut off at the drain limit, although its call must
// not be repeated.
func TestRequestThatMayBeCutOffInAStopIsNotRun(t *testing.T) {
	const booking, summary, roster = "booking", "summary", "roster"
	refused := func(w *httptest.ResponseRecorder) string {
		if w.Code != http.StatusServiceUnavailable {
			return ""
		}
		assert.Equal(t, w.Header().Get("Retry-After"), "1")
		return w.Header().Get(problem.OutcomeHeader)
	}
	for _, c := range []struct {
		name string
		left time.Duration
		late bool
		// want are the outcomes of refusals by request.
		want map[string]string
	}{
		{"begins, time for all", time.Minute, false, map[string]string{booking: "", summary: "", roster: ""}},
		{"begins, no time", time.Second, false, map[string]string{booking: "unknown", summary: "", roster: ""}},
		{"listener has closed, time for all", time.Minute, true, map[string]string{booking: "", summary: "not-run", roster: ""}},
		{"listener has closed, no time", time.Second, true, map[string]string{booking: "unknown", summary: "not-run", roster: "not-run"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGateway(t, &fakes{tokens: []string{"t"}, claimErr: claim.KeyMalformed.New("")})
			g.Drain(time.Now().Add(c.left))
			if c.late {
				g.RefuseNew()
			}
			key := map[string]string{KeyHeader: "k"}
			got := map[string]string{
				booking: refused(call(g, http.MethodPost, "/book", "", key)),
				summary: refused(call(g, http.MethodPost, "/v1/completions", `{"model":"drafter","prompt":"p"}`, nil)),
				roster:  refused(call(g, http.MethodGet, "/roster/1", "", nil)),
			}
			assert.DeepEqual(t, got, c.want)
			key[AttemptHeader] = "1"
			if c.want[booking] != "" {
				assert.Equal(t, refused(call(g, http.MethodPost, "/book", "", key)), "not-run")
			}
		})
	}
}
