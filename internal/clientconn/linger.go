package clientconn

import (
	"net"
	"net/http"
)

const (
	// lingerReset makes the close of a connection reset it, also when the process is killed.
	lingerReset = 0
	// lingerDefault makes the close of a connection send what was written.
	lingerDefault = -1
)

// resetUnlessComplete lets an answer to an HTTP/1.0 request end with a reset unless next has
// completed it: such an answer has no chunks, so that any other end looks like its own.
func resetUnlessComplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		conn.setLinger(lingerReset)
		next.ServeHTTP(w, r)
		conn.setLinger(lingerDefault)
	})
}

// setLinger sets how the connection is closed.
func (c *conn) setLinger(seconds int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only on a closed connection.
		_ = tcp.SetLinger(seconds)
	}
}
