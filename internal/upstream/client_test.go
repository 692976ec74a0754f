package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script answers the requests of one connection, which is closed when it returns.
type script func(t *testing.T, requests *bufio.Reader, conn net.Conn)

// serve accepts connections and runs one script on each; all further connections
// use the last script. It returns the address.
func serve(t *testing.T, scripts ...script) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	go func() {
		defer close(done)
		for accepted := 0; ; accepted++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			run := scripts[min(accepted, len(scripts)-1)]
			run(t, bufio.NewReader(conn), conn)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(requests *bufio.Reader) bool {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// writeReply writes a reply to the connection.
func writeReply(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// always returns a script that sends the same answer to every request.
func always(answer string) script {
	return func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		for readRequest(requests) {
			writeReply(conn, answer)
		}
	}
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(Options{DialTimeout: time.Minute, UnackedTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdle: 4})
	t.Cleanup(client.Close)
	return client
}

func get(ctx context.Context, client *Client, address string) (string, error) {
	response, err := client.Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestConnectionIsReusedAfterACompleteAnswer(t *testing.T) {
	address := serve(t, always(okAnswer))
	client := newTestClient(t)
	for range 3 {
		body, err := get(t.Context(), client, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, client.Counters.Dialed.Load(), int64(1))
	assert.Equal(t, client.Counters.Reused.Load(), int64(2))
}

func TestStrayBytesAreNoAnswerToTheNextRequest(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	address := serve(t, always(okAnswer+stray), always(okAnswer))
	client := newTestClient(t)
	for range 2 {
		body, err := get(t.Context(), client, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, client.Counters.Dialed.Load(), int64(2))
}

func TestBytesThatComeLateEndTheConnection(t *testing.T) {
	sent := make(chan struct{})
	late := func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		readRequest(requests)
		writeReply(conn, okAnswer)
		writeReply(conn, "HTTP/1.1 200 OK\r\n")
		close(sent)
		_, _ = requests.ReadByte()
	}
	address := serve(t, late, always(okAnswer))
	client := newTestClient(t)
	_, err := get(t.Context(), client, address)
	assert.NilError(t, err)
	<-sent
	body, err := get(t.Context(), client, address)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, client.Counters.Dialed.Load(), int64(2))
}

func TestOutcomeOfFailures(t *testing.T) {
	silent := func(_ *testing.T, requests *bufio.Reader, _ net.Conn) { readRequest(requests) }
	address := serve(t, silent)
	client := newTestClient(t)
	_, err := get(t.Context(), client, address)
	assert.Assert(t, errorx.IsOfType(err, InDoubt), "%v", err)

	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = get(t.Context(), client, listener.Addr().String())
	assert.Assert(t, errorx.IsOfType(err, NotSent), "%v", err)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		cut := func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
			readRequest(requests)
			writeReply(conn, answer)
		}
		address := serve(t, cut)
		_, err := get(t.Context(), newTestClient(t), address)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, name)
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	unframed := func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		readRequest(requests)
		writeReply(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
	}
	address := serve(t, unframed)
	client := newTestClient(t)
	response, err := client.Do(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	assert.NilError(t, err)
	assert.Assert(t, !response.Framed)
	body, err := io.ReadAll(response)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	response.Close()
	assert.Equal(t, len(client.idle), 0)
}

func TestCancelClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	hang := func(_ *testing.T, requests *bufio.Reader, _ net.Conn) {
		readRequest(requests)
		close(arrived)
		_, _ = requests.ReadByte()
		close(closed)
	}
	address := serve(t, hang)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := get(ctx, newTestClient(t), address)
	assert.Assert(t, errorx.IsOfType(err, InDoubt), "%v", err)
	<-closed
}

func TestConnectionWithAnUnsentBodyIsNotReused(t *testing.T) {
	early := func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		writeReply(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, requests)
	}
	address := serve(t, early, always(okAnswer))
	client := newTestClient(t)
	response, err := client.Do(t.Context(), address, &Request{
		Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: make([]byte, 32<<20),
	})
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusBadRequest)
	_, err = io.ReadAll(response)
	assert.NilError(t, err)
	response.Close()
	body, err := get(t.Context(), client, address)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, client.Counters.Dialed.Load(), int64(2))
}

func TestIdleTimeIsBoundedByRequestAndEndpoint(t *testing.T) {
	address := serve(t, always("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=8\r\n\r\nok"))
	client := newTestClient(t)
	_, err := get(t.Context(), client, address)
	assert.NilError(t, err)
	pooled := client.idle[address][0]
	assert.Equal(t, pooled.expires.Sub(pooled.idleSince), 6*time.Second)

	pooled.idleSince = pooled.idleSince.Add(-time.Second)
	assert.Assert(t, client.takeIdle(address, 500*time.Millisecond, "") == nil, "idle for too long for this request")
}

// A pending read does not detect that a connection was cut without notice; only
// keep-alive probes from this side do.
func TestSilentConnectionsAreProbed(t *testing.T) {
	address := serve(t, always(okAnswer))
	for period, want := range map[time.Duration]int{0: 0, 2 * time.Second: 2} {
		client := NewClient(Options{DialTimeout: time.Minute, UnackedTimeout: time.Minute, ProbePeriod: period})
		connection, err := client.dial(t.Context(), address)
		assert.NilError(t, err)
		raw, err := connection.socket.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		assert.NilError(t, raw.Control(func(fd uintptr) {
			enabled, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
			assert.NilError(t, err)
			assert.Equal(t, enabled, min(want, 1))
			if want == 0 {
				return
			}
			interval, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
			assert.NilError(t, err)
			assert.Equal(t, interval, want)
		}))
		connection.close()
	}
}

// The look whether a request may still be sent comes after the connection is open: opening it takes time, in
// which an endpoint may have asked for no requests.
func TestPermitIsAskedOnceTheConnectionIsOpen(t *testing.T) {
	received := make(chan bool, 1)
	address := serve(t, func(_ *testing.T, requests *bufio.Reader, _ net.Conn) { received <- readRequest(requests) })
	client := newTestClient(t)
	request := &Request{Method: http.MethodGet, Target: "/", Header: http.Header{}}
	request.Permit = func() error {
		assert.Equal(t, client.Counters.Dialed.Load(), int64(1))
		return errors.New("not now")
	}
	_, err := client.Do(t.Context(), address, request) //nolint:bodyclose // There is no response.
	assert.Assert(t, errorx.IsOfType(err, Withheld) && errorx.IsOfType(err, NotSent), "%v", err)
	assert.Assert(t, !<-received, "bytes of the request reached the endpoint")
}

// An endpoint may have answered while its request is given up. What it says of itself in that answer was lost
// with the connection. The request must be given up at once all the same, and the endpoint must see that.
func TestAnswerToARequestThatWasGivenUpIsReported(t *testing.T) {
	for name, answer := range map[string]string{"answered": "HTTP/1.1 503 No\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n", "silent": ""} {
		t.Run(name, func(t *testing.T) {
			givenUp, sawEnd := make(chan struct{}), make(chan bool, 1)
			ctx, cancel := context.WithCancel(t.Context())
			address := serve(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
				readRequest(requests)
				cancel()
				<-givenUp
				_, err := requests.ReadByte()
				sawEnd <- errors.Is(err, io.EOF)
				writeReply(conn, answer)
			})
			client := newTestClient(t)
			late := make(chan *Response, 1)
			request := &Request{Method: http.MethodGet, Target: "/", Header: http.Header{}, Late: func(r *Response) { late <- r }}
			_, err := client.Do(ctx, address, request) //nolint:bodyclose // There is no response.
			assert.Assert(t, errorx.IsOfType(err, InDoubt), "%v", err)
			close(givenUp)
			assert.Assert(t, <-sawEnd, "the endpoint must see that the request was given up")
			if answer == "" {
				client.Close()
				assert.Equal(t, len(late), 0)
				return
			}
			response := <-late
			assert.Equal(t, response.Status, http.StatusServiceUnavailable)
			assert.Equal(t, response.Header.Get("Retry-After"), "5")
		})
	}
}
