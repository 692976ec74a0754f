package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A request that arrived as a stop closed idle connections was passed on to an endpoint
// and then cut off.
func TestRequestThatArrivesAsIdleConnectionsCloseIsAnsweredOrNotRead(t *testing.T) {
	var served atomic.Int64
	tracked := New()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		select {
		case <-r.Context().Done():
			t.Error("the request was cut off")
		case <-time.After(time.Millisecond):
		}
		w.WriteHeader(http.StatusNoContent)
	})}
	server.ConnState = tracked.Observe
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(tracked.Listener(listener)) }()
	defer func() { assert.NilError(t, server.Close()) }()
	answered := int64(0)
	for i := range 300 {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		assert.Assert(t, exchange(conn, reader), "the first request")
		before := served.Load()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			time.Sleep(time.Duration(i%60) * time.Microsecond)
			tracked.CloseIdle()
		}()
		got := exchange(conn, reader)
		<-closed
		assert.Equal(t, served.Load()-before == 1, got, "a request that is served is answered")
		if got {
			answered++
		}
		assert.NilError(t, conn.Close())
		tracked.mu.Lock()
		tracked.closing = false
		tracked.mu.Unlock()
	}
	t.Logf("%d of 300 requests were answered", answered)
}

// exchange sends a request and reports whether it was answered.
func exchange(conn net.Conn, reader *bufio.Reader) bool {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

// A VM that gets little processor time may not have read a request yet that has arrived.
func TestIdleConnectionWithAnUnreadRequestIsNotClosed(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, caller.Close()) }()
	tracked := New()
	accepted, err := tracked.Listener(listener).Accept()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, accepted.Close()) }()
	tracked.Observe(accepted, http.StateIdle)
	_, err = io.WriteString(caller, "GET")
	assert.NilError(t, err)
	for !upstream.Readable(accepted.(*conn).Conn) {
		time.Sleep(time.Millisecond)
	}
	tracked.CloseIdle()
	assert.Equal(t, tracked.inUse(time.Now()), 1)
	read := make([]byte, 8)
	n, err := accepted.Read(read)
	assert.NilError(t, err)
	assert.Equal(t, string(read[:n]), "GET")
}
