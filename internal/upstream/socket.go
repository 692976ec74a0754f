package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUnackedTimeout makes the kernel close a connection whose peer does not
// acknowledge bytes, as happens during a network partition.
func setUnackedTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// readable reports whether a read would return at once, with bytes or because the
// connection has ended.
func readable(raw syscall.RawConn) bool {
	var peeked [1]byte
	pending := true
	err := raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err != unix.EAGAIN
		return true
	})
	return err != nil || pending
}
