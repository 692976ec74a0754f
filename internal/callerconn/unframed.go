package callerconn

import (
	"context"
	"crypto/tls"
	"net"
)

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// NewContext returns a context that holds a connection, for ResetOnClose. It is meant for http.Server.ConnContext.
func NewContext(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, accepted)
}

// ResetOnClose sets whether a request's connection is reset once it is closed, by this process or by the kernel because
// this process was killed. An answer that ends with its connection would look complete if it were closed in order
// before its end. The context is that of the request; one without a connection is left as it is.
func ResetOnClose(ctx context.Context, reset bool) error {
	accepted, _ := ctx.Value(connKey{}).(net.Conn)
	if encrypted, ok := accepted.(*tls.Conn); ok {
		accepted = encrypted.NetConn()
	}
	if tracked, ok := accepted.(*conn); ok {
		accepted = tracked.Conn
	}
	socket, ok := accepted.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	if reset {
		return socket.SetLinger(0)
	}
	return socket.SetLinger(-1)
}
