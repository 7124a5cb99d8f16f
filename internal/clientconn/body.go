package clientconn

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/mangostage/mangostage/intake"
)

const (
	// ordinaryBody is the length in bytes of bodies for which nothing is reserved; bodyStep is
	// how much is reserved at a time beyond that for a body of unknown length.
	ordinaryBody = 16 << 10
	bodyStep     = 64 << 10
	// bodyBuffer is the receive buffer in bytes of a connection with a larger body, which its
	// reservation includes.
	bodyBuffer = 64 << 10
)

// ErrNoRoom is returned by reads of a body for which there is no memory. The request has not run.
var ErrNoRoom = errors.New("no memory is left for the body of the request")

// bound refuses requests over the limit on heads, aborts those whose connection has ended before
// next runs them, since their answers could not be delivered, and bounds the memory of bodies.
func (c *Conns) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		if !conn.beginRequest(hasBody) {
			panic(http.ErrAbortHandler)
		}
		if refusal := conn.lateRefusal(); refusal != nil {
			if refusal == refusals[intake.ReasonHead] {
				c.table.Count(intake.ReasonHead)
			}
			refusal.answer(w)
			conn.lingerAtClose()
			return
		}
		if !hasBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: conn, announced: r.ContentLength}
		r.Body = b
		next.ServeHTTP(w, r)
		if !b.ended {
			conn.lingerAtClose()
		}
	})
}

// lateRefusal returns why a request whose head was read to its end is refused; nil if it is not.
func (c *conn) lateRefusal() *refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != "" {
		return refusals[c.evicted]
	}
	if c.limits != nil && c.head.ended && c.head.exceeds(c.limits.HeadBytes) {
		return refusals[intake.ReasonHead]
	}
	return nil
}

// SetAccount names the client account of the request of ctx, whose memory counts as that
// account's.
func SetAccount(ctx context.Context, account string) {
	if conn, ok := ctx.Value(connKey{}).(*conn); ok {
		conn.account = account
	}
}

// body is the body of a request whose memory is reserved as it comes, or at once if its length is
// announced.
type body struct {
	io.ReadCloser
	conn *conn
	// announced is the length in bytes; negative if it is not known.
	announced int64
	// read is what has come, reserved what is reserved of it.
	read, reserved int64
	// ended is true once the body has been read to its end.
	ended bool
}

// Read implements io.Reader. It returns ErrNoRoom if there is no memory for the body.
func (b *body) Read(p []byte) (int, error) {
	if !b.reserve() {
		return 0, ErrNoRoom
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.ended = errors.Is(err, io.EOF)
	switch {
	case b.ended && !b.conn.endBody():
		return n, ErrNoRoom
	case err != nil && !b.ended && b.conn.hasToEnd():
		return n, ErrNoRoom
	}
	return n, err
}

// reserve reserves memory for what comes next.
func (b *body) reserve() bool {
	for b.reserved+ordinaryBody < b.expected() {
		step := int64(bodyStep)
		if b.announced >= 0 {
			step = b.announced
		}
		if b.reserved == 0 && !b.conn.expectLargeBody() {
			return false
		}
		if !b.conn.reserve(step) {
			return false
		}
		b.reserved += step
	}
	return true
}

// expected returns how much is to be reserved by now.
func (b *body) expected() int64 {
	if b.announced >= 0 {
		return b.announced
	}
	return b.read + 1
}

// reserve reserves memory for the connection's request.
func (c *conn) reserve(bytes int64) bool {
	if !c.conns.table.Reserve(c.client, c.account, bytes) {
		c.conns.table.Release(c.client)
		c.reserved = 0
		return false
	}
	c.reserved += bytes
	return true
}

// expectLargeBody lets the socket hold more, so that a large body comes fast enough.
func (c *conn) expectLargeBody() bool {
	if !c.reserve(bodyBuffer) {
		return false
	}
	c.largeBuffer = true
	c.setReceiveBuffer(bodyBuffer)
	return true
}

// setReceiveBuffer bounds what the socket holds unread, in bytes.
func (c *conn) setReceiveBuffer(bytes int) {
	if tcp, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		// The connection works with any bound.
		_ = tcp.SetReadBuffer(bytes)
	}
}

// endBody records that the request is whole. It returns false if the connection has to end: the
// request must not run.
func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != "" {
		return false
	}
	c.client.SetPhase(intake.Serving)
	return true
}

// hasToEnd reports whether the connection has to end.
func (c *conn) hasToEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted != ""
}
