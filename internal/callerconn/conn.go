package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseNew is the time before the first byte.
	phaseNew phase = iota
	// phaseRequest is the time from the first byte of a request to its answer.
	phaseRequest
	// phaseAnswered is the time from an answer until the server needs more bytes. It may
	// have read the next request with the last one.
	phaseAnswered
	// phaseIdle is the time in which the server waits for the next request.
	phaseIdle
	phaseClosed
	// phaseMultiplexed is that of an HTTP/2 connection. The server ends it by itself once
	// its requests are answered.
	phaseMultiplexed
)

// http2Preface begins an HTTP/2 connection without TLS. The server reads just these bytes
// first.
const http2Preface = "PRI * HTTP/2.0"

// readOperation is the operation in the errors of a read.
const readOperation = "read"

// conn is a connection of a caller.
type conn struct {
	net.Conn
	tracker *Tracker
	socket  syscall.RawConn

	// reading is held during a read. buffer, received and failure are its argument and its
	// outcome, try is tryRead; they are kept here so that a read allocates nothing.
	reading  sync.Mutex
	buffer   []byte
	received int
	failure  error
	try      func(fd uintptr) bool

	mu    sync.Mutex
	phase phase
	// encrypted is set if the bytes are those of TLS, whose handshake is no request.
	encrypted bool
	// preface are the bytes that would complete http2Preface, empty once others have come.
	preface string
	// since is the time of the accept, or of the latest byte of the handshake.
	since time.Time
}

// newConn returns a tracked connection. The error is of type NoSocket.
func newConn(t *Tracker, accepted net.Conn, now time.Time) (*conn, error) {
	socket, ok := accepted.(syscall.Conn)
	if !ok {
		return nil, NoSocket.New("connection of type %T", accepted)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, NoSocket.Wrap(err, "connection from %s", accepted.RemoteAddr())
	}
	c := &conn{Conn: accepted, tracker: t, socket: raw, preface: http2Preface, since: now}
	c.try = c.tryRead
	return c, nil
}

// Read implements net.Conn. It returns no byte of a request once the connection was found
// idle during a stop; the server closes it then.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.buffer = b
	err := c.socket.Read(c.try)
	c.buffer = nil
	if err != nil {
		return 0, asReadError(err)
	}
	return c.received, c.failure
}

// tryRead receives what has arrived and reports whether the read is over.
func (c *conn) tryRead(fd uintptr) bool {
	c.received, c.failure = c.receive(int(fd), c.buffer)
	return !errors.Is(c.failure, unix.EAGAIN)
}

// asReadError gives the error of waiting for bytes the operation of a read.
func asReadError(err error) error {
	var failure *net.OpError
	if errors.As(err, &failure) {
		failure.Op = readOperation
	}
	return err
}

// receive reads what has arrived. The bytes are taken from the socket and recorded as a
// request under one lock: a process may be held up between any two of its steps, and
// endIfUnused would take the connection for an idle one in between. The error is
// unix.EAGAIN if nothing has arrived.
func (c *conn) receive(fd int, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosed {
		return 0, c.readError(net.ErrClosed)
	}
	n, err := unix.Read(fd, b)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(fd, b)
	}
	switch {
	case errors.Is(err, unix.EAGAIN):
		return 0, c.awaitRequest()
	case err != nil:
		return 0, c.readError(os.NewSyscallError("read", err))
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	if n > 0 {
		c.record(b[:n])
	}
	return n, nil
}

// record records that bytes were read. The lock must be held.
func (c *conn) record(read []byte) {
	switch {
	case c.phase == phaseMultiplexed:
	case c.phase == phaseNew && c.encrypted:
		c.since = time.Now()
	case c.completesPreface(read):
		c.phase = phaseMultiplexed
	default:
		c.phase = phaseRequest
	}
}

// completesPreface reports whether the bytes read so far are those of http2Preface. They may
// come in several reads. The lock must be held.
func (c *conn) completesPreface(read []byte) bool {
	if len(read) > len(c.preface) || c.preface[:len(read)] != string(read) {
		c.preface = ""
		return false
	}
	c.preface = c.preface[len(read):]
	return c.preface == ""
}

// awaitRequest records that the server needs bytes that have not arrived. It returns
// unix.EAGAIN, or net.ErrClosed if idle connections are to be closed. The lock must be
// held.
func (c *conn) awaitRequest() error {
	if c.phase == phaseAnswered {
		c.phase = phaseIdle
	}
	if c.phase == phaseIdle && c.tracker.closing.Load() {
		c.phase = phaseClosed
		return c.readError(net.ErrClosed)
	}
	return unix.EAGAIN
}

// readError returns the error of a failed read. The server answers errors that it does not
// recognize by the name of the operation.
func (c *conn) readError(cause error) error {
	return &net.OpError{Op: readOperation, Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
}

// CloseWrite lets the server close a connection without a reset that would overtake its
// last answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setPhase records that a request was read or answered.
func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClosed && c.phase != phaseMultiplexed {
		c.phase = p
	}
}

// setEncrypted records that the connection carries TLS.
func (c *conn) setEncrypted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encrypted = true
}

// closeIfUnused closes the connection if it carries no request: it is idle, or new and
// brought none in time. It reports whether the connection is still in use.
func (c *conn) closeIfUnused(now time.Time) (inUse bool) {
	inUse, ended := c.endIfUnused(now)
	if ended {
		// A failure means that the caller has closed the connection. The lock is not held:
		// Close waits for a read that is in progress.
		_ = c.Close()
	}
	return inUse
}

// endIfUnused reports whether the connection is in use and whether it is to be closed; no
// request is read any more then. Bytes that this process has not read yet count as a
// request.
func (c *conn) endIfUnused(now time.Time) (inUse, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseClosed || c.phase == phaseMultiplexed:
		return false, false
	case c.phase == phaseNew && now.Sub(c.since) < newConnectionTimeout:
		return true, false
	case c.phase != phaseIdle && c.phase != phaseNew:
		return true, false
	case upstream.Readable(c.Conn):
		if c.phase == phaseIdle || !c.encrypted {
			c.phase = phaseRequest
		}
		return true, false
	}
	c.phase = phaseClosed
	return false, true
}
