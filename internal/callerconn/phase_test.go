package callerconn

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// awaitPhase waits until a connection is in a phase.
func (c *conn) awaitPhase(p phase) {
	for {
		c.mu.Lock()
		reached := c.phase == p
		c.mu.Unlock()
		if reached {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// A VM that was held up between the read of a request on an idle connection and its record
// closed that connection: the request had neither an answer nor a refusal.
func TestRequestThatWasReadFromAnIdleConnectionIsNotDropped(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, caller.Close()) }()
	held := heldListener{listener, make(chan struct{}), make(chan struct{})}
	tracked := New()
	accepted, err := tracked.Listener(held).Accept()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, accepted.Close()) }()
	tracked.Observe(accepted, http.StateIdle)
	got := make(chan string, 1)
	go func() {
		read := make([]byte, 8)
		n, err := accepted.Read(read)
		got <- fmt.Sprint(string(read[:n]), err)
	}()
	accepted.(*conn).awaitPhase(phaseIdle)
	_, err = io.WriteString(caller, "GET")
	assert.NilError(t, err)
	<-held.read
	tracked.closeIdle()
	close(held.release)
	assert.Equal(t, <-got, "GET<nil>")
	assert.Equal(t, tracked.closeUnused(time.Now()), 1)
}

// A request that was read together with the one before was cut off if a stop looked for
// idle connections between the first answer and the second request.
func TestRequestThatWasReadWithAnotherIsAnsweredIfIdleConnectionsCloseBeforeIt(t *testing.T) {
	tracked := New()
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server.ConnState = func(changed net.Conn, state http.ConnState) {
		tracked.Observe(changed, state)
		if state == http.StateIdle {
			tracked.closeIdle()
		}
	}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(tracked.Listener(listener)) }()
	defer func() { assert.NilError(t, server.Close()) }()
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(caller)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, caller.Close())
}

// encrypt returns both ends of a tracked connection after their handshake.
func encrypt(t *testing.T, tracked *Tracker) (caller, accepted *tls.Conn) {
	t.Helper()
	certified := httptest.NewUnstartedServer(nil)
	certified.StartTLS()
	defer certified.Close()
	plainCaller, plainAccepted := acceptOne(t, tracked)
	accepted = tls.Server(plainAccepted, certified.TLS)
	tracked.Observe(accepted, http.StateNew)
	config := certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	config.ServerName = "example.com"
	caller = tls.Client(plainCaller, config)
	shaken := make(chan error, 1)
	go func() { shaken <- caller.HandshakeContext(t.Context()) }()
	assert.NilError(t, accepted.HandshakeContext(t.Context()))
	assert.NilError(t, <-shaken)
	return caller, accepted
}

// A handshake that no request followed held up a drain until its limit.
func TestHandshakeWithoutARequestDoesNotHoldUpADrain(t *testing.T) {
	tracked := New()
	caller, accepted := encrypt(t, tracked)
	assert.Equal(t, tracked.closeUnused(time.Now()), 1, "it may still bring a request")
	assert.Equal(t, tracked.closeUnused(time.Now().Add(newConnectionTimeout)), 0)
	_ = errors.Join(caller.Close(), accepted.Close())
}
