package httpanswer

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/joomcode/errorx"
)

// Conn is a connection over which an HTTP client sends requests and reads answers. It passes on
// only bytes of answers.
type Conn struct {
	net.Conn

	mu     sync.Mutex
	parser Parser
	// readErr is what each further read returns; nil while there is more to read.
	readErr error
}

// NewConn returns a Conn over a connection that has just been opened.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Begin tells the method of the next request. It is called before the request is written.
func (c *Conn) Begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parser.Begin(method)
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

// endOfReading returns the error that ended reading.
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
	default:
		c.readErr = readErr
	}
	if n > 0 {
		// The next read returns the error.
		return n, nil
	}
	return 0, c.readErr
}

// judgeEnd returns io.EOF if the peer has closed the connection between two answers or at the end of
// one.
func (c *Conn) judgeEnd() error {
	if err := c.parser.End(); err != nil {
		return err
	}
	return io.EOF
}
