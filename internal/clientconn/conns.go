package clientconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/intake"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/internal/socket"
)

// maxLibraryHead is the bound on heads of http.Server itself, in bytes. It only has to be above
// any limit: Conns obeys the limit in force, which may change while the server runs.
const maxLibraryHead = 64 << 20

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// HeadBytes is the largest head of a request in bytes.
	HeadBytes int64
	// HeadTimeout is how long a head may take from its first byte to its end.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request, or while its client
	// takes nothing of an answer.
	IdleTimeout time.Duration
}

// Conns tracks the connections of one server.
//
// It guards against a race in http.Server, which marks a connection as active
// only after it has read and parsed a request. If it closes the connection as
// idle before that, at a planned stop, the handler runs the request but the
// client gets no answer. Conns marks a connection as in use as soon as a byte
// has been read, under the lock under which idle connections are closed. It does
// so again before the handler runs, because a pipelined request may already have
// been read together with the previous one and causes no further read.
type Conns struct {
	table  *intake.Table
	limits atomic.Pointer[Limits]

	mu   sync.Mutex
	open map[*conn]struct{}
}

// conn is one connection of a client.
type conn struct {
	net.Conn
	conns *Conns
	// client is the connection in the table.
	client *intake.Client
	// requests is the number of requests so far on the connection.
	requests atomic.Int64
	// reserved is the memory in bytes reserved for the request, and account its client
	// account. Only the server's goroutine for the connection uses them.
	reserved int64
	account  string
	// refused is true once the head that was being read has got its refusal.
	refused bool
	// largeBuffer is true while the socket may hold more for a large body.
	largeBuffer bool

	mu sync.Mutex
	// head follows the head that is being read, and limits are those in force at its first
	// byte; nil before that.
	head   head
	limits *Limits
	// idle is true while every request of which a byte has been read has been
	// answered.
	idle bool
	// idleSince is when the connection was accepted or its latest answer ended.
	idleSince time.Time
	// closed is true once the connection has been closed as idle.
	closed bool
	// evicted is why the connection has to end; empty while it does not.
	evicted intake.Reason
	// lingers is true if the close of the connection waits until its client has read what was
	// written.
	lingers bool
	// lingerEnd ends that wait; nil while there is none.
	lingerEnd chan struct{}
}

// connKey is the context key under which a request finds its connection.
type connKey struct{}

// Attach makes the returned Conns track the connections of server, which must
// not have begun to serve. It replaces the server's ConnState and ConnContext,
// wraps its Handler, and obeys limits in place of the server's own. The server must
// serve the listener that Conns.Listener returns, and Run must run.
func Attach(server *http.Server, room intake.Limits, limits Limits) *Conns {
	c := &Conns{table: intake.NewTable(room), open: make(map[*conn]struct{})}
	c.SetLimits(limits)
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if conn, ok := nc.(*conn); ok && state == http.StateIdle {
			conn.markIdle()
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.MaxHeaderBytes = maxLibraryHead
	server.Handler = c.bound(resetUnlessComplete(server.Handler))
	return c
}

// SetLimits sets the limits on requests that begin from now on.
func (c *Conns) SetLimits(limits Limits) { c.limits.Store(&limits) }

// Stats returns the figures of the connections and of what they hold.
func (c *Conns) Stats() intake.Stats { return c.table.Stats() }

// Run ends the connections that take too long, until ctx ends.
func (c *Conns) Run(ctx context.Context) {
	for sleep.For(ctx, intake.TickInterval) {
		limits := c.limits.Load()
		c.table.Tick(intake.Timeouts{Head: limits.HeadTimeout, Idle: limits.IdleTimeout})
	}
}

// EarlierRequests returns the number of requests that preceded the request of ctx on its
// connection; 0 on servers that are not attached.
func EarlierRequests(ctx context.Context) int64 {
	conn, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	return conn.requests.Load() - 1
}

// CloseIdle closes the connections on which no request has been in progress for at least
// the time given. A request that arrives as its connection is closed is never read, and its
// client sees the connection close without an answer.
func (c *Conns) CloseIdle(atLeast time.Duration) {
	before := time.Now().Add(-atLeast)
	c.mu.Lock()
	open := make([]*conn, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		conn.closeIfIdle(before)
	}
}

// CloseWrite closes the writing side of the connection. net/http calls it before
// it closes a connection with unread bytes, so that the client receives the
// answer before the reset.
func (c *conn) CloseWrite() error {
	c.client.SetPhase(intake.Closing)
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection and stops tracking it. The server calls it when no
// request is in progress.
func (c *conn) Close() error {
	if end := c.startLinger(); end != nil {
		c.conns.table.Release(c.client)
		c.linger(end)
	}
	err := c.Conn.Close()
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	c.conns.table.Close(c.client)
	return err
}

// beginRequest counts a request and marks the connection as in use. It returns
// false if the connection has already been closed.
func (c *conn) beginRequest(hasBody bool) bool {
	c.requests.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	phase := intake.Serving
	if hasBody {
		phase = intake.Body
	}
	c.client.SetPhase(phase)
	return !c.closed
}

// markIdle marks the connection as idle after an answer.
func (c *conn) markIdle() {
	c.account = ""
	if c.largeBuffer {
		c.largeBuffer = false
		c.setReceiveBuffer(receiveBuffer)
	}
	if c.reserved > 0 {
		c.reserved = 0
		c.conns.table.Release(c.client)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.limits = head{}, nil
	c.idle, c.idleSince, c.lingers = true, time.Now(), false
	c.client.SetPhase(intake.Idle)
}

// closeIfIdle closes the connection if it has been idle since before the time given and no
// bytes of a request wait to be read.
func (c *conn) closeIfIdle(before time.Time) {
	c.mu.Lock()
	idle := c.mayCloseIdle() && !c.idleSince.After(before)
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		// The server's next read fails, after which it calls Close.
		_ = c.Conn.Close()
	}
}

// mayCloseIdle reports whether the connection is idle and open, and no bytes of a request wait to
// be read. The caller holds mu.
func (c *conn) mayCloseIdle() bool {
	if !c.idle || c.closed {
		return false
	}
	raw := socket.Raw(c.Conn)
	return raw == nil || !socket.Readable(raw)
}
