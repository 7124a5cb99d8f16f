package httpanswer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/internal/socket"
)

// Conn is a connection over which an HTTP client sends requests and reads answers. It passes on
// only bytes of answers.
//
// Linux reports that the peer has reset a connection only once, to the call that comes first. If
// that is the write of a request, a read then returns the end of the connection, as if the peer had
// closed it: a part of an answer that ends with its connection would be taken for a whole one. An
// answer that came whole, on the other hand, would be lost if the client stopped at the failed
// write. So it is the read side alone that ends an exchange.
type Conn struct {
	net.Conn
	// raw is the socket; nil if there is none.
	raw syscall.RawConn

	mu     sync.Mutex
	parser Parser
	// readErr is what each further read returns; nil while there is more to read.
	readErr error
	// writing is true during a write; wrote signals its end.
	writing bool
	wrote   *sync.Cond
	// begun is true once a byte of the request was written, writeErr is the first error that was
	// not this process's own.
	begun    bool
	writeErr error
}

// NewConn returns a Conn over a connection that has just been opened.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, raw: socket.Raw(conn)}
	c.wrote = sync.NewCond(&c.mu)
	return c
}

// Begin tells the method of the next request. It is called before the request is written.
func (c *Conn) Begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parser.Begin(method)
	c.begun = false
}

// Judge returns what was wrong with what came if an exchange failed because of that, and else err, its
// error. The HTTP client may report the first part of a broken line in its own words.
func (c *Conn) Judge(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errorx.IsOfType(c.readErr, ErrMalformed) || errorx.IsOfType(c.readErr, ErrIncomplete) {
		return c.readErr
	}
	return err
}

// Read implements net.Conn. The error is of type [ErrMalformed] if what came is no answer, and of
// type [ErrIncomplete] if the peer has ended the connection before the end of an answer.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if err := c.endOfReading(); err != nil || len(p) == 0 {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n, err = c.check(p[:n], err); n > 0 || err != nil {
			return n, err
		}
	}
}

// endOfReading returns the error that has ended reading; nil if there is more to read.
func (c *Conn) endOfReading() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// check checks what a read has returned.
func (c *Conn) check(data []byte, readErr error) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = c.parser.Parse(data)
	switch {
	case err != nil:
		c.readErr = err
	case errors.Is(readErr, io.EOF):
		c.readErr = c.judgeEnd()
	case n == 0:
		return 0, readErr
	}
	if n > 0 {
		// The next read returns the error.
		return n, nil
	}
	return 0, c.readErr
}

// judgeEnd returns io.EOF if the peer has closed the connection, without a reset, between two answers
// or at the end of one.
func (c *Conn) judgeEnd() error {
	if err := c.parser.End(); err != nil {
		return err
	}
	if err := c.resetByPeer(); err != nil {
		return ErrIncomplete.Wrap(err, "the connection was reset")
	}
	return io.EOF
}

// resetByPeer returns the error with which a write has failed because the peer reset the connection
// before it closed it. After a reset no write lasts, so that the one under way can be waited for: it
// may have got the error.
func (c *Conn) resetByPeer() error {
	for c.writing && c.raw != nil && socket.Dead(c.raw) {
		c.wrote.Wait()
	}
	if errors.Is(c.writeErr, syscall.EPIPE) {
		// The peer had closed the connection before it reset it.
		return nil
	}
	return c.writeErr
}

// Write implements net.Conn. Once a part of a request was written, an error that the peer has caused
// is not returned: the rest of the request is discarded, and reading tells whether an answer came.
func (c *Conn) Write(p []byte) (int, error) {
	discard, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	if discard {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	return c.endWrite(n, len(p), err)
}

// beginWrite begins a write, unless one has failed before: then the rest of a request that has begun
// is to be discarded, and another one gets the error.
func (c *Conn) beginWrite() (discard bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeErr == nil:
		c.writing = true
	case c.begun:
		return true, nil
	}
	return false, c.writeErr
}

// endWrite ends a write of n of length bytes and returns what is to be returned for it.
func (c *Conn) endWrite(n, length int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.begun = c.begun || n > 0
	c.wrote.Broadcast()
	if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.writeErr = err
	if c.begun {
		return length, nil
	}
	return n, err
}
