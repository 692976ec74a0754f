package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	// newConnectionTimeout is how long a new connection may take to bring its first
	// request during a stop. Callers give up on a connection after a second.
	newConnectionTimeout = time.Second
	// drainPollInterval is the time between two checks for connections in use.
	drainPollInterval = 10 * time.Millisecond
)

// connections are the connections of a server. They can be closed without cutting off a
// request: the server either reads none from a connection or answers it.
type connections struct {
	mu   sync.Mutex
	open map[*callerConn]bool
	// closing is set when idle connections are to be closed.
	closing bool
}

func newConnections() *connections { return &connections{open: make(map[*callerConn]bool)} }

// listener returns a listener whose connections are tracked.
func (c *connections) listener(l net.Listener) net.Listener { return trackingListener{l, c} }

// trackingListener tracks the connections that it accepts.
type trackingListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: accepted, since: time.Now()}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	l.connections.open[conn] = true
	return conn, nil
}

// observe records a change of a connection's state. It is called by the server.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	closing := c.closing
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, tracked)
	}
	c.mu.Unlock()
	if state != http.StateIdle {
		return
	}
	tracked.setIdle()
	if closing {
		tracked.closeIfIdle()
	}
}

// closeIdle closes the connections that carry no request, and all others once they do
// not.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for conn := range c.open {
		conn.closeIfIdle()
	}
}

// inUse returns the number of connections that carry a request or may bring their first
// one.
func (c *connections) inUse(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for conn := range c.open {
		if conn.inUse(now) {
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

// phase is what a connection is used for.
type phase int

const (
	// phaseNew is the time before the first byte.
	phaseNew phase = iota
	// phaseRequest is the time from the first byte of a request to its answer.
	phaseRequest
	phaseIdle
	phaseClosed
)

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	since time.Time

	mu    sync.Mutex
	phase phase
}

// Read implements net.Conn. It returns no byte of a request after closeIfIdle has closed
// the connection.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.phase = phaseRequest
	}
	return n, err
}

// CloseWrite lets the server close a connection without a reset that would overtake its
// last answer.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseIdle
}

// closeIfIdle closes the connection if no request has begun to arrive. Bytes that this
// process has not read yet count as a request.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle {
		return
	}
	if upstream.Readable(c.Conn) {
		c.phase = phaseRequest
		return
	}
	c.phase = phaseClosed
	// A failure means that the caller has closed the connection.
	_ = c.Close()
}

func (c *callerConn) inUse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseRequest || c.phase == phaseNew && now.Sub(c.since) < newConnectionTimeout
}
