package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/mangostage/mangostage/wire"
)

// Conn is one connection to a peer, used in both directions.
type Conn struct {
	node   *Node
	rpc    *jsonrpc2.Conn
	stream *stream
	// ready is closed once rpc is set.
	ready  chan struct{}
	remote net.Addr
	// dialed means that this process dialled the connection.
	dialed atomic.Bool
	// authenticated means that the hello of the peer has been received.
	authenticated atomic.Bool
	// hello is the latest hello of the peer; nil before the first.
	hello atomic.Pointer[wire.Hello]
	// helloBegun means that a hello is being handled, or has been.
	helloBegun atomic.Bool
	// introduced records that the hello of the peer has come.
	introduced func()
	// compact means that a hello has said that the peer knows compact messages; later ones may
	// leave it out.
	compact atomic.Bool
	// ctx ends with the connection.
	ctx context.Context
	// dropped means that DropAll is closing the connection; no call is written
	// from then on.
	dropped atomic.Bool
}

// completeHello stores a hello of the peer and, on the first one, marks the
// connection as authenticated and calls OnConnect.
func (c *Conn) completeHello(theirs wire.Hello) {
	c.hello.Store(&theirs)
	if theirs.Compact {
		c.compact.Store(true)
	}
	if c.authenticated.Swap(true) {
		return
	}
	c.stream.maxMessage.Store(wire.MaxMessage)
	c.introduced()
	if c.node.cfg.OnConnect != nil {
		c.node.cfg.OnConnect(c)
	}
}

// Peer returns the latest hello of the peer; zero before the first.
func (c *Conn) Peer() wire.Hello {
	if h := c.hello.Load(); h != nil {
		return *h
	}
	return wire.Hello{}
}

// RemoteAddr returns the network address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// Dialed reports whether this process dialled the connection; false means that
// it accepted it.
func (c *Conn) Dialed() bool { return c.dialed.Load() }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Context returns a context that ends with the connection.
func (c *Conn) Context() context.Context { return c.ctx }

// Close closes the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Call sends a request, waits for the reply and decodes it into result, which
// may be nil. Its error is of type ErrNotWritten, ErrLost or ErrRemote. Call
// never retries.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	text, err := encodeVerbatim(params)
	if err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	if err := c.checkWritable(); err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	waiter, err := c.rpc.DispatchCall(ctx, method, text)
	if err != nil {
		return classifyWriteError(err, method)
	}
	var reply json.RawMessage
	if err := waiter.Wait(ctx, &reply); err != nil {
		return classifyWaitError(err, method)
	}
	if result == nil {
		return nil
	}
	if err := decodeVerbatim(reply, result); err != nil {
		return ErrLost.Wrap(err, "%s: malformed result", method)
	}
	return nil
}

// checkWritable returns ErrNotWritten if no call may be written to the connection
// now. Call runs it immediately before the write, which cannot be undone.
//
// It prevents a process that resumes from a pause from writing calls to its old
// connections. These are dropped as soon as the pause is detected, and the
// outcome of a call written before that would be unknown, although a moment
// later it could have gone out on a new connection. Stalled must be checked
// before dropped: by the time Stalled returns false, the old connections are
// marked as dropped.
func (c *Conn) checkWritable() error {
	if c.node.cfg.Stalled != nil && c.node.cfg.Stalled() {
		return ErrNotWritten.New("this process was paused")
	}
	if c.dropped.Load() {
		return ErrNotWritten.New("the connection was dropped")
	}
	return nil
}

// Notify sends a notification, which has no reply. Its error is of type
// ErrNotWritten or ErrLost.
func (c *Conn) Notify(method string, params any) error {
	text, err := encodeVerbatim(params)
	if err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	if err := c.rpc.Notify(context.Background(), method, text); err != nil {
		return classifyWriteError(err, method)
	}
	return nil
}
