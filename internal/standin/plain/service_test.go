package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T) *Server {
	server, err := Start("127.0.0.1:0", Options{Name: "desk-1", Limit: 64})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return server
}

// post sends a call with an idempotency key. It returns an error if the
// connection fails or the body is incomplete.
func post(t *testing.T, server *Server, key string) (status int, leaving string, body []byte, err error) {
	url := "http://" + server.Addr() + "/bookings//7?x=1"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("hours"))
	assert.NilError(t, err)
	request.Close = true
	request.Header.Set(IdempotencyKeyHeader, key)
	request.Header.Set(RequestIDHeader, "vm-1.1.1.1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(LeavingHeader), body, err
}

func TestExecutionsAreCountedPerKeyAndRequest(t *testing.T) {
	server := start(t)
	for _, key := range []string{"a", "b", "a"} {
		status, leaving, _, err := post(t, server, key)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, leaving, "")
	}
	counts := server.Counts()
	assert.DeepEqual(t, counts.ByKey, map[string]int{"a": 2, "b": 1})
	assert.DeepEqual(t, counts.ByRequest, map[string]int{"vm-1.1.1.1": 3})
	assert.Equal(t, counts.Executions, 3)
}

func TestReceiptDescribesTheCall(t *testing.T) {
	_, _, body, err := post(t, start(t), "a")
	assert.NilError(t, err)
	var receipt Receipt
	assert.NilError(t, json.Unmarshal(body, &receipt))
	assert.DeepEqual(t, receipt, Receipt{
		Service: "desk-1", Execution: 1, Method: http.MethodPost, Path: "/bookings//7", Query: "x=1",
		RequestID: "vm-1.1.1.1", IdempotencyKey: "a",
		BodyDigest: "404314b1f4bd8fa2ff42a84cd851ddc011c76fb64e12dfe3748101b03ed8ce7c",
	})
}

func TestReplyIsLostAfterTheExecution(t *testing.T) {
	for _, faults := range []Faults{{LoseNextReplies: 1}, {LoseReplies: 1}, {CutReplies: true}} {
		server := start(t)
		server.SetFaults(faults)
		_, _, _, err := post(t, server, "a")
		assert.Assert(t, err != nil)
		counts := server.Counts()
		assert.Equal(t, counts.ByKey["a"], 1)
		assert.Equal(t, counts.RepliesLost, 1)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if server.Counts().Active > 0 {
				return poll.Continue("a call is active")
			}
			return poll.Success()
		})
	}
}

func TestLeavingServiceMarksItsReplies(t *testing.T) {
	server := start(t)
	server.SetFaults(Faults{Leaving: true})
	status, leaving, _, err := post(t, server, "a")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, leaving, "true")
	server.SetFaults(Faults{Leaving: true, RefuseWhenLeaving: true})
	status, leaving, _, err = post(t, server, "b")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, leaving, "true")
	counts := server.Counts()
	assert.DeepEqual(t, counts.ByKey, map[string]int{"a": 1})
	assert.Equal(t, counts.AfterLeaving, 2)
	assert.Equal(t, counts.Active, 0)
}
