package clientconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/mangostage/mangostage/intake"
)

const (
	// receiveBuffer is what the socket of a connection holds unread at most, in bytes, while
	// no large body is expected. Linux doubles it for its own use.
	receiveBuffer = 16 << 10
	// acceptQueue is the number of connections that wait to be accepted at most; they hold what
	// they have received, too.
	acceptQueue = 256
	// roomTimeout is how long a new connection waits for one that was told to end.
	roomTimeout = 100 * time.Millisecond
)

// Listen listens on a TCP address for clients.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(boundReceiveBuffer)
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	boundAcceptQueue(listener)
	return listener, nil
}

// boundAcceptQueue shortens the queue of a listener, which has the system's length.
func boundAcceptQueue(l net.Listener) {
	inner, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return
	}
	// Without the bound the socket works as well, and holds more.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), acceptQueue) })
}

// boundReceiveBuffer bounds the receive buffers of the connections of a listening socket.
func boundReceiveBuffer(fd uintptr) {
	// Without the bound the socket works as well, and holds more.
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
}

// Listener wraps l; the server must serve the returned listener.
func (c *Conns) Listener(l net.Listener) net.Listener { return &listener{Listener: l, conns: c} }

// listener wraps each accepted connection in a conn.
type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.conns.accept(nc); conn != nil {
			return conn, nil
		}
		_ = nc.Close()
	}
}

// accept tracks a connection; it returns nil if there is no room for it.
func (c *Conns) accept(nc net.Conn) *conn {
	conn := &conn{Conn: nc, conns: c, idle: true, idleSince: time.Now()}
	conn.client = c.table.Open(conn.evict)
	if conn.client == nil {
		return nil
	}
	if !c.table.AwaitRoom(roomTimeout) {
		c.table.Count(intake.ReasonConns)
		c.table.Close(conn.client)
		return nil
	}
	c.mu.Lock()
	c.open[conn] = struct{}{}
	c.mu.Unlock()
	return conn
}
