// Package loopback draws addresses on which the processes that a test starts can
// listen.
//
// A port of 127.0.0.1 that was found free may be taken by any other process before
// the one that is meant to have it listens: as the port of another listener or as
// the local port of a connection. Addresses of this package therefore have an IP
// number of their own, on which nothing else listens and from which nothing connects.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
)

// firstBlock is the second byte of the lowest IP number that ProcessIP returns. Lower
// ones remain for addresses that tests choose themselves.
const firstBlock = 64

// ProcessIP returns a loopback IP number that differs from those of all other running
// processes. It is derived from the process id, which has at most 22 bits on Linux.
func ProcessIP() string {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, firstBlock + byte(pid>>16), byte(pid >> 8), byte(pid)}).String()
}

// FreeAddresses returns distinct TCP addresses of an IP number with ports that are
// free. All ports stay open until the last one is known, so that none is drawn twice.
func FreeAddresses(ctx context.Context, ip string, count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("no free port on %s: %w", ip, err)
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}
