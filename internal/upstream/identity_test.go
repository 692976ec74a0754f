package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

const testIDHeader = "Test-Id"

func newMatchingClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(Options{
		DialTimeout: time.Minute, UnackedTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdle: 4, IDHeader: testIDHeader,
	})
	t.Cleanup(client.Close)
	return client
}

// serveBeside is serve with connections that are served concurrently.
func serveBeside(t *testing.T, scripts ...script) string {
	t.Helper()
	address, stop, err := rawconn.Serve(t.Context(), func(number int, requests *bufio.Reader, conn net.Conn) {
		scripts[min(number, len(scripts)-1)](t, requests, conn)
	})
	assert.NilError(t, err)
	t.Cleanup(stop)
	return address
}

// call sends a request with an ID, or without one if it is empty, and returns the status.
func call(ctx context.Context, client *Client, address, id string, optional bool) (int, error) {
	header := http.Header{}
	if id != "" {
		header.Set(testIDHeader, id)
	}
	response, err := client.Do(ctx, address, &Request{Method: http.MethodPost, Target: "/", Header: header, IDOptional: optional})
	if err != nil {
		return 0, err
	}
	defer response.Close()
	_, err = io.Copy(io.Discard, response)
	return response.Status, err
}

// message returns a response without a body; it names no request if the ID is empty.
func message(status int, id string) string {
	named := ""
	if id != "" {
		named = testIDHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: 0\r\n\r\n", status, named)
}

// refusesTwice refuses the first request of each connection. It writes the refusal once more
// when the second one has arrived, before the response to that.
func refusesTwice(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return
	}
	refusal := message(http.StatusServiceUnavailable, request.Header.Get(testIDHeader))
	writeReply(conn, refusal)
	if request, err = http.ReadRequest(requests); err == nil {
		writeReply(conn, refusal+message(http.StatusOK, request.Header.Get(testIDHeader)))
		_, _ = requests.ReadByte()
	}
}

// A refusal that was written once more was taken for the response to the next call, which the
// endpoint ran.
func TestRefusalWrittenAgainIsNotTheResponseToTheNextCall(t *testing.T) {
	for _, c := range []struct{ name, first, second string }{
		{"other ID", "1", "2"},
		{"same ID", "1", "1"},
		{"call without an ID before", "", "2"},
		{"call without an ID after", "1", ""},
		{"calls without IDs", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serveBeside(t, refusesTwice, func(t *testing.T, requests *bufio.Reader, conn net.Conn) {
				request, err := http.ReadRequest(requests)
				assert.NilError(t, err)
				writeReply(conn, message(http.StatusOK, request.Header.Get(testIDHeader)))
			})
			client := newMatchingClient(t)
			status, err := call(t.Context(), client, address, c.first, false)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			status, err = call(t.Context(), client, address, c.second, false)
			if err != nil {
				assert.Assert(t, errorx.IsOfType(err, Foreign), "%v", err)
				assert.Equal(t, client.Counters.Foreign.Load(), int64(1))
				return
			}
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, client.Counters.Dialed.Load(), int64(2))
		})
	}
}

// A response that names no request could be an earlier one, unless its connection has carried no
// other request.
func TestResponseWithoutIDCountsOnlyOnANewConnection(t *testing.T) {
	nameless := func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		for readRequest(requests) {
			writeReply(conn, message(http.StatusOK, ""))
		}
	}
	address := serveBeside(t, nameless)
	client := newMatchingClient(t)
	for id := range 3 {
		_, err := call(t.Context(), client, address, fmt.Sprint(id), true)
		assert.NilError(t, err)
	}
	assert.Equal(t, client.Counters.Dialed.Load(), int64(3))
	_, err := call(t.Context(), client, address, "3", false)
	assert.Assert(t, errorx.IsOfType(err, Foreign), "%v", err)
}

// Connections whose endpoint names requests stay in use, but not without end: the IDs of their
// requests take memory.
func TestMatchedConnectionCarriesALimitedNumberOfRequests(t *testing.T) {
	naming := func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			writeReply(conn, message(http.StatusOK, request.Header.Get(testIDHeader)))
		}
	}
	address := serveBeside(t, naming)
	client := newMatchingClient(t)
	for id := range maxCarried + 1 {
		_, err := call(t.Context(), client, address, fmt.Sprint(id), false)
		assert.NilError(t, err)
	}
	assert.Equal(t, client.Counters.Dialed.Load(), int64(2))
}

// A late refusal of an earlier request would be recorded as that of the request given up.
func TestLateResponseToAnotherRequestIsDropped(t *testing.T) {
	arrived, given := make(chan struct{}), make(chan struct{})
	address := serve(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		if readRequest(requests) {
			close(arrived)
			<-given
			writeReply(conn, message(http.StatusServiceUnavailable, "earlier"))
			_, _ = requests.ReadByte()
		}
	})
	client := newMatchingClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := client.Do(ctx, address, &Request{
		Method: http.MethodPost, Target: "/", Header: http.Header{testIDHeader: {"1"}},
		Late: func(*Response) { t.Error("the response was taken") },
	})
	assert.Assert(t, errorx.IsOfType(err, GivenUp), "%v", err)
	close(given)
	client.Close()
	assert.Equal(t, client.Counters.Late.Load(), int64(0))
	assert.Equal(t, client.Counters.Foreign.Load(), int64(1))
}

// A response that names a request could be taken for that to a call without an ID.
func TestResponseWithAnIDIsNotThatToACallWithoutOne(t *testing.T) {
	address := serve(t, always(message(http.StatusOK, "1")))
	client := newMatchingClient(t)
	_, err := call(t.Context(), client, address, "", false)
	assert.Assert(t, errorx.IsOfType(err, Foreign), "%v", err)
}
