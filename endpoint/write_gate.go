package endpoint

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/internal/httpanswer"
	"github.com/mangostage/mangostage/internal/socket"
)

var (
	errs = errorx.NewNamespace("endpoint")
	// ErrTooLate is the cause of a call of which nothing was written because its
	// deadline had passed.
	ErrTooLate = errs.NewType("too_late")
	// ErrMalformed is the cause of a reply that does not follow the protocol.
	ErrMalformed = errs.NewType("malformed_reply")
	// ErrFailed is the cause of a call that the endpoint reports as failed.
	ErrFailed = errs.NewType("failed")
	// ErrRefused is the cause of a call that the endpoint did not run.
	ErrRefused = errs.NewType("refused")
	// ErrUnavailable is the cause when the endpoint could not be reached.
	ErrUnavailable = errs.NewType("unavailable")
	// errSealed is the cause of a write that is no longer allowed.
	errSealed = errs.NewType("sealed")
	// errEnded is the cause of a write to a connection that the endpoint has closed.
	errEnded = errs.NewType("connection_ended")
)

type guardKey struct{}

// WithGuard returns a context whose guard runs immediately before the first byte
// of a call is written, and only then. If it returns an error, nothing is
// written and the call fails with Written false.
func WithGuard(ctx context.Context, guard func() error) context.Context {
	return context.WithValue(ctx, guardKey{}, guard)
}

// writeGate decides whether the first byte of one call may be written and
// records whether it was.
//
// The HTTP transport writes in its own goroutine, which may not have run yet when
// the caller already has its error. To ensure that a call reported as never
// written is not written afterwards, seal and beginWrite use the same lock, and
// after seal a first write fails before it reaches the socket.
//
// The process may also be paused between its last check and the write.
// beginWrite therefore compares the clock with the deadline itself: in a process
// that has just resumed, the context's timer may not have fired yet.
type writeGate struct {
	deadline time.Time
	guard    func() error

	mu sync.Mutex
	// wrote is true if a first write was allowed and has not been undone.
	wrote bool
	// sealed is true if no first write is allowed any more.
	sealed bool
	// cause is why beginWrite refused the first write, or nil.
	cause error
}

func newWriteGate(ctx context.Context) *writeGate {
	g := &writeGate{}
	g.deadline, _ = ctx.Deadline()
	g.guard, _ = ctx.Value(guardKey{}).(func() error)
	return g
}

// beginWrite is called before each write to a connection. It reports whether the
// write is the first one, and returns an error if it must not happen.
func (g *writeGate) beginWrite() (first bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed {
		return false, errSealed.New("the call was given up before it was written")
	}
	if g.wrote {
		return false, nil
	}
	if err := g.check(); err != nil {
		g.sealed = true
		g.cause = err
		return false, err
	}
	g.wrote = true
	return true, nil
}

// undoWrite undoes the first write, of which the socket accepted no byte.
func (g *writeGate) undoWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wrote = false
}

// started reports whether a first write was allowed.
func (g *writeGate) started() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.wrote
}

// check returns an error if the deadline has passed or the guard forbids the
// first write.
func (g *writeGate) check() error {
	if !g.deadline.IsZero() && !time.Now().Before(g.deadline) {
		return ErrTooLate.New("the deadline passed before the call was written")
	}
	if g.guard != nil {
		return g.guard()
	}
	return nil
}

// seal forbids a first write from now on and reports whether one was already allowed.
func (g *writeGate) seal() Written {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.wrote {
		g.sealed = true
	}
	return Written(g.wrote)
}

// causeOr returns the error with which beginWrite refused the first write, or
// else err.
func (g *writeGate) causeOr(err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cause != nil {
		return g.cause
	}
	return err
}

// gatedConn checks the gate of its current call before each write.
type gatedConn struct {
	*httpanswer.Conn
	// raw is the underlying socket; nil if Conn has none.
	raw     syscall.RawConn
	mu      sync.Mutex
	current *writeGate
}

func newGatedConn(conn net.Conn, gate *writeGate) *gatedConn {
	return &gatedConn{Conn: httpanswer.NewConn(conn), raw: socket.Raw(conn), current: gate}
}

// assign makes gate the one that is checked from now on. HTTP/1 carries one request
// at a time, so the previous call has ended.
func (c *gatedConn) assign(gate *writeGate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = gate
}

// Write writes p if the current call's gate allows it.
//
// A call must not count as written if the endpoint had already closed the
// connection, because its caller would be told that it may have run. The close
// may have arrived at the socket without having been read, or it may make the
// write itself fail.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	gate := c.current
	c.mu.Unlock()
	if gate == nil {
		return 0, errSealed.New("no call holds the connection")
	}
	if c.raw != nil && !gate.started() && socket.ClosedByPeer(c.raw) {
		return 0, errEnded.New("the endpoint has closed the connection")
	}
	first, err := gate.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		gate.undoWrite()
	}
	return n, err
}
