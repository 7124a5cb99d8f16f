// Package peer connects the product's own processes by jsonrpc2 over TCP,
// usually with mutual TLS. It never sends a message twice and tells apart
// calls that were not written from calls whose fate is unknown.
package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/mangostage/mangostage/wire"
)

var (
	errs = errorx.NewNamespace("peer")
	// ErrNotWritten means that no complete message left this process, so the
	// peer cannot have acted on it.
	ErrNotWritten = errs.NewType("not_written")
	// ErrLost means that the message was, or may have been, written and no reply came.
	ErrLost = errs.NewType("lost")
	// ErrMalformed means that a message broke the protocol.
	ErrMalformed = errs.NewType("malformed")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = errs.NewType("remote")
)

const (
	helloMethod  = wire.MethodHello
	helloTimeout = 2 * time.Second
	// keepAlive bounds how long a connection to a vanished VM looks alive.
	keepAlive = 5 * time.Second
)

// Config is what a node is made of.
type Config struct {
	// TLS is the base of both server and client configuration; nil means plain TCP.
	TLS *tls.Config
	// Dial opens plain connections; nil means one without further time limits.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Hello returns what this process says of itself at the start of a connection.
	Hello func() wire.Hello
	// OnConnect and OnClose are called once for each authenticated connection.
	OnConnect func(*Conn)
	OnClose   func(*Conn)
	// OnRefuse is called for each incoming connection whose TLS handshake failed.
	OnRefuse func(from net.Addr, err error)
	// Stalled tells whether this process was paused and has not dealt with it
	// yet; no call is written then. It is asked before each call; nil means never.
	Stalled func() bool
}

// Node is this process's end of all its connections.
type Node struct {
	Traffic Traffic

	cfg      Config
	mux      *Mux
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	listener net.Listener
	closed   bool
	wg       sync.WaitGroup
	// ctx ends with Close; it bounds handshakes.
	ctx  context.Context
	stop context.CancelFunc
}

// NewNode returns a node that serves the methods of mux.
func NewNode(cfg Config, mux *Mux) *Node {
	n := &Node{cfg: cfg, mux: mux, conns: make(map[*Conn]struct{})}
	n.ctx, n.stop = context.WithCancel(context.Background())
	HandleCall(mux, helloMethod, n.serveHello)
	return n
}

// Conn is one connection to a peer, used in both directions.
type Conn struct {
	node          *Node
	rpc           *jsonrpc2.Conn
	opened        chan struct{}
	remote        net.Addr
	dialed        atomic.Bool
	authenticated atomic.Bool
	hello         atomic.Pointer[wire.Hello]
	// dropped is set before the connection is closed by DropAll.
	dropped atomic.Bool
}

// Listen accepts connections on addr until Close and returns the bound address.
func (n *Node) Listen(addr string) (net.Addr, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errorx.Decorate(err, "listen for peers")
	}
	bound := listener.Addr()
	if n.cfg.TLS != nil {
		listener = tls.NewListener(listener, n.cfg.TLS)
	}
	n.mu.Lock()
	n.listener = listener
	n.mu.Unlock()
	n.wg.Add(1)
	go n.accept(listener)
	return bound, nil
}

func (n *Node) accept(listener net.Listener) {
	defer n.wg.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.wg.Add(1)
		go n.admit(conn)
	}
}

// admit makes a connection of an accepted one whose other side proves itself.
// The handshake is made here, and not with the first message, so that a
// stranger is counted and told of, and never reaches the message loop.
func (n *Node) admit(conn net.Conn) {
	defer n.wg.Done()
	if secure, ok := conn.(*tls.Conn); ok {
		ctx, cancel := context.WithTimeout(n.ctx, helloTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			n.refuse(conn, err)
			return
		}
	}
	c := n.open(conn)
	time.AfterFunc(helloTimeout, func() {
		if !c.authenticated.Load() {
			c.Close()
		}
	})
}

func (n *Node) refuse(conn net.Conn, err error) {
	_ = conn.Close()
	if n.ctx.Err() != nil {
		return
	}
	n.Traffic.HandshakesRefused.Add(1)
	if n.cfg.OnRefuse != nil {
		n.cfg.OnRefuse(conn.RemoteAddr(), err)
	}
}

func (n *Node) open(conn net.Conn) *Conn {
	c := &Conn{node: n, remote: conn.RemoteAddr(), opened: make(chan struct{})}
	// The read loop starts inside NewConn, before c.rpc is assigned; Handle
	// waits for opened so that no handler meets a Conn without it.
	c.rpc = jsonrpc2.NewConn(context.Background(), newStream(conn, &n.Traffic), c, jsonrpc2.SetLogger(discard{}))
	close(c.opened)
	n.mu.Lock()
	n.conns[c] = struct{}{}
	closed := n.closed
	if !closed {
		// Close waits only for what is counted before it: a dial that ends
		// later must not add to a count that is being waited for.
		n.wg.Add(1)
	}
	n.mu.Unlock()
	go func() {
		n.watch(c)
		if !closed {
			n.wg.Done()
		}
	}()
	if closed {
		c.Close()
	}
	return c
}

func (n *Node) watch(c *Conn) {
	<-c.rpc.DisconnectNotify()
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	if c.authenticated.Load() && n.cfg.OnClose != nil {
		n.cfg.OnClose(c)
	}
}

// Dial connects to addr and joins the process there.
func (n *Node) Dial(ctx context.Context, addr string) (*Conn, error) {
	conn, err := n.Connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return n.Join(ctx, conn)
}

// Connect opens a connection to addr, on which nothing has been said.
func (n *Node) Connect(ctx context.Context, addr string) (net.Conn, error) {
	dial := n.cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: helloTimeout, KeepAlive: keepAlive}).DialContext
	}
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, ErrNotWritten.Wrap(err, "dial %s", addr)
	}
	return conn, nil
}

// Join makes the TLS handshake on a connection from Connect and exchanges hellos.
func (n *Node) Join(ctx context.Context, conn net.Conn) (*Conn, error) {
	addr := conn.RemoteAddr()
	secure, err := n.secure(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, ErrNotWritten.Wrap(err, "handshake with %s", addr)
	}
	c := n.open(secure)
	c.dialed.Store(true)
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var theirs wire.Hello
	if err := c.Call(ctx, helloMethod, n.cfg.Hello(), &theirs); err != nil {
		c.Close()
		return nil, ErrNotWritten.Wrap(err, "hello to %s", addr)
	}
	c.accept(theirs)
	return c, nil
}

func (n *Node) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if n.cfg.TLS == nil || n.cfg.Dial != nil {
		return conn, nil
	}
	cfg := n.cfg.TLS
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
		if err != nil {
			return nil, err
		}
		cfg = cfg.Clone()
		cfg.ServerName = host
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	secure := tls.Client(conn, cfg)
	return secure, secure.HandshakeContext(ctx)
}

func (n *Node) serveHello(_ context.Context, from *Conn, theirs wire.Hello) (wire.Hello, error) {
	if theirs.Process.Name == "" || theirs.Process.Incarnation == "" {
		return wire.Hello{}, ErrMalformed.New("hello without a process")
	}
	from.accept(theirs)
	return n.cfg.Hello(), nil
}

func (c *Conn) accept(theirs wire.Hello) {
	c.hello.Store(&theirs)
	if c.authenticated.Swap(true) {
		return
	}
	if c.node.cfg.OnConnect != nil {
		c.node.cfg.OnConnect(c)
	}
}

// Conns lists the authenticated connections.
func (n *Node) Conns() []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := make([]*Conn, 0, len(n.conns))
	for c := range n.conns {
		if c.authenticated.Load() {
			conns = append(conns, c)
		}
	}
	return conns
}

// DropAll closes every connection and keeps listening. A process that was
// paused calls it, so that messages that waited in socket buffers die unread.
// When it returns no call is written to any of the connections, which it lists;
// a peer that does not read may hold up the close of its own for seconds.
func (n *Node) DropAll() []*Conn {
	n.mu.Lock()
	conns := make([]*Conn, 0, len(n.conns))
	for c := range n.conns {
		c.dropped.Store(true)
		conns = append(conns, c)
		// The connection's watch still counts, so Close does not miss this.
		n.wg.Go(c.Close)
	}
	n.mu.Unlock()
	return conns
}

// StopListening refuses new connections and keeps the open ones.
func (n *Node) StopListening() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener != nil {
		_ = n.listener.Close()
	}
}

// Close ends the listener and all connections and waits for them.
func (n *Node) Close() {
	n.StopListening()
	n.stop()
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.DropAll()
	n.wg.Wait()
}

// Peer returns the latest hello of the other side.
func (c *Conn) Peer() wire.Hello {
	if h := c.hello.Load(); h != nil {
		return *h
	}
	return wire.Hello{}
}

// RemoteAddr returns the other side's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// Dialed tells whether this process dialled the connection, or accepted it.
func (c *Conn) Dialed() bool { return c.dialed.Load() }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Call sends a request and waits for its result. Its error is of type
// ErrNotWritten, ErrLost or ErrRemote. A call is never sent again.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	text, err := verbatim(params)
	if err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	if err := c.writable(); err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	waiter, err := c.rpc.DispatchCall(ctx, method, text)
	if err != nil {
		return writeError(err, method)
	}
	var reply json.RawMessage
	if err := waiter.Wait(ctx, &reply); err != nil {
		return waitError(err, method)
	}
	if result == nil {
		return nil
	}
	if err := decode(reply, result); err != nil {
		return ErrLost.Wrap(err, "%s: malformed result", method)
	}
	return nil
}

// writable is asked immediately before a call is written, which cannot be undone.
//
// It guards against calls that a process writes on waking from a pause. The
// connections are dropped as soon as the pause is noticed, and a call that was
// written until then has an unknown fate, though nothing was wrong but the time
// at which it was written. The order of the two questions matters: once the
// process no longer counts as stalled its old connections are marked.
func (c *Conn) writable() error {
	if c.node.cfg.Stalled != nil && c.node.cfg.Stalled() {
		return ErrNotWritten.New("this process was paused")
	}
	if c.dropped.Load() {
		return ErrNotWritten.New("the connection was dropped")
	}
	return nil
}

// Notify sends a notification.
func (c *Conn) Notify(method string, params any) error {
	text, err := verbatim(params)
	if err != nil {
		return ErrNotWritten.Wrap(err, "%s", method)
	}
	if err := c.rpc.Notify(context.Background(), method, text); err != nil {
		return writeError(err, method)
	}
	return nil
}
