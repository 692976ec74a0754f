package callerconn

import (
	"net"
	"sync"
)

// Limit returns a listener that accepts a connection only while fewer than a number of its
// connections are open. Unlike those of netutil.LimitListener, they are still sockets.
func Limit(l *net.TCPListener, connections int) net.Listener {
	return &limitListener{TCPListener: l, places: make(chan struct{}, connections), closed: make(chan struct{})}
}

type limitListener struct {
	*net.TCPListener
	// places holds a value for each open connection.
	places  chan struct{}
	closed  chan struct{}
	closing sync.Once
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	accepted, err := l.AcceptTCP()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitConn{TCPConn: accepted, leave: sync.OnceFunc(func() { <-l.places })}, nil
}

// Close implements net.Listener. It also ends an Accept that waits for a place.
func (l *limitListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// limitConn is a connection that holds a place until it is closed.
type limitConn struct {
	*net.TCPConn
	leave func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	defer c.leave()
	return c.TCPConn.Close()
}
