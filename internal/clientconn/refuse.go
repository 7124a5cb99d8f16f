package clientconn

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
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
		retry = "Retry-After: " + retryAfterText(r.retryAfter) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
		r.status, http.StatusText(r.status), retry)
}

// answer gives the answer by way of the server.
func (r *refusal) answer(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterText(r.retryAfter))
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(r.status)
}

// retryAfterText returns a time as the header Retry-After names it, in seconds.
func retryAfterText(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }

// refuse answers a request whose head is not read to its end. The connection has to be closed.
func (c *conn) refuse(r *refusal) {
	c.refused = true
	c.lingerAtClose()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	// It fails only if the client has gone or takes nothing.
	_, _ = io.WriteString(c.Conn, r.text())
}

// startLinger returns a channel that is closed if the connection must not wait any more for its
// client; nil if its close does not have to wait.
func (c *conn) startLinger() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingers || c.closed || c.evicted == intake.ReasonConns {
		return nil
	}
	c.lingers = false
	c.client.SetPhase(intake.Closing)
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

// lingerAtClose makes the close of the connection wait until its client has read the answer, unless
// it has to make room for another one by then.
func (c *conn) lingerAtClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// closeNow closes the connection, and ends the wait for its client. The caller holds mu.
func (c *conn) closeNow() {
	c.closed = true
	_ = c.Conn.Close()
	if c.lingerEnd != nil {
		close(c.lingerEnd)
		c.lingerEnd = nil
	}
}

// evict tells the connection to end. It implements the evict function of intake.Table.
func (c *conn) evict(reason intake.Reason) intake.Ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return intake.Ended
	}
	switch c.client.Phase() {
	case intake.Silent, intake.Idle:
		if !c.mayCloseIdle() {
			return intake.Declines
		}
		c.closeNow()
		return intake.Ended
	case intake.Closing:
		c.closeNow()
		return intake.Ended
	case intake.Head, intake.Body:
		c.evicted = reason
		_ = c.Conn.SetReadDeadline(longAgo)
	case intake.Writing:
		c.evicted = reason
		_ = c.Conn.SetDeadline(longAgo)
	default:
		return intake.Declines
	}
	return intake.Ends
}
