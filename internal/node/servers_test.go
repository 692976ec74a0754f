package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/callerconn"
)

// A stop that finds nothing to wait for closed the listener a second time while its server
// had not noticed the first, and reported that as a failure of the stop.
func TestDrainWithoutRequestsIsNoFailure(t *testing.T) {
	for range 300 {
		options := testOptions(t)
		s := &callerServer{
			options: &options, connections: callerconn.New(),
			server: newServer(http.NotFoundHandler()),
		}
		assert.NilError(t, s.open(t.Context()))
		assert.NilError(t, s.drain(context.Background()))
	}
}

// The server of the standard library answers some requests itself. Such an answer must neither promise that
// the request has not run, while its caller may send what follows on the connection, nor be a success.
func TestServerItselfNeitherPromisesNorSucceeds(t *testing.T) {
	const head = "Host: h\r\nContent-Length: 2\r\n"
	for name, text := range map[string]string{
		"no request":         "\x00\x01\r\n\r\n",
		"no host":            "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi",
		"two hosts":          "POST / HTTP/1.1\r\nHost: g\r\n" + head + "\r\nhi",
		"two lengths":        "POST / HTTP/1.1\r\nContent-Length: 1\r\n" + head + "\r\nhi",
		"unknown coding":     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\nhi",
		"unknown version":    "POST / HTTP/3.1\r\n" + head + "\r\nhi",
		"unknown expect":     "POST / HTTP/1.1\r\nExpect: x\r\n" + head + "\r\nhi",
		"malformed header":   "POST / HTTP/1.1\r\nx y\r\n" + head + "\r\nhi",
		"header too large":   "POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n" + head + "\r\nhi",
		"options":            "OPTIONS * HTTP/1.1\r\n" + head + "\r\nhi",
		"other protocol":     "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"header that ends":   "POST / HTTP/1.1\r\nHost: h",
		"header that stalls": "POST / HTTP/1.1\r\nHost: h\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
				ours, theirs := net.Pipe()
				listener := &singleListener{conn: theirs, closed: make(chan struct{})}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_ = server.Serve(listener)
				}()
				go func() {
					_, _ = io.WriteString(ours, text)
					if name == "header that ends" {
						_ = ours.Close()
					}
				}()
				answer, err := http.ReadResponse(bufio.NewReader(ours), nil)
				if err == nil {
					assert.NilError(t, answer.Body.Close())
					promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
					assert.Assert(t, !slices.Contains(promises, answer.StatusCode), answer.Status)
					assert.Assert(t, answer.StatusCode >= http.StatusMultipleChoices, answer.Status)
				}
				assert.NilError(t, ours.Close())
				assert.NilError(t, server.Close())
				<-ended
				// The server waits before it closes a connection after an answer to a malformed request.
				time.Sleep(time.Minute)
			})
		})
	}
}

// singleListener accepts one connection.
type singleListener struct {
	conn   net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *singleListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *singleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }
