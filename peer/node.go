// Package peer connects the processes of a fleet by JSON-RPC 2.0 over TCP,
// usually with mutual TLS. It never sends a message twice, and its errors
// distinguish calls that were not written from calls whose outcome is unknown.
package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"sync"
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
	// ErrMalformed means that a message violates the protocol.
	ErrMalformed = errs.NewType("malformed")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = errs.NewType("remote")
)

const (
	helloMethod = wire.MethodHello
	// helloTimeout bounds each of the TCP connect, the TLS handshake and the hello.
	helloTimeout = 2 * time.Second
	// keepAlivePeriod is the TCP keep-alive period of dialled connections. It
	// bounds how long a connection to a vanished VM looks alive.
	keepAlivePeriod = 5 * time.Second
)

// Config configures a Node. OnConnect, OnClose, OnHandshakeFailed and Stalled may be nil.
type Config struct {
	// TLS is used for accepted and for dialled connections; nil means plain TCP.
	TLS *tls.Config
	// Dial opens outgoing connections, which are used without TLS. Nil means a
	// TCP dialer, with TLS on top if TLS is set.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Hello returns the description of this process that is exchanged at the
	// start of a connection.
	Hello func() wire.Hello
	// OnConnect and OnClose are called once for each authenticated connection.
	OnConnect func(*Conn)
	OnClose   func(*Conn)
	// OnHandshakeFailed is called for each incoming connection whose TLS handshake failed.
	OnHandshakeFailed func(from net.Addr, err error)
	// Stalled reports whether this process was paused and has not yet recovered
	// from the pause; while it returns true no call is written. It runs before
	// each call; nil means never stalled.
	Stalled func() bool
	// MaxUnauthenticated bounds the accepted connections whose hello has not come; 0 means a
	// default.
	MaxUnauthenticated int
}

// Node holds all peer connections of this process.
type Node struct {
	// Traffic has the counters of all connections.
	Traffic Traffic

	cfg      Config
	mux      *Mux
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	listener net.Listener
	closed   bool
	wg       sync.WaitGroup
	// unauthenticated holds the accepted connections whose hello has not come.
	unauthenticated unauthenticated
	// ctx is cancelled by Close; it bounds the TLS handshakes of accepted connections.
	ctx  context.Context
	stop context.CancelFunc
}

// NewNode returns a node that serves the methods of mux, to which it adds hello.
func NewNode(cfg Config, mux *Mux) *Node {
	n := &Node{cfg: cfg, mux: mux, conns: make(map[*Conn]struct{})}
	n.unauthenticated.max = cmp.Or(cfg.MaxUnauthenticated, defaultMaxUnauthenticated)
	n.ctx, n.stop = context.WithCancel(context.Background())
	HandleCall(mux, helloMethod, n.serveHello)
	return n
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
	go n.acceptLoop(listener)
	return bound, nil
}

func (n *Node) acceptLoop(listener net.Listener) {
	defer n.wg.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.wg.Add(1)
		go n.handleAccepted(conn)
	}
}

// handleAccepted runs the TLS handshake of an accepted connection and starts its
// read loop. It closes the connection if no hello arrives within helloTimeout.
// The handshake runs here, and not with the first message, so that a client
// without a valid certificate is counted, is reported to the node's owner, and
// never reaches the read loop.
func (n *Node) handleAccepted(conn net.Conn) {
	defer n.wg.Done()
	done := n.unauthenticated.add(conn)
	if secure, ok := conn.(*tls.Conn); ok {
		ctx, cancel := context.WithTimeout(n.ctx, helloTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			done()
			n.rejectHandshake(conn, err)
			return
		}
	}
	c := n.newConn(conn, maxHello, done)
	time.AfterFunc(helloTimeout, func() {
		if !c.authenticated.Load() {
			c.Close()
		}
	})
}

func (n *Node) rejectHandshake(conn net.Conn, err error) {
	_ = conn.Close()
	if n.ctx.Err() != nil {
		return
	}
	n.Traffic.HandshakesRefused.Add(1)
	if n.cfg.OnHandshakeFailed != nil {
		n.cfg.OnHandshakeFailed(conn.RemoteAddr(), err)
	}
}

// newConn starts the read loop of a connection and registers it. If the node is
// closed already, it closes the connection. Messages have maxMessage bytes at most until
// the hello has come; introduced is called when it has, or when the connection has ended.
func (n *Node) newConn(conn net.Conn, maxMessage int64, introduced func()) *Conn {
	ctx, end := context.WithCancel(context.Background())
	c := &Conn{node: n, remote: conn.RemoteAddr(), ready: make(chan struct{}), stream: newStream(conn, &n.Traffic), ctx: ctx, introduced: sync.OnceFunc(introduced)}
	c.stream.maxMessage.Store(maxMessage)
	c.stream.handleCompact = c.handleCompact
	// The read loop starts inside jsonrpc2.NewConn, before c.rpc is assigned.
	// Handle waits for ready so that no handler uses a Conn without rpc.
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, c, jsonrpc2.SetLogger(discardLogger{}))
	close(c.ready)
	n.mu.Lock()
	n.conns[c] = struct{}{}
	closed := n.closed
	if !closed {
		// A dial may finish after Close has been called; it must not add to
		// wg while Close waits on it.
		n.wg.Add(1)
	}
	n.mu.Unlock()
	go func() {
		n.awaitDisconnect(c)
		c.introduced()
		end()
		if !closed {
			n.wg.Done()
		}
	}()
	if closed {
		c.Close()
	}
	return c
}

// awaitDisconnect waits until a connection has ended, unregisters it and calls OnClose.
func (n *Node) awaitDisconnect(c *Conn) {
	<-c.rpc.DisconnectNotify()
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	if c.authenticated.Load() && n.cfg.OnClose != nil {
		n.cfg.OnClose(c)
	}
}

// Dial connects to addr, performs the TLS handshake and exchanges hellos. Its
// errors are of type ErrNotWritten.
func (n *Node) Dial(ctx context.Context, addr string) (*Conn, error) {
	conn, err := n.Connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return n.Handshake(ctx, conn)
}

// Connect opens a connection to addr without a TLS handshake or a hello; Handshake
// performs both.
func (n *Node) Connect(ctx context.Context, addr string) (net.Conn, error) {
	dial := n.cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: helloTimeout, KeepAlive: keepAlivePeriod}).DialContext
	}
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, ErrNotWritten.Wrap(err, "dial %s", addr)
	}
	return conn, nil
}

// Handshake performs the TLS handshake on a connection from Connect and exchanges
// hellos. It closes the connection on error.
func (n *Node) Handshake(ctx context.Context, conn net.Conn) (*Conn, error) {
	addr := conn.RemoteAddr()
	secure, err := n.clientHandshake(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, ErrNotWritten.Wrap(err, "handshake with %s", addr)
	}
	c := n.newConn(secure, wire.MaxMessage, func() {})
	c.dialed.Store(true)
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var theirs wire.Hello
	if err := c.Call(ctx, helloMethod, n.hello(), &theirs); err != nil {
		c.Close()
		return nil, ErrNotWritten.Wrap(err, "hello to %s", addr)
	}
	c.completeHello(theirs)
	return c, nil
}

// clientHandshake returns conn with TLS on top, after the handshake, or conn
// itself if it is used without TLS.
func (n *Node) clientHandshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
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
	from.completeHello(theirs)
	return n.hello(), nil
}

// hello returns the description of this process.
func (n *Node) hello() wire.Hello {
	h := n.cfg.Hello()
	h.Compact = true
	return h
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

// DropAll closes every connection, keeps listening, and returns the connections.
// A process that was paused calls it to discard unread messages that arrived
// during the pause. Once it has returned, no call is written to any of these
// connections. The connections close in the background, because the close can
// take seconds for a peer that does not read.
func (n *Node) DropAll() []*Conn {
	n.mu.Lock()
	conns := make([]*Conn, 0, len(n.conns))
	for c := range n.conns {
		c.dropped.Store(true)
		conns = append(conns, c)
		// awaitDisconnect of this connection still counts in wg, so wg.Go cannot
		// race with the Wait in Close.
		n.wg.Go(c.Close)
	}
	n.mu.Unlock()
	return conns
}

// StopListening closes the listener and keeps the open connections.
func (n *Node) StopListening() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener != nil {
		_ = n.listener.Close()
	}
}

// Close closes the listener and all connections and waits until they have ended.
func (n *Node) Close() {
	n.StopListening()
	n.stop()
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.DropAll()
	n.wg.Wait()
}
