package main

import (
	"context"
	"io"
	"net"
)

// resetAfter starts a proxy for one connection to a target. It resets the connection on both sides once it has
// forwarded a number of the target's bytes, or never if that is 0. It returns the address.
func (s *site) resetAfter(target string, limit int64) string {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", net.JoinHostPort(standInIP(), "0"))
	check(err)
	go func() {
		defer func() { _ = listener.Close() }()
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := new(net.Dialer).DialContext(context.Background(), "tcp", target)
		if err != nil {
			_ = client.Close()
			return
		}
		go func() { _, _ = io.Copy(server, client) }()
		if limit > 0 {
			_, _ = io.CopyN(client, server, limit)
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = server.(*net.TCPConn).SetLinger(0)
		} else {
			_, _ = io.Copy(client, server)
		}
		_ = client.Close()
		_ = server.Close()
	}()
	return listener.Addr().String()
}
