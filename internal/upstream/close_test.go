package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silent reads requests and answers none.
func silent(_ *testing.T, requests *bufio.Reader, _ net.Conn) {
	for readRequest(requests) {
	}
}

// Guards against a wait for a late response that begins while Close waits for the others, which is a misuse
// of sync.WaitGroup that the race detector reports, and against one that outlives Close.
func TestNoLateResponseIsAwaitedAfterClose(t *testing.T) {
	address := serveBeside(t, silent)
	client := NewClient(Options{DialTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdle: 4})
	var calls sync.WaitGroup
	for i := range 20 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+i)*time.Millisecond)
			defer cancel()
			_, err := client.Do(ctx, address, &Request{Method: "GET", Target: "/", Late: func(*Response) {}})
			assert.Check(t, err != nil)
		})
	}
	// Some calls have been given up by then, others are given up later.
	time.Sleep(30 * time.Millisecond)
	client.Close()
	calls.Wait()
	client.mu.Lock()
	defer client.mu.Unlock()
	assert.Equal(t, client.lateCount, 0)
}
