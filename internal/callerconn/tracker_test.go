package callerconn

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

func TestMain(m *testing.M) {
	if os.Getenv(serverProcessVariable) != "" {
		serveAnswerProcess()
		return
	}
	goleak.VerifyTestMain(m)
}

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
			tracked.closeIdle()
		}()
		got := exchange(conn, reader)
		<-closed
		assert.Equal(t, served.Load()-before == 1, got, "a request that is served is answered")
		if got {
			answered++
		}
		assert.NilError(t, conn.Close())
		tracked.closing.Store(false)
	}
	t.Logf("%d of 300 requests were answered", answered)
}

// closeIdle begins a drain.
func (t *Tracker) closeIdle() {
	t.closing.Store(true)
	t.closeUnused(time.Now())
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
	accepted.(*conn).setPhase(phaseIdle)
	_, err = io.WriteString(caller, "GET")
	assert.NilError(t, err)
	for !upstream.Readable(accepted.(*conn).Conn) {
		time.Sleep(time.Millisecond)
	}
	tracked.closeIdle()
	assert.Equal(t, tracked.closeUnused(time.Now()), 1)
	read := make([]byte, 8)
	n, err := accepted.Read(read)
	assert.NilError(t, err)
	assert.Equal(t, string(read[:n]), "GET")
}

// heldListener accepts connections on which a read is held up after it took bytes from the
// socket, as by a VM that gets no processor time.
type heldListener struct {
	net.Listener
	read, release chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConn{accepted.(*net.TCPConn), l}, nil
}

type heldConn struct {
	*net.TCPConn
	held heldListener
}

func (c heldConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return heldSocket{raw, c.held}, err
}

type heldSocket struct {
	syscall.RawConn
	held heldListener
}

func (s heldSocket) Read(f func(fd uintptr) bool) error {
	err := s.RawConn.Read(f)
	s.held.read <- struct{}{}
	<-s.held.release
	return err
}

// A VM that was held up between reading a request and recording it closed the connection
// as an idle one: the request had neither an answer nor a refusal.
func TestRequestThatWasReadBeforeIdleConnectionsCloseIsNotDropped(t *testing.T) {
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
	_, err = io.WriteString(caller, "GET")
	assert.NilError(t, err)
	<-held.read
	tracked.closeIdle()
	close(held.release)
	assert.Equal(t, <-got, "GET<nil>")
	assert.Equal(t, tracked.closeUnused(time.Now()), 1)
}

// A server that does not recognize the errors of a read would answer them.
func TestReadReportsTheErrorsOfASocket(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	tracked := New()
	accept := func() (caller, accepted net.Conn) {
		caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		accepted, err = tracked.Listener(listener).Accept()
		assert.NilError(t, err)
		return caller, accepted
	}
	read := func(accepted net.Conn) error {
		_, err := accepted.Read(make([]byte, 1))
		return err
	}
	var failure *net.OpError

	caller, accepted := accept()
	assert.NilError(t, accepted.SetReadDeadline(time.Unix(1, 0)))
	assert.ErrorIs(t, read(accepted), os.ErrDeadlineExceeded)
	assert.Assert(t, errors.As(read(accepted), &failure) && failure.Timeout() && failure.Op == "read")
	assert.NilError(t, accepted.SetReadDeadline(time.Time{}))
	assert.NilError(t, caller.Close())
	assert.Equal(t, read(accepted), io.EOF)
	assert.NilError(t, accepted.Close())
	assert.ErrorIs(t, read(accepted), net.ErrClosed)

	caller, accepted = accept()
	assert.NilError(t, caller.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, caller.Close())
	err = read(accepted)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Assert(t, errors.As(err, &failure) && failure.Op == "read")
	assert.NilError(t, accepted.Close())
}

// A connection that cannot be asked for unread bytes would be closed with a request on it.
func TestConnectionWithoutASocketIsNotAccepted(t *testing.T) {
	ours, theirs := net.Pipe()
	_, err := newConn(New(), ours, time.Now())
	assert.Assert(t, errorx.IsOfType(err, NoSocket), "%v", err)
	assert.NilError(t, errors.Join(ours.Close(), theirs.Close()))
}

// A request that was read together with the one before was cut off: its connection had no
// unread bytes after the first answer, and counted as idle.
func TestRequestThatWasReadWithAnotherIsAnsweredAsIdleConnectionsClose(t *testing.T) {
	const requests = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
	tracked := New()
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: tracked.Observe}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			tracked.closeIdle()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(tracked.Listener(listener)) }()
	defer func() { assert.NilError(t, server.Close()) }()
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(caller, requests)
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

// acceptOne returns both ends of a tracked connection.
func acceptOne(t *testing.T, tracked *Tracker) (caller, accepted net.Conn) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	caller, err = new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err = tracked.Listener(listener).Accept()
	assert.NilError(t, err)
	return caller, accepted
}

// A VM that was held up for longer than new connections have for their first request cut
// off those that had brought one meanwhile.
func TestNewConnectionWithAnUnreadRequestIsInUse(t *testing.T) {
	tracked := New()
	caller, accepted := acceptOne(t, tracked)
	_, err := io.WriteString(caller, "GET")
	assert.NilError(t, err)
	for !upstream.Readable(accepted.(*conn).Conn) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, tracked.closeUnused(time.Now().Add(2*newConnectionTimeout)), 1)
	read := make([]byte, 8)
	n, err := accepted.Read(read)
	assert.NilError(t, err)
	assert.Equal(t, string(read[:n]), "GET")
	assert.NilError(t, errors.Join(caller.Close(), accepted.Close()))
}

// A new connection without a request stayed open at the end of a drain, and a request that
// came before the server was closed was read and cut off.
func TestNewConnectionWithoutARequestIsClosedBeforeADrainEnds(t *testing.T) {
	tracked := New()
	caller, accepted := acceptOne(t, tracked)
	assert.Equal(t, tracked.closeUnused(time.Now()), 1, "it may still bring a request")
	assert.Equal(t, tracked.closeUnused(time.Now().Add(newConnectionTimeout)), 0)
	_, _ = io.WriteString(caller, "GET")
	_, err := accepted.Read(make([]byte, 8))
	assert.ErrorIs(t, err, net.ErrClosed)
	var failure *net.OpError
	assert.Assert(t, errors.As(err, &failure) && failure.Op == "read", "a server would answer %v", err)
	assert.NilError(t, caller.Close())
}

// protocolServer serves over a tracked listener and returns its URL.
func protocolServer(t *testing.T, tracked *Tracker, encrypted bool, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Listener = tracked.Listener(server.Listener)
	server.Config.ConnState = tracked.Observe
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetHTTP2(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.EnableHTTP2 = true
	if encrypted {
		server.StartTLS()
	} else {
		server.Start()
	}
	t.Cleanup(server.Close)
	return server
}

// protocolTransport returns a transport for one protocol.
func protocolTransport(t *testing.T, server *httptest.Server, set func(*http.Protocols)) *http.Transport {
	t.Helper()
	transport := &http.Transport{Protocols: new(http.Protocols)}
	set(transport.Protocols)
	if server.TLS != nil {
		pool := x509.NewCertPool()
		pool.AddCert(server.Certificate())
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// A handshake or a frame that is no request must not hold up a drain, and a connection
// that carries several requests must not be closed with one of them.
func TestDrainOfEachProtocol(t *testing.T) {
	http1 := func(p *http.Protocols) { p.SetHTTP1(true) }
	for _, c := range []struct {
		name      string
		encrypted bool
		set       func(*http.Protocols)
		// inUse is the number of connections with a request that a drain waits for.
		inUse int
	}{
		{"HTTP/1", false, http1, 1},
		{"HTTP/1 over TLS", true, http1, 1},
		{"HTTP/2", false, func(p *http.Protocols) { p.SetUnencryptedHTTP2(true) }, 0},
		{"HTTP/2 over TLS", true, func(p *http.Protocols) { p.SetHTTP2(true) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracked := New()
			arrived, release := make(chan struct{}), make(chan struct{})
			server := protocolServer(t, tracked, c.encrypted, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/held" {
					close(arrived)
					<-release
				}
				_, _ = io.WriteString(w, r.Proto)
			})
			get := func(transport *http.Transport, path string) string {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+path, nil)
				assert.NilError(t, err)
				response, err := transport.RoundTrip(request)
				if err != nil {
					return err.Error()
				}
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, errors.Join(err, response.Body.Close()))
				return string(body)
			}
			idle, busy := protocolTransport(t, server, c.set), protocolTransport(t, server, c.set)
			proto := get(idle, "/")
			assert.Equal(t, get(busy, "/"), proto)
			answer := make(chan string, 1)
			go func() { answer <- get(busy, "/held") }()
			<-arrived
			tracked.closing.Store(true)
			for tracked.closeUnused(time.Now()) > c.inUse {
				time.Sleep(time.Millisecond)
			}
			close(release)
			assert.Equal(t, <-answer, proto)
			assert.NilError(t, tracked.Drain(t.Context()))
		})
	}
}

// A limit that is not given back would end the service, and one that holds up Accept would
// hold up a stop.
func TestLimitIsGivenBackAndEndsWithItsListener(t *testing.T) {
	const connections = 2
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := New().Listener(Limit(inner.(*net.TCPListener), connections))
	var callers []net.Conn
	for range connections + 1 {
		caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", inner.Addr().String())
		assert.NilError(t, err)
		callers = append(callers, caller)
	}
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			conn, err := listener.Accept()
			if err != nil {
				assert.Check(t, errors.Is(err, net.ErrClosed), "%v", err)
				return
			}
			accepted <- conn
		}
	}()
	first, second := <-accepted, <-accepted
	select {
	case <-accepted:
		t.Fatal("more connections were accepted than allowed")
	case <-time.After(20 * time.Millisecond):
	}
	assert.NilError(t, first.Close())
	third := <-accepted
	// A server closes some connections twice.
	_ = first.Close()
	assert.NilError(t, listener.Close())
	_, more := <-accepted
	assert.Assert(t, !more)
	assert.NilError(t, errors.Join(second.Close(), third.Close()))
	for _, caller := range callers {
		assert.NilError(t, caller.Close())
	}
}
