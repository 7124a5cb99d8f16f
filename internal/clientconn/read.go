package clientconn

import (
	"net"
	"os"
	"time"

	"github.com/mangostage/mangostage/intake"
)

const (
	// ordinaryHead is the memory in bytes that the head of an ordinary request takes, for
	// which nothing is reserved; headStep is how much is reserved at a time beyond that.
	ordinaryHead = 24 << 10
	headStep     = 32 << 10
	// writePiece is the length in bytes of the pieces in which an answer is written, so that
	// it shows whether the client takes it.
	writePiece = 32 << 10
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// errEnded is returned by reads of a connection that has to end. The server closes the connection
// for it without an answer of its own.
var errEnded = &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}

// Read fails on a connection that was closed as idle, even if it has read
// bytes that arrived before: a request that cannot be answered must not run.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errEnded
	}
	if c.readsHead() {
		if r := c.headRefusal(); r != nil {
			c.refuse(r)
			return 0, errEnded
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.client.Moved(n)
	}
	ended, refusal := c.markRead(p[:n])
	switch {
	case refusal != nil:
		c.refuse(refusal)
		return 0, errEnded
	case ended:
		return 0, net.ErrClosed
	}
	return n, err
}

// readsHead reports whether what is read belongs to the head of a request.
func (c *conn) readsHead() bool {
	p := c.client.Phase()
	return p == intake.Silent || p == intake.Idle || p == intake.Head
}

// markRead marks the connection as in use if bytes were read, and follows the head that they belong
// to. It reports whether the connection was closed as idle or has to end, and why a head that has
// begun is refused.
func (c *conn) markRead(data []byte) (ended bool, refusal *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return true, nil
	case c.evicted != "" && c.readsHead() && c.limits != nil && !c.head.ended:
		return true, refusals[c.evicted]
	case c.evicted != "":
		return true, nil
	case len(data) == 0:
		return false, nil
	}
	c.idle = false
	if c.readsHead() {
		c.readHead(data)
	}
	return false, nil
}

// readHead follows the head of a request. The caller holds mu.
func (c *conn) readHead(data []byte) {
	if c.limits == nil {
		c.limits = c.conns.limits.Load()
		c.client.SetPhase(intake.Head)
	}
	c.head.read(data)
}

// headRefusal returns why a head that has not ended is not read on; nil if it is. Once it has, the
// server reads a byte while the request is handled.
func (c *conn) headRefusal() *refusal {
	c.mu.Lock()
	head, limits := c.head, c.limits
	c.mu.Unlock()
	switch {
	case limits == nil || head.ended:
		return nil
	case head.exceeds(limits.HeadBytes):
		c.conns.table.Count(intake.ReasonHead)
		return refusals[intake.ReasonHead]
	}
	for head.cost() > ordinaryHead+c.reserved {
		if !c.conns.table.Reserve(c.client, "", headStep) {
			return refusals[intake.ReasonMemory]
		}
		c.reserved += headStep
	}
	return nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	before := c.client.Phase()
	if before == intake.Serving {
		c.client.SetPhase(intake.Writing)
		defer c.client.SetPhase(before)
	}
	for err == nil && written < len(p) {
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		c.client.Moved(n)
	}
	return written, err
}

// SetReadDeadline implements net.Conn. A connection that has to end keeps the deadline that ends
// its reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn, like SetReadDeadline.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != "" {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}
