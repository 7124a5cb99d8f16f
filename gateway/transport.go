package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a new connection to an endpoint: one that is cut off
	// does not answer at all, the others do in milliseconds.
	dialTimeout = 600 * time.Millisecond
	// idleTimeout is how long a connection to an endpoint is kept unused.
	idleTimeout = 4 * time.Second
	// userTimeout ends connections whose bytes nobody acknowledges, such as
	// those to a VM without power.
	userTimeout = 2 * time.Second
	// keepAliveEvery finds silent connections on which nothing is sent.
	keepAliveEvery = 2 * time.Second
	maxIdlePerHost = 16
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
)

// NewTransport returns the transport to endpoints. It follows no proxy of the
// environment and asks for no encoding, since answers are relayed as they are.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            Dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: 64 << 10,
		ForceAttemptHTTP2:      false,
	}
}

// Dial connects with the time limits that find a silent peer.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveEvery,
			Interval: keepAliveEvery,
			Count:    2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return dialer.DialContext(ctx, network, addr)
}
