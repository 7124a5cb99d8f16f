package clientconn

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/intake"
)

const (
	// lingerTime is how long the close of a refused connection waits for its client, and
	// lingerBytes how much it reads from it meanwhile: a close with bytes unread resets the
	// connection, and the client may not have read yet why it was refused.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// RetryAfter is when a client may come again that was refused for want of room.
	RetryAfter = 250 * time.Millisecond
)

// refusal is the answer to a request whose head is not read to its end.
type refusal struct {
	status     int
	retryAfter time.Duration
}

// refusals are the answers by what they are given for. A request whose head has no end has not
// run.
var refusals = map[intake.Reason]*refusal{
	intake.ReasonHead:        {status: http.StatusRequestHeaderFieldsTooLarge},
	intake.ReasonHeadTimeout: {status: http.StatusRequestTimeout},
	intake.ReasonMemory:      {status: http.StatusServiceUnavailable, retryAfter: RetryAfter},
	intake.ReasonConns:       {status: http.StatusServiceUnavailable, retryAfter: RetryAfter},
}

// text returns the answer as it is sent.
func (r *refusal) text() string {
	retry := ""
	if r.retryAfter > 0 {
		retry = fmt.Sprintf("Retry-After: %g\r\n", r.retryAfter.Seconds())
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
		r.status, http.StatusText(r.status), retry)
}

// refuse answers a request whose head is not read to its end. The connection has to be closed.
func (c *conn) refuse(r *refusal) {
	c.refused = true
	c.mu.Lock()
	c.lingers = true
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	// It fails only if the client has gone or takes nothing.
	_, _ = io.WriteString(c.Conn, r.text())
}

// startLinger returns a channel that is closed if the connection must not wait any more for its
// client; nil if its close does not have to wait.
func (c *conn) startLinger() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingers {
		return nil
	}
	c.lingers = false
	c.lingerEnd = make(chan struct{})
	return c.lingerEnd
}

// linger closes the writing side, reads a little of what the client still sends, and waits until
// it has closed its side, for lingerTime at most.
func (c *conn) linger(end <-chan struct{}) {
	_ = c.CloseWrite()
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	if _, err := io.CopyN(io.Discard, c.Conn, lingerBytes); err != nil {
		return
	}
	select {
	case <-timer.C:
	case <-end:
	}
}

// endLinger makes the connection close now. The caller holds mu.
func (c *conn) endLinger() {
	_ = c.Conn.SetDeadline(longAgo)
	if c.lingerEnd != nil {
		close(c.lingerEnd)
		c.lingerEnd = nil
	}
}

// evict tells the connection to end, and reports whether it does: not if its request is whole, or
// on the way. It implements the evict function of intake.Table.
func (c *conn) evict(reason intake.Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true
	}
	switch c.client.Phase() {
	case intake.Silent, intake.Idle:
		if !c.mayCloseIdle() {
			return false
		}
		c.closed = true
		_ = c.Conn.Close()
	case intake.Head, intake.Body:
		c.evicted = reason
		_ = c.Conn.SetReadDeadline(longAgo)
	case intake.Writing:
		c.evicted = reason
		_ = c.Conn.SetDeadline(longAgo)
	case intake.Closing:
		c.endLinger()
	default:
		return false
	}
	return true
}
