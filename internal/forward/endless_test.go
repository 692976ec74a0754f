package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

// A faulty service sent bodies without end on many connections at once. The VM kept up to 8 MB of each of them; all
// together fit into its budget, and sound replies arrive meanwhile.
func TestEndlessRepliesFitIntoTheBudget(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + requestIDHeader + ": ID\r\n"
	const calls, soundCalls = 30, 20
	held := make(chan struct{})
	address, stop, err := rawconn.Serve(t.Context(), func(_ int, requests *bufio.Reader, conn net.Conn) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		id := request.Header.Get(requestIDHeader)
		if strings.Contains(request.URL.Path, "sound") {
			_, _ = conn.Write([]byte(replyTo(id, http.StatusOK, true, "length")))
			return
		}
		_, _ = conn.Write([]byte(strings.ReplaceAll(head, "ID", id) + "Content-Length: 1000000000\r\n\r\n"))
		_, _ = conn.Write(make([]byte, maxReplyBytes-1))
		<-held
	})
	assert.NilError(t, err)
	t.Cleanup(stop)
	f := newForwarder(t, address)
	f.endpoints = anyEndpoint{}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, calls)
	for range calls {
		go func() {
			call := callOf(configuration.Repeatable)
			call.Path = "/endless"
			_, err := f.Do(ctx, call)
			ended <- err
		}()
	}
	for f.memory.Counters.Waits.Load() < calls/2 {
		time.Sleep(time.Millisecond)
	}
	for range soundCalls {
		call := callOf(configuration.Repeatable)
		call.Path = "/sound"
		reply, err := f.Do(t.Context(), call)
		assert.NilError(t, err)
		reply.Close()
	}
	assert.Assert(t, f.memory.Counters.Reserved.Load() <= replyMemory)
	cancel()
	for range calls {
		assert.Assert(t, <-ended != nil)
	}
	close(held)
	assert.Equal(t, f.memory.Counters.Reserved.Load(), int64(0), "memory that no call has")
}

// One body without end takes no more than the longest reply.
func TestReplyEndsByItselfIfItsBodyDoesNot(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	beginning := "HTTP/1.1 200 OK\r\n" + requestIDHeader + ": ID\r\nTransfer-Encoding: chunked\r\n\r\n"
	address, stop, err := rawconn.Serve(t.Context(), rawconn.Endless(requestIDHeader, beginning, "8\r\nabcdefgh\r\n", cancel))
	assert.NilError(t, err)
	t.Cleanup(stop)
	f := newForwarder(t, address)
	f.endpoints = anyEndpoint{}
	_, err = f.Do(ctx, callOf(configuration.NeverRepeat))
	assert.ErrorContains(t, err, "longer than")
	assert.NilError(t, ctx.Err(), "the exchange went on")
}
