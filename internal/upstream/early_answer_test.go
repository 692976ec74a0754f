package upstream

import (
	"bufio"
	"errors"
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

const (
	// blockedUploadBytes is the length of a body that no pair of socket buffers holds, so that its write lasts until
	// the endpoint reads it.
	blockedUploadBytes = 8 << 20
	// bufferedUploadBytes is the length of a body that the buffer of the sender holds and that of the receiver does
	// not: its write ends long before the endpoint has it.
	bufferedUploadBytes = 1 << 20
	// partBytes is the part of an upload that an endpoint reads before it ends the connection.
	partBytes = 32 << 10
	// endingPause is the time after which an endpoint resets a connection, so that the client has read its answer.
	endingPause = 2 * time.Millisecond
	// earlyRounds is how often each case is played, since it is a race which call gets the error of a reset.
	earlyRounds = 2
)

// ending ends a connection on which an endpoint has answered before it has read the request's body.
type ending struct {
	name string
	end  func(conn *net.TCPConn, unread io.Reader)
	// inOrder is set if the endpoint reads the whole request and closes the connection after its answer.
	inOrder bool
}

var endings = []ending{
	{"reset", func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }, false},
	{"reset after a pause", func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(endingPause)
		_ = conn.SetLinger(0)
	}, false},
	{"closed with unread bytes", func(*net.TCPConn, io.Reader) {}, false},
	{"reset after a part of the upload", func(conn *net.TCPConn, unread io.Reader) {
		_, _ = io.CopyN(io.Discard, unread, partBytes)
		_ = conn.SetLinger(0)
	}, false},
	{"closed for writing, then reset", func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(endingPause)
		_ = conn.SetLinger(0)
	}, false},
	{"closed after the upload", func(_ *net.TCPConn, unread io.Reader) { _, _ = io.Copy(io.Discard, unread) }, true},
	{"closed for writing, then read to the end", func(conn *net.TCPConn, unread io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, unread)
	}, true},
}

// earlyContent is the whole body of early answers.
const earlyContent = "the whole answer"

// earlyAnswers are early answers by their framing.
var earlyAnswers = map[string]string{
	"unframed":           "HTTP/1.1 200 OK\r\n\r\n" + earlyContent,
	"unframed, last one": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + earlyContent,
	"unframed, HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n" + earlyContent,
	"unframed, refusal":  "HTTP/1.1 503 Full\r\n\r\n" + earlyContent,
	"length":             "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + earlyContent,
	"chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + earlyContent + "\r\n0\r\n\r\n",
}

// upload sends a body and returns what the client makes of the answer.
func upload(t *testing.T, client *Client, address string, body []byte) (string, error) {
	t.Helper()
	// The endpoint closes each connection, so that none may be used again.
	response, err := client.Do(t.Context(), address, &Request{
		Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: body, NewConnection: true,
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	answer, err := io.ReadAll(response)
	return string(answer), err
}

// Guards against a truncated answer that counts as complete: an answer without framing ended with a reset, and the
// write of the request's body had taken the socket's error, so that the read of the answer got an end of file.
func TestEarlyAnswerThatBreaksOffDuringTheUploadIsNotComplete(t *testing.T) {
	var text atomic.Pointer[string]
	var end atomic.Pointer[ending]
	address := serve(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		writeReply(conn, *text.Load())
		end.Load().end(conn.(*net.TCPConn), request.Body)
	})
	client := newTestClient(t)
	for name, whole := range earlyAnswers {
		framed := !strings.Contains(name, "unframed")
		for _, cut := range []int{0, 1, len(earlyContent) - 1, len(earlyContent)} {
			answer := whole
			if cut < len(earlyContent) {
				answer = whole[:strings.Index(whole, earlyContent)+cut]
			}
			text.Store(&answer)
			for i := range endings {
				end.Store(&endings[i])
				wanted := cut == len(earlyContent)
				if !framed {
					wanted = cut > 0 && endings[i].inOrder
				}
				for _, size := range []int{blockedUploadBytes, bufferedUploadBytes} {
					complete := 0
					for range earlyRounds {
						if got, err := upload(t, client, address, make([]byte, size)); err == nil {
							complete++
							assert.Equal(t, got, earlyContent[:cut], name)
						}
					}
					play := fmt.Sprintf("%s, %d of its bytes, %s, upload of %d bytes", name, cut, endings[i].name, size)
					assert.Check(t, complete == 0 || wanted, "%s: complete in %d of %d plays", play, complete, earlyRounds)
					assert.Check(t, complete == earlyRounds || !wanted, "%s: complete in %d of %d plays", play, complete, earlyRounds)
				}
			}
		}
	}
}

// bareConn hides the socket of a connection, so that the kernel's state of it is not known.
type bareConn struct{ net.Conn }

// Guards against a truncated answer that counts as complete if only the write of the request shows the reset, and against
// an end of file that follows the error.
func TestFailedUploadEndsAnAnswerWithoutFraming(t *testing.T) {
	const rounds = 10
	address := serve(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		if _, err := http.ReadRequest(requests); err == nil {
			writeReply(conn, earlyAnswers["unframed"])
		}
	})
	client := newTestClient(t)
	for range rounds {
		socket, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		assert.NilError(t, err)
		k := newConn(client, address, bareConn{socket})
		response, err := k.exchange(t.Context(), &Request{
			Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: make([]byte, blockedUploadBytes), NewConnection: true,
		})
		if err != nil {
			k.close()
			continue
		}
		body, err := io.ReadAll(response)
		assert.Check(t, err != nil, "body %q is complete", body)
		_, err = response.Read(make([]byte, 1))
		assert.Check(t, err != nil && !errors.Is(err, io.EOF), "a further read: %v", err)
		response.Close()
	}
}
