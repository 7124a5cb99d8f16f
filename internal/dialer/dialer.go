// Package dialer connects over TCP with the time limits that find a peer which
// has gone silent: a VM without power, behind a partition, or a connection
// whose bytes are dropped.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// Limits are the time limits of a connection.
type Limits struct {
	// Dial bounds the opening of the connection.
	Dial time.Duration
	// Unacknowledged ends a connection whose bytes nobody acknowledges.
	Unacknowledged time.Duration
	// Probe is the interval of probes on a connection on which nothing is sent.
	Probe time.Duration
}

// DialContext connects to addr.
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

func (l Limits) control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		ms := int(l.Unacknowledged.Milliseconds())
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, ms)
	})
	if err != nil {
		return err
	}
	return failed
}
