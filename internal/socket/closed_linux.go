package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the peer has closed its side of the connection,
// even if received data has not been read yet, or the socket is in an error
// state or closed.
func ClosedByPeer(conn syscall.RawConn) bool {
	closed := false
	err := conn.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || closed
}

// Readable reports whether reading from the connection would not block: received data waits
// to be read, or the peer has closed its side.
func Readable(conn syscall.RawConn) bool {
	readable := false
	err := conn.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		readable = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && readable
}

// tcpClosed is the state TCP_CLOSE of Linux, in which a connection is that neither side can use.
const tcpClosed = 7

// Dead reports whether the peer has reset the connection, or it has timed out, so that no write to
// it lasts. Unlike a read or write it leaves the error of the socket for these.
func Dead(conn syscall.RawConn) bool {
	dead := false
	err := conn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		dead = err == nil && info.State == tcpClosed
	})
	return err != nil || dead
}
