package callerconn

import (
	"net"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

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

// conn is a connection of a caller.
type conn struct {
	net.Conn
	since time.Time

	mu    sync.Mutex
	phase phase
}

// Read implements net.Conn. It returns no byte of a request after closeIfIdle has closed
// the connection.
func (c *conn) Read(b []byte) (int, error) {
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
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseIdle
}

// closeIfIdle closes the connection if no request has begun to arrive. Bytes that this
// process has not read yet count as a request.
func (c *conn) closeIfIdle() {
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

func (c *conn) inUse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseRequest || c.phase == phaseNew && now.Sub(c.since) < newConnectionTimeout
}
