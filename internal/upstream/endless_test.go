package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

const (
	endlessHead   = "HTTP/1.1 200 OK\r\n" + testIDHeader + ": 1\r\n"
	endlessChunks = endlessHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// endless are parts of a response that an endpoint sends without end: a beginning, and what is repeated. Bodies are
// bounded by their readers.
var endless = map[string][2]string{
	"no HTTP":                       {"", "x"},
	"empty lines":                   {"", "\r\n"},
	"status line":                   {"HTTP/1.1 200 ", "x"},
	"header line":                   {endlessHead + "A: ", "x"},
	"header lines":                  {endlessHead, "A: b\r\n"},
	"short header lines":            {endlessHead, "a:\n"},
	"continued header line":         {endlessHead + "A: b\r\n", " c\r\n"},
	"interim responses":             {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"interim responses with fields": {"", "HTTP/1.1 103 Early Hints\r\nLink: <" + strings.Repeat("x", 1000) + ">\r\n\r\n"},
	"header of an interim response": {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
	"trailer lines":                 {endlessChunks + "0\r\n", "A: b\r\n"},
	"trailer line":                  {endlessChunks + "0\r\nA: ", "x"},
	"chunk extension":               {endlessChunks + "1;", "x"},
	"chunk extensions":              {endlessChunks, "1;" + strings.Repeat("x", 100) + "\r\ny\r\n"},
	"size of a chunk":               {endlessChunks, "0"},
}

// An endpoint sent bytes that were no answer, without end, until its caller closed. The VM kept them, or read on for
// as long as the request had time.
func TestExchangeEndsByItselfIfTheResponseDoesNot(t *testing.T) {
	for name, part := range endless {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			client := newMatchingClient(t)
			address, stop, err := rawconn.Serve(t.Context(), rawconn.Endless(testIDHeader, part[0], part[1], cancel))
			assert.NilError(t, err)
			t.Cleanup(stop)
			_, err = call(ctx, client, address, "1", false)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the exchange went on: %v", err)
			assert.Assert(t, !errorx.IsOfType(err, NotSent))
			client.mu.Lock()
			defer client.mu.Unlock()
			assert.Equal(t, client.idleTotal, 0, "the connection is used again")
		})
	}
}

// Many connections to faulty endpoints at once must fit into the smallest VM's 112 MB, of which the process itself
// takes 30 MB.
func TestManyEndlessHeadsFitIntoTheSmallestVM(t *testing.T) {
	const connections, most = 600, 40 << 20
	reached := make(chan struct{}, connections)
	head := longestHead()
	address := serveBeside(t, func(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = conn.Write([]byte(head))
		reached <- struct{}{}
		_, _ = requests.ReadByte()
	})
	client := newMatchingClient(t)
	before := liveHeap()
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _, _ = call(ctx, client, address, "1", false) })
	}
	for range connections {
		<-reached
	}
	grown := liveHeap() - before
	cancel()
	calls.Wait()
	assert.Assert(t, grown < most, "%d bytes for %d connections", grown, connections)
}

// longestHead returns a head of different short lines that is as long as possible and does not end.
func longestHead() string {
	head := endlessHead
	for n := strings.Count(head, "\n"); n < maxHeadLines-1 && len(head) < maxHeadBytes-64; n++ {
		head += fmt.Sprintf("a%d: %s\n", n, strings.Repeat("x", maxHeadBytes/maxHeadLines-10))
	}
	return head
}

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
