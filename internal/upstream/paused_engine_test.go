package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// testUnackedTimeout is the time after which a peer that acknowledges nothing is given up.
	testUnackedTimeout = time.Second
	// engineReceiveBytes limits what the kernel of a paused engine takes of a request.
	engineReceiveBytes = 64 << 10
	// longBodyBytes is the size of a body that the buffers of both sides do not hold.
	longBodyBytes = 1 << 20
)

// slowReader listens for one request and lets serve handle its connection.
func slowReader(t *testing.T, serve func(connection net.Conn)) (address string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_ = connection.(*net.TCPConn).SetReadBuffer(engineReceiveBytes)
		serve(connection)
		_ = connection.Close()
	}()
	t.Cleanup(func() {
		assert.NilError(t, listener.Close())
		<-served
	})
	return listener.Addr().String()
}

// exchangeLongBody sends a request with a long body and returns the whole answer.
func exchangeLongBody(t *testing.T, address string) (string, error) {
	t.Helper()
	client := NewClient(Options{
		DialTimeout: time.Minute, UnackedTimeout: testUnackedTimeout, IdleTimeout: time.Minute, MaxIdle: 1,
	})
	defer client.Close()
	response, err := client.Do(t.Context(), address, &Request{
		Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: make([]byte, longBodyBytes),
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// A sound engine that paused before it had read a long body lost its request: the kernel
// gave up the connection because the engine took no bytes, although it acknowledged them.
func TestLongBodyIsNotGivenUpWhileItsEnginePauses(t *testing.T) {
	address := slowReader(t, func(connection net.Conn) {
		time.Sleep(2 * testUnackedTimeout)
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
		}
	})
	answer, err := exchangeLongBody(t, address)
	assert.NilError(t, err)
	assert.Equal(t, answer, "done")
}

// An engine may answer before it has read a long body and read on later. Its stream was cut
// although it sent events all the while.
func TestStreamOfAnEngineThatReadsALongBodyLaterIsNotCut(t *testing.T) {
	const events = 8
	want := ""
	for n := range events {
		want += fmt.Sprintf("id: %d\n\n", n)
	}
	address := slowReader(t, func(connection net.Conn) {
		reader := bufio.NewReader(connection)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n := range events {
			time.Sleep(testUnackedTimeout / 4)
			event := fmt.Sprintf("id: %d\n\n", n)
			_, _ = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(connection, "0\r\n\r\n")
		_, _ = io.Copy(io.Discard, request.Body)
	})
	answer, err := exchangeLongBody(t, address)
	assert.NilError(t, err)
	assert.Equal(t, answer, want)
}
