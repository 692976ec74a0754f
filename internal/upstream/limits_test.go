package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// naming answers each request with its ID.
func naming(_ *testing.T, requests *bufio.Reader, conn net.Conn) {
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		writeReply(conn, message(http.StatusOK, request.Header.Get(testIDHeader)))
	}
}

// Idle connections to many addresses would take descriptors without end.
func TestIdleConnectionsToAllAddressesAreLimited(t *testing.T) {
	client := NewClient(Options{
		DialTimeout: time.Minute, IdleTimeout: time.Hour, MaxIdle: 4, MaxIdleTotal: 2, IDHeader: testIDHeader,
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	addresses := []string{serveBeside(t, naming), serveBeside(t, naming), serveBeside(t, naming)}
	for round := range 2 {
		for i, address := range addresses {
			_, err := call(t.Context(), client, address, fmt.Sprint(round, i), false)
			assert.NilError(t, err)
		}
	}
	// The third address found the pool full twice.
	assert.Equal(t, client.Counters.Dialed.Load(), int64(4))
	assert.Equal(t, client.Counters.Reused.Load(), int64(2))
	stop()
	<-ended
	assert.Equal(t, client.idleTotal, 0)
}

// Run closes connections that are not used; without it they stay open until their endpoint closes
// them.
func TestRunClosesExpiredConnections(t *testing.T) {
	client := NewClient(Options{DialTimeout: time.Minute, IdleTimeout: time.Millisecond, MaxIdle: 4})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	_, err := call(t.Context(), client, serveBeside(t, naming), "1", false)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		client.mu.Lock()
		defer client.mu.Unlock()
		if client.idleTotal > 0 {
			return poll.Continue("%d idle connections", client.idleTotal)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	stop()
	<-ended
}

// A request that may run once shares its connection neither with those before it nor after it.
func TestNewConnectionCarriesNoOtherRequest(t *testing.T) {
	address := serveBeside(t, naming)
	client := newMatchingClient(t)
	for id, alone := range []bool{false, true, false} {
		response, err := client.Do(t.Context(), address, &Request{
			Method: http.MethodPost, Target: "/", Header: http.Header{testIDHeader: {fmt.Sprint(id)}}, NewConnection: alone,
		})
		assert.NilError(t, err)
		_, _ = response.Read(make([]byte, 1))
		response.Close()
	}
	assert.Equal(t, client.Counters.Dialed.Load(), int64(2))
	assert.Equal(t, client.Counters.Reused.Load(), int64(1))
}
