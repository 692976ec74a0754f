// Package repeated simulates endpoints that write a refusal once more on a connection that is kept.
package repeated

import (
	"bytes"
	"net"
	"sync"
)

// Mode is when the refusal is written once more. It is written as soon as the next request on its
// connection arrives.
type Mode int

// The modes.
const (
	// Before is before the response to that request.
	Before Mode = iota
	// Instead is in place of that response.
	Instead
)

// Modes are all modes by their names.
var Modes = map[string]Mode{"before": Before, "instead": Instead}

// Listener repeats refusals on its connections, each once.
type Listener struct {
	net.Listener
	Mode Mode
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, mode: l.Mode}, nil
}

// refusals are the beginnings of the responses that are repeated.
var refusals = [][]byte{[]byte("HTTP/1.1 421 "), []byte("HTTP/1.1 429 "), []byte("HTTP/1.1 503 ")}

// conn is a connection of a server that writes a response without a long body at once.
type conn struct {
	net.Conn
	mode Mode
	mu   sync.Mutex
	// refusal is the last response if it was a refusal that has not been repeated.
	refusal []byte
	// silent is set while the response is dropped.
	silent bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.silent = c.refusal != nil && c.mode == Instead
		_, _ = c.Conn.Write(c.refusal)
		c.refusal = nil
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	for _, beginning := range refusals {
		if bytes.HasPrefix(p, beginning) {
			c.refusal = bytes.Clone(p)
		}
	}
	return n, err
}
