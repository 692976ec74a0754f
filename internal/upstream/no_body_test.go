package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response that cannot have a body and counts as one that ends with its connection: it was
// rejected by callers that need framing, and its connection was not used again.
func TestResponseThatCannotHaveABodyIsWhole(t *testing.T) {
	for _, c := range []struct{ method, status string }{
		{http.MethodHead, "200 OK"}, {http.MethodHead, "500 Failed"}, {http.MethodPost, "204 No Content"}, {http.MethodPost, "304 Not Modified"},
	} {
		address := serveBeside(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
			for readRequest(requests) {
				writeReply(conn, "HTTP/1.1 "+c.status+"\r\n\r\n")
			}
		})
		client := newTestClient(t)
		for range 2 {
			response, err := client.Do(t.Context(), address, &Request{Method: c.method, Target: "/"})
			assert.NilError(t, err)
			assert.Assert(t, response.Framed, "%s %s", c.method, c.status)
			_, err = io.Copy(io.Discard, response)
			assert.NilError(t, err)
			response.Close()
		}
		assert.Equal(t, client.Counters.Dialed.Load(), int64(1), "%s %s", c.method, c.status)
	}
}
