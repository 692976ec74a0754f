package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// traffic counts the bytes received and sent over connections.
type traffic struct {
	BytesReceived, BytesSent atomic.Int64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
	onClose func()
	once    sync.Once
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesSent.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.onClose != nil {
		c.once.Do(c.onClose)
	}
	return c.Conn.Close()
}

// boundedListener closes connections that exceed a limit of open connections and
// counts the bytes of the others.
type boundedListener struct {
	net.Listener
	counters *serverCounters
	traffic  *traffic
	limit    int64
	open     atomic.Int64
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			l.counters.Connections.Add(1)
			return &countedConn{Conn: conn, traffic: l.traffic, onClose: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		l.counters.ConnectionsRefused.Add(1)
		_ = conn.Close()
	}
}
