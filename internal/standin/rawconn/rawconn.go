// Package rawconn serves connections byte by byte. It simulates endpoints that do not follow HTTP.
package rawconn

import (
	"bufio"
	"context"
	"net"
	"sync"
)

// Handler serves one connection, which is closed when it returns. The number counts connections from 0 on.
type Handler func(number int, requests *bufio.Reader, conn net.Conn)

// Serve serves connections on loopback concurrently. The returned function closes the listener and waits for the
// handlers.
func Serve(ctx context.Context, handle Handler) (address string, stop func(), err error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }()
				handle(number, bufio.NewReader(conn), conn)
			})
		}
	})
	stop = func() {
		_ = listener.Close()
		serving.Wait()
	}
	return listener.Addr().String(), stop, nil
}
