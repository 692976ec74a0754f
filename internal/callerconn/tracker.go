// Package callerconn tracks the connections of an HTTP server below it, so that a stop
// closes none from which a request has been read.
//
// The standard library's shutdown drops HTTP/1 requests that it has just read.
package callerconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// newConnectionTimeout is how long a new connection may take to bring its first
	// request during a stop. Callers give up on a connection after a second.
	newConnectionTimeout = time.Second
	// drainPollInterval is the time between two checks for connections in use.
	drainPollInterval = 10 * time.Millisecond
)

// Tracker tracks the connections of one server. It can close them without cutting off a
// request: the server either reads none from a connection or answers it.
type Tracker struct {
	mu   sync.Mutex
	open map[*conn]bool
	// closing is set when idle connections are to be closed.
	closing atomic.Bool
}

// New returns a tracker without connections.
func New() *Tracker { return &Tracker{open: make(map[*conn]bool)} }

// Listener returns a listener whose connections are tracked. They must be those of sockets
// (syscall.Conn); Accept fails with an error of type NoSocket otherwise.
func (t *Tracker) Listener(l net.Listener) net.Listener { return trackingListener{l, t} }

// trackingListener tracks the connections that it accepts.
type trackingListener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked, err := newConn(l.tracker, accepted, time.Now())
	if err != nil {
		return nil, errors.Join(err, accepted.Close())
	}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.open[tracked] = true
	return tracked, nil
}

// Observe records a change of a connection's state. It is meant for http.Server.ConnState.
func (t *Tracker) Observe(changed net.Conn, state http.ConnState) {
	encrypted, ok := changed.(*tls.Conn)
	if ok {
		changed = encrypted.NetConn()
	}
	tracked, ok := changed.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		if encrypted != nil {
			tracked.setEncrypted()
		}
	case http.StateActive:
		tracked.setPhase(phaseOr(phaseRequest, encrypted))
	case http.StateIdle:
		tracked.setPhase(phaseOr(phaseAnswered, encrypted))
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, tracked)
	}
}

// http2Protocol is the name by which TLS negotiates HTTP/2.
const http2Protocol = "h2"

// phaseOr returns a phase of a connection of HTTP/1, or phaseMultiplexed if TLS has
// negotiated HTTP/2. The TLS connection may be nil.
func phaseOr(p phase, encrypted *tls.Conn) phase {
	if encrypted != nil && encrypted.ConnectionState().NegotiatedProtocol == http2Protocol {
		return phaseMultiplexed
	}
	return p
}

// Drain closes the connections that carry no request, and all others once they do not. It
// waits until none is left; the error is that of ctx if it ends before. The listener must
// be closed and its accept loop must have ended. HTTP/2 connections are left to the server:
// its own shutdown answers what it has read from them.
func (t *Tracker) Drain(ctx context.Context) error {
	t.closing.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for t.closeUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeUnused closes the connections that carry no request and returns the number of
// those that do or may bring their first one.
func (t *Tracker) closeUnused(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for conn := range t.open {
		if conn.closeIfUnused(now) {
			count++
		}
	}
	return count
}
