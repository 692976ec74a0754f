package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnectionTimeout is how long a new connection may take to bring its first
	// request during a stop. Callers give up on a connection after a second.
	newConnectionTimeout = time.Second
	// drainPollInterval is the time between two checks for connections in use.
	drainPollInterval = 10 * time.Millisecond
)

// connections tracks the connections of a server that may still bring a request or
// carry an answer.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]connection
}

// connection is the state of a connection that is new or carries a request.
type connection struct {
	active bool
	since  time.Time
}

func newConnections() *connections { return &connections{open: make(map[net.Conn]connection)} }

// observe records a change of a connection's state. It is called by the server.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.open[conn] = connection{active: state == http.StateActive, since: time.Now()}
	default:
		delete(c.open, conn)
	}
}

// inUse returns the number of connections that carry a request or may bring their first
// one.
func (c *connections) inUse(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, k := range c.open {
		if k.active || now.Sub(k.since) < newConnectionTimeout {
			count++
		}
	}
	return count
}

// await waits until no connection is in use. The error is that of ctx.
func (c *connections) await(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for c.inUse(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
