// Package keepalive closes the idle connections of an HTTP server without
// losing a request.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Conns are the connections of one server.
//
// The failure that they guard against: http.Server notes that a connection is
// in use only when it has read and parsed a request. A connection that it
// closes as idle before, at a planned stop, takes the request along: the
// handler runs and the client gets nothing. Conns note it as soon as a byte has
// been read, under the lock under which idle connections are closed, and once
// more before the handler runs: a request that was read ahead, with the one
// before it, is not read again.
type Conns struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

// conn is one connection of a client.
type conn struct {
	net.Conn
	conns *Conns
	// requests counts the requests on the connection.
	requests atomic.Int64

	mu sync.Mutex
	// idle is set while no byte of a request has been read that has no answer.
	idle   bool
	closed bool
}

// connKey is the context key of a client's connection.
type connKey struct{}

// Attach makes the connections of a server known, which must not have begun to
// serve. It takes the server's ConnState and ConnContext, and wraps its Handler.
func Attach(server *http.Server) *Conns {
	c := &Conns{open: make(map[*conn]struct{})}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if conn, ok := nc.(*conn); ok && state == http.StateIdle {
			conn.becomeIdle()
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.Handler = begun(server.Handler)
	return c
}

// begun runs no request whose connection was closed as idle meanwhile: nobody
// would get its answer.
func begun(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*conn); ok && !conn.begin() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Earlier returns how many requests came before that of the context on its
// connection; 0 on servers that are not attached.
func Earlier(ctx context.Context) int64 {
	conn, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	return conn.requests.Load() - 1
}

// Listener returns what the server has to serve in place of l.
func (c *Conns) Listener(l net.Listener) net.Listener { return &listener{Listener: l, conns: c} }

// CloseIdle closes the connections on which no request is under way. A request
// that is on its way is not read any more: its client sees that nobody did.
func (c *Conns) CloseIdle() {
	c.mu.Lock()
	open := make([]*conn, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		conn.closeIfIdle()
	}
}

type listener struct {
	net.Listener
	conns *Conns
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &conn{Conn: nc, conns: l.conns, idle: true}
	l.conns.mu.Lock()
	l.conns.open[conn] = struct{}{}
	l.conns.mu.Unlock()
	return conn, nil
}

// Read fails on a connection that was closed meanwhile, also with bytes that
// had come before: nobody may run a request that cannot be answered any more.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
	}
	return n, err
}

// CloseWrite ends the server's side of the connection. net/http asks for it
// before it closes a connection with unread bytes, so that the client still
// gets its answer before the reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close is called by the server, with no request under way.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// begin notes that a request of the connection is under way; it is false if the
// connection was closed before.
func (c *conn) begin() bool {
	c.requests.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return !c.closed
}

func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.idle && !c.closed
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		// The server finds out at its next read and forgets the connection.
		_ = c.Conn.Close()
	}
}
