package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// limitUnacked sets the time after which the kernel closes an open connection whose peer
// does not acknowledge bytes; 0 leaves it to the kernel's default.
func limitUnacked(connection net.Conn, timeout time.Duration) error {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return setUnackedTimeout(raw, timeout)
}

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

// Readable reports whether a read from a connection would return at once, with bytes or
// because the connection has ended. It is true for a connection that cannot be asked. A
// read that is in progress is not disturbed.
func Readable(connection net.Conn) bool {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var peeked [1]byte
	pending := true
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = !errors.Is(err, unix.EAGAIN)
	})
	return err != nil || pending
}

const (
	// tcpClosed is the state TCP_CLOSE of the kernel's include/net/tcp_states.h: the connection was reset.
	tcpClosed = 7
	// ackedPoll is the time between two checks for unacknowledged bytes.
	ackedPoll = time.Millisecond
)

// awaitAcked waits until the peer of a connection, which has ended its own side, has acknowledged all bytes. A peer
// that has closed its socket resets the connection instead. It returns an error if the connection is reset or closed
// before that, and nil if the kernel does not state it.
func awaitAcked(connection net.Conn) error {
	for {
		info, err := tcpInfo(connection)
		switch {
		case err != nil:
			return err
		case info == nil:
			return nil
		case info.State == tcpClosed:
			return errRequestUnread.New("the connection was reset")
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		}
		time.Sleep(ackedPoll)
	}
}

// tcpInfo returns what the kernel states of a connection; nil if it states nothing. The error means that the
// connection was closed by this process.
func tcpInfo(connection net.Conn) (*unix.TCPInfo, error) {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		if stated, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = stated
		}
	})
	return info, err
}
