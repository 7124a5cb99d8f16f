// Package dialer opens TCP connections with timeouts that detect a silent peer:
// a VM that lost power, a network partition, or a path that drops packets.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package
// syscall does not define.
const tcpUserTimeout = 18

// Limits are the time limits of a connection.
type Limits struct {
	// Dial is the maximum time to open the connection.
	Dial time.Duration
	// Unacknowledged is the maximum time that sent bytes may remain
	// unacknowledged before the connection is closed.
	Unacknowledged time.Duration
	// Probe is the interval of keep-alive probes on an idle connection.
	Probe time.Duration
	// ReceiveBuffer is what the socket holds unread at most, in bytes; Linux doubles it. 0
	// leaves it to the system.
	ReceiveBuffer int
}

// DialContext connects to addr with the limits l.
func (l Limits) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: l.Dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     l.Probe,
			Interval: l.Probe,
			Count:    2,
		},
		Control: l.control,
	}
	return d.DialContext(ctx, network, addr)
}

// control sets TCP_USER_TIMEOUT on a new socket.
func (l Limits) control(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		ms := int(l.Unacknowledged.Milliseconds())
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, ms)
		if l.ReceiveBuffer > 0 {
			// Without the bound the socket works as well, and holds more.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.ReceiveBuffer)
		}
	})
	if err != nil {
		return err
	}
	return optErr
}
