package gateway

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/httpanswer"
	"github.com/mangostage/mangostage/internal/resultlog"
	"github.com/mangostage/mangostage/internal/socket"
)

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	*httpanswer.Conn
	transport *Transport
	// number numbers the connections of the transport from 1.
	number uint64
	// endpoint is the one listed at the address when the connection was opened; nil if
	// there was none.
	endpoint *catalog.Endpoint
	opened   time.Time
	// raw is the socket; nil if there is none.
	raw syscall.RawConn
	// mu guards the begin of an exchange against the end of the idle time.
	mu sync.Mutex
	// carried counts the exchanges over the connection.
	carried int
	// idleTimer runs while the connection is idle; nil before it first is.
	idleTimer *time.Timer
	// closed is true once the connection is closed; idleConns guards it.
	closed bool
	// results holds what the answers to calls over the connection have named.
	results resultlog.Log
	// retired is true once the connection must not carry another request.
	retired atomic.Bool
	// exchange is the latest one over the connection. It is set with mu held.
	exchange atomic.Pointer[exchange]
}

// beginExchange records that an exchange uses the connection, and returns how many have done so
// before and when the last of them is settled.
func (c *endpointConn) beginExchange(x *exchange) (carried int, previous <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := c.exchange.Swap(x); last != nil {
		previous = last.settled
	}
	c.transport.idle.remove(c)
	c.Begin(x.method)
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.carried++
	return c.carried - 1, previous
}

// endExchange records that an exchange has ended, and closes the connection if no other
// begins within the time keep, or if others are used more.
func (c *endpointConn) endExchange(x *exchange, keep time.Duration) {
	for _, s := range c.becomeIdle(x, keep) {
		s.conn.closeIdle(s.exchange)
	}
}

// becomeIdle records that an exchange has ended, and returns the idle connections that are
// not to be kept any more.
func (c *endpointConn) becomeIdle(x *exchange, keep time.Duration) (surplus []idleConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.Load() != x {
		return nil
	}
	c.idleTimer = time.AfterFunc(keep, func() { c.closeIdle(x) })
	return c.transport.idle.add(c, x)
}

// closeIdle closes the connection if the exchange is still the latest one.
func (c *endpointConn) closeIdle(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.Load() == x {
		_ = c.Close()
	}
}

// keepTime returns how long an unused connection is kept to an endpoint that says that it
// closes it after the named time; named is 0 if the endpoint says nothing.
func keepTime(named time.Duration) time.Duration {
	if named <= 0 {
		return idleTimeout
	}
	return min(max(named-idleMargin, named/2), maxIdleTimeout)
}

// Read implements net.Conn.
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if x := c.exchange.Load(); x != nil && n > 0 {
		x.head.Receive(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *endpointConn) Write(p []byte) (int, error) {
	if x := c.exchange.Load(); x != nil {
		if err := x.beginWrite(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *endpointConn) Close() error {
	c.transport.idle.removeClosed(c)
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.Conn.Close()
}

// endedByPeer reports whether the endpoint has closed the connection, which may not have been read
// yet.
func (c *endpointConn) endedByPeer() bool { return c.raw != nil && socket.ClosedByPeer(c.raw) }

// isStale reports whether the process at the other end has ended: another one
// serves under its ID and started after the connection was opened. A younger
// connection leads to the new process already, although the old one was listed when
// it was opened: the connections of a process usually see its end at once, so that
// most requests in flight are on such connections. Another ID at the same address
// proves nothing: an endpoint that has left the list may still finish its requests.
func (c *endpointConn) isStale(view *catalog.View) bool {
	if c.endpoint == nil || !view.Replaced(c.endpoint.ID, c.endpoint.Incarnation) {
		return false
	}
	return c.opened.Before(view.EndpointByID(c.endpoint.ID).Incarnation.Time())
}
