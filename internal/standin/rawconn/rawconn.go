// Package rawconn serves connections byte by byte. It simulates endpoints that do not follow HTTP.
package rawconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Handler serves one connection, which is closed when it returns. The number counts connections from 0 on.
type Handler func(number int, requests *bufio.Reader, conn net.Conn)

// endingPause is the time after which a connection is reset, so that the answer on it has been read.
const endingPause = 2 * time.Millisecond

// EarlyEndings are the ways, by name, in which an endpoint breaks off a connection on which it has answered before it has
// read the request's body. The connection is closed afterwards.
var EarlyEndings = map[string]func(conn *net.TCPConn){
	"reset":                    func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
	"closed with unread bytes": func(*net.TCPConn) {},
	"reset after a pause": func(conn *net.TCPConn) {
		time.Sleep(endingPause)
		_ = conn.SetLinger(0)
	},
	"closed for writing, then reset": func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(endingPause)
		_ = conn.SetLinger(0)
	},
}

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
