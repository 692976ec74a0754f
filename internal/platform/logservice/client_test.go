package logservice_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// newFixedResponseClient returns a client of a server that always returns the same
// response, and a string that receives method, URL and body of the last request.
func newFixedResponseClient(t *testing.T, status int, body string) (*logservice.Client, *string) {
	t.Helper()
	seen := new(string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		*seen = r.Method + " " + r.URL.String() + " " + string(text)
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
	})
	return logservice.NewClient(strings.TrimPrefix(server.URL, "http://"), transport), seen
}

func TestClientAppendsInWireFormat(t *testing.T) {
	client, seen := newFixedResponseClient(t, http.StatusOK, `{"first_offset": 41, "count": 1}`)
	first, err := client.Append(t.Context(), "a b", []logservice.Entry{{ID: "vm-1.17.4", Data: []byte("x")}})
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(41))
	assert.Equal(t, *seen, `POST /v1/streams/a%20b/records {"records":[{"id":"vm-1.17.4","data":"eA=="}]}`)
}

func TestClientReadsWireFormat(t *testing.T) {
	client, seen := newFixedResponseClient(t, http.StatusOK, `{"first_offset": 12, "next_offset": 42, "time_ms": 1780000000000,
		"records": [{"offset": 41, "time_ms": 1780000000001, "id": "vm-1.17.4", "data": "eA==", "new": 1}]}`)
	page, err := client.Read(t.Context(), "s", 41, 500, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, *seen, "GET /v1/streams/s/records?from=41&max=500&wait_ms=1000 ")
	assert.DeepEqual(t, page, logservice.Page{
		FirstOffset: 12, NextOffset: 42, Time: time.UnixMilli(1780000000000),
		Records: []logservice.Record{{
			Offset: 41, Time: time.UnixMilli(1780000000001),
			Entry: logservice.Entry{ID: "vm-1.17.4", Data: []byte("x")},
		}},
	})
}

func TestClientClassifiesAppendErrors(t *testing.T) {
	for _, test := range []struct {
		name, body string
		status     int
		kind       *errorx.Type
		certain    bool
	}{
		{"append limit", "", http.StatusTooManyRequests, logservice.Throttled, true},
		{"outage", "", http.StatusServiceUnavailable, logservice.Outage, true},
		{"malformed", "bad id", http.StatusBadRequest, logservice.Refused, true},
		{"internal server error", "", http.StatusInternalServerError, logservice.InDoubt, false},
		{"bad gateway", "", http.StatusBadGateway, logservice.InDoubt, false},
		{"redirect", "", http.StatusFound, logservice.InDoubt, false},
		{"truncated response", `{"first_off`, http.StatusOK, logservice.InDoubt, false},
		{"empty response", `{}`, http.StatusOK, logservice.InDoubt, false},
		{"wrong count", `{"first_offset": 1, "count": 2}`, http.StatusOK, logservice.InDoubt, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, _ := newFixedResponseClient(t, test.status, test.body)
			_, err := client.Append(t.Context(), "s", []logservice.Entry{{ID: "1"}})
			assert.Assert(t, errorx.IsOfType(err, test.kind), "%v", err)
			assert.Equal(t, errorx.HasTrait(err, logservice.NotAppended), test.certain)
		})
	}
}

func TestClientReturnsRetryAfter(t *testing.T) {
	client, _ := newFixedResponseClient(t, http.StatusTooManyRequests, "")
	_, err := client.Append(t.Context(), "s", nil)
	assert.Equal(t, logservice.RetryAfter(err), 3*time.Second)
}

func TestClientReportsCancelledAppendAsInDoubt(t *testing.T) {
	reached := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(reached)
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	client := logservice.NewClient(strings.TrimPrefix(server.URL, "http://"), &http.Transport{})
	_, err := client.Append(ctx, "s", []logservice.Entry{{ID: "1"}})
	assert.Assert(t, errorx.IsOfType(err, logservice.InDoubt), "%v", err)
}

func TestClientReportsFailedDialAsOutage(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	client := logservice.NewClient(address, &http.Transport{})
	_, err := client.Append(t.Context(), "s", []logservice.Entry{{ID: "1"}})
	assert.Assert(t, errorx.IsOfType(err, logservice.Outage), "%v", err)
}
