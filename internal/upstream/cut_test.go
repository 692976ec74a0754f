package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// written is a response as an endpoint writes it.
type written struct {
	name, method, head, body string
	// content is what the body carries.
	content string
	// unframed is set if the body ends with the connection.
	unframed bool
}

// responses returns responses of each status with each kind of framing.
func responses() []written {
	var all []written
	for _, status := range []string{"200 OK", "503 Full\r\nX-Not-Run: 1", "421 Misdirected", "500 Failed"} {
		for _, informational := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			start := informational + "HTTP/1.1 " + status + "\r\nTest-Id: r1\r\n"
			add := func(name, head, body, content string, unframed bool) {
				all = append(all, written{fmt.Sprintf("%q, %s", informational+status, name), http.MethodPost, start + head + "\r\n", body, content, unframed})
			}
			add("length", "Content-Length: 5\r\n", "whole", "whole", false)
			add("no body", "Content-Length: 0\r\n", "", "", false)
			add("chunks", "Transfer-Encoding: chunked\r\n", "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", "whole", false)
			add("trailer", "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n", "whole", false)
			add("neither", "", "whole", "whole", true)
			add("neither, last one", "Connection: close\r\n", "whole", "whole", true)
		}
	}
	return append(all,
		written{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", "", "", false},
		written{"HEAD, length", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", "", false},
		written{"204", http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", "", "", false},
		written{"304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", "", "", false},
	)
}

// receive returns what the client makes of a text that is followed by the end of the connection: the error
// of the header, and the body with its error.
func receive(t *testing.T, method, text string) (header error, body string, err error) {
	t.Helper()
	ours, theirs := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		readRequest(bufio.NewReader(theirs))
		_, _ = io.WriteString(theirs, text)
		_ = theirs.Close()
	}()
	defer func() { <-served }()
	k := newConn(newTestClient(t), "endpoint", ours)
	defer k.close()
	response, err := k.exchange(t.Context(), &Request{Method: method, Target: "/", Header: http.Header{}})
	if err != nil {
		return err, "", nil
	}
	defer response.Close()
	whole, err := io.ReadAll(response)
	return nil, string(whole), err
}

// A response that breaks off must not be taken for a whole one, wherever it does so, and its status counts
// only once its header is whole. One without framing that broke off right after its header was taken for a
// whole one without a body.
func TestResponseThatBreaksOffIsNotComplete(t *testing.T) {
	for _, w := range responses() {
		text := w.head + w.body
		for cut := range len(text) {
			header, body, err := receive(t, w.method, text[:cut])
			assert.Equal(t, header != nil, cut < len(w.head), "%s: %q", w.name, text[:cut])
			if header != nil {
				continue
			}
			if w.unframed && cut > len(w.head) {
				assert.NilError(t, err, "%s: %q", w.name, text[:cut])
				assert.Equal(t, body, text[len(w.head):cut])
				continue
			}
			assert.Assert(t, err != nil, "%s: %q", w.name, text[:cut])
		}
		header, body, err := receive(t, w.method, text)
		assert.NilError(t, header, w.name)
		assert.NilError(t, err, w.name)
		assert.Equal(t, body, w.content, w.name)
	}
}

// A reset is no end of a response, not even of one that ends with its connection.
func TestResponseThatIsResetIsNotComplete(t *testing.T) {
	var text atomic.Value
	address := serve(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		readRequest(requests)
		writeReply(conn, text.Load().(string))
		time.Sleep(time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	client := newTestClient(t)
	for _, w := range responses()[:6] {
		whole := w.head + w.body
		for cut := range len(whole) {
			text.Store(whole[:cut])
			_, err := get(t.Context(), client, address)
			assert.Assert(t, err != nil, "%s: %q", w.name, whole[:cut])
		}
	}
}

// An endpoint that switches to another protocol, which no request asks for, has not answered.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	header, _, _ := receive(t, http.MethodPost, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"+strings.TrimSpace(okAnswer))
	assert.ErrorContains(t, header, "101")
}
