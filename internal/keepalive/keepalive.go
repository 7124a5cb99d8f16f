// Package keepalive closes the connections of an HTTP server: idle ones without
// losing requests, and those of unfinished answers so that they do not look whole.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/internal/socket"
)

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
	mu   sync.Mutex
	open map[*conn]struct{}
}

// conn is one connection of a client.
type conn struct {
	net.Conn
	conns *Conns
	// requests is the number of requests so far on the connection.
	requests atomic.Int64

	mu sync.Mutex
	// idle is true while every request of which a byte has been read has been
	// answered.
	idle bool
	// idleSince is when the connection was accepted or its latest answer ended.
	idleSince time.Time
	// closed is true once closeIfIdle has closed the connection.
	closed bool
}

// connKey is the context key under which a request finds its connection.
type connKey struct{}

// Attach makes the returned Conns track the connections of server, which must
// not have begun to serve. It replaces the server's ConnState and ConnContext
// and wraps its Handler. The server must serve the listener that
// Conns.Listener returns.
func Attach(server *http.Server) *Conns {
	c := &Conns{open: make(map[*conn]struct{})}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if conn, ok := nc.(*conn); ok && state == http.StateIdle {
			conn.markIdle()
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.Handler = rejectClosed(resetUnlessComplete(server.Handler))
	return c
}

// rejectClosed aborts a request whose connection has been closed as idle, before
// next runs it: its answer could not be delivered.
func rejectClosed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*conn); ok && !conn.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
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

// Listener wraps l; the server must serve the returned listener.
func (c *Conns) Listener(l net.Listener) net.Listener { return &listener{Listener: l, conns: c} }

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

// listener wraps each accepted connection in a conn.
type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &conn{Conn: nc, conns: l.conns, idle: true, idleSince: time.Now()}
	l.conns.mu.Lock()
	l.conns.open[conn] = struct{}{}
	l.conns.mu.Unlock()
	return conn, nil
}

// Read fails on a connection that closeIfIdle has closed, even if it has read
// bytes that arrived before: a request that cannot be answered must not run.
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

// CloseWrite closes the writing side of the connection. net/http calls it before
// it closes a connection with unread bytes, so that the client receives the
// answer before the reset.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection and stops tracking it. The server calls it when no
// request is in progress.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// beginRequest counts a request and marks the connection as in use. It returns
// false if closeIfIdle has already closed the connection.
func (c *conn) beginRequest() bool {
	c.requests.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return !c.closed
}

// markIdle marks the connection as idle after an answer.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = true, time.Now()
}

// closeIfIdle closes the connection if it has been idle since before the time given and no
// bytes of a request wait to be read.
func (c *conn) closeIfIdle(before time.Time) {
	raw := socket.Raw(c.Conn)
	c.mu.Lock()
	idle := c.idle && !c.closed && !c.idleSince.After(before) && (raw == nil || !socket.Readable(raw))
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		// The server's next read fails, after which it calls Close.
		_ = c.Conn.Close()
	}
}
