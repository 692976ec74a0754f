package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

// Guards against an answer of the platform's log or VM list that is not valid in HTTP/1 and counts.
func TestMalformedAnswersOfThePlatformAreNone(t *testing.T) {
	const (
		appended = `{"first_offset":0,"count":1}`
		page     = `{"first_offset":0,"next_offset":0,"time_ms":1,"records":[]}`
		list     = `{"time_ms":1,"vms":[]}`
	)
	transport := platformTransport{&http.Transport{DisableKeepAlives: true}}
	calls := func(address string) (appendErr, readErr, listErr error) {
		log := logservice.NewClient(address, transport)
		_, appendErr = log.Append(t.Context(), "s", []logservice.Entry{{ID: "1"}})
		_, readErr = log.Read(t.Context(), "s", 0, 1, 0)
		_, listErr = vmlist.NewClient("http://"+address, transport).List(t.Context())
		return appendErr, readErr, listErr
	}
	for _, c := range []struct {
		start string
		whole bool
	}{
		{"HTTP/1.1 200 OK\r\n", true},
		{"HTTP/1.0 200 OK\r\n", true},
		{"HTTP/2.0 200 OK\r\n", false},
		{"HTTP/1.1 000 OK\r\n", false},
		{"HTTP/1.1 200 O\x01K\r\n", false},
		{"HTTP/1.1 200 OK\r\nX Field: 1\r\n", false},
		{"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n", false},
		{"HTTP/1.1 200 OK\r\nX-\x01Field: 1\r\n", false},
	} {
		address, stop, err := rawconn.Serve(t.Context(), func(_ int, requests *bufio.Reader, conn net.Conn) {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			body := list
			switch {
			case request.Method == http.MethodPost:
				body = appended
			case request.URL.Query().Has("from"):
				body = page
			}
			_, _ = fmt.Fprintf(conn, "%s\r\n%s", c.start, body)
		})
		assert.NilError(t, err)
		appendErr, readErr, listErr := calls(address)
		stop()
		if c.whole {
			assert.NilError(t, appendErr, c.start)
			assert.NilError(t, readErr, c.start)
			assert.NilError(t, listErr, c.start)
			continue
		}
		assert.Check(t, errorx.IsOfType(appendErr, logservice.InDoubt), "%q: %v", c.start, appendErr)
		assert.Check(t, errorx.IsOfType(readErr, logservice.Unreadable), "%q: %v", c.start, readErr)
		assert.Check(t, errorx.IsOfType(listErr, vmlist.Unavailable), "%q: %v", c.start, listErr)
	}
}
