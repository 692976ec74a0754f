package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// exchange sends a request to a server that answers with the given stream. It
// returns the answer and the header that the server received.
func exchange(t *testing.T, request Request, stream string) (Answer, http.Header, error) {
	t.Helper()
	var got http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, stream)
	}))
	defer server.Close()
	client := New(strings.TrimPrefix(server.URL, "http://"), "secret", server.Client())
	answer, err := client.Do(t.Context(), request)
	return answer, got, err
}

const (
	oneToken  = "data: {\"choices\":[{\"text\":\"one \"}]}\n\n"
	lastToken = "data: {\"choices\":[{\"text\":\"two\",\"finish_reason\":\"stop\"}]}\n\n"
	done      = "data: [DONE]\n\n"
)

func TestWholeStream(t *testing.T) {
	request := Request{Method: http.MethodPost, Path: "/", Body: []byte("{}"), Key: "k", Class: "c", Attempt: 2}
	answer, header, err := exchange(t, request, oneToken+lastToken+done)
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, "one two")
	assert.Equal(t, answer.Tokens, 2)
	assert.Equal(t, len(answer.Gaps), 1)
	assert.Equal(t, header.Get("Authorization"), "Bearer secret")
	assert.Equal(t, header.Get("Idempotency-Key"), "k")
	assert.Equal(t, header.Get("Ospreyshed-Class"), "c")
	assert.Equal(t, header.Get("Ospreyshed-Attempt"), "2")
}

func TestTruncatedStreamsAreReported(t *testing.T) {
	for name, stream := range map[string]string{
		"no terminal event": oneToken + lastToken,
		"no finish reason":  oneToken + done,
		"problem":           oneToken + "event: error\ndata: {\"type\":\"/problems/x\",\"detail\":\"why\"}\n\n",
	} {
		answer, _, err := exchange(t, Request{Method: http.MethodPost, Path: "/"}, stream)
		assert.Assert(t, errorx.IsOfType(err, CutShort), "%s: %v", name, err)
		assert.Equal(t, answer.Problem != "", name == "problem")
		assert.Equal(t, answer.Detail == "why", name == "problem")
	}
}
