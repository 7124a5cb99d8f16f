package harness

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// fullDialTimeout is the dial timeout after which the listener counts as full.
	fullDialTimeout = 100 * time.Millisecond
	// maxFillConns limits the connections with which Fill fills the listener.
	maxFillConns = 16
)

type gateMode int

const (
	gateOpen gateMode = iota
	// gateHolding accepts new connections but forwards no data of them.
	gateHolding
	// gateFull accepts no new connections, so that dialling blocks.
	gateFull
)

// Gate is a TCP proxy to an endpoint that can block new connections while
// established ones, such as those of health checks, continue. With it, a message
// that is sent on a connection of its own can be blocked before or after it was
// written.
type Gate struct {
	t        testing.TB
	listener *net.TCPListener

	mu       sync.Mutex
	cond     *sync.Cond
	mode     gateMode
	upstream string
	// waiting counts the connections with data that wait to be forwarded.
	waiting int
	// accepted counts the connections since the last change of mode, except those
	// of Fill.
	accepted  int
	fillConns []net.Conn
	// fillAddrs holds the local addresses of the connections that Fill made.
	fillAddrs map[string]bool
	conns     []net.Conn
	closed    bool
}

// NewGate returns an open gate, which is closed at the end of the test.
func NewGate(t testing.TB) *Gate {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(loopback)})
	if err != nil {
		t.Fatal(err)
	}
	g := &Gate{t: t, listener: listener, fillAddrs: make(map[string]bool)}
	g.cond = sync.NewCond(&g.mu)
	if err := g.shrinkBacklog(); err != nil {
		t.Fatal(err)
	}
	go g.accept()
	t.Cleanup(g.close)
	return g
}

// shrinkBacklog reduces the listen backlog to zero. The kernel then completes at
// most one connection that is not accepted yet, and drops the SYN packets of
// others, which the clients retransmit.
func (g *Gate) shrinkBacklog() error {
	raw, err := g.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	return listenErr
}

// URL returns the URL of the gate, to be used as that of the endpoint.
func (g *Gate) URL() string { return "http://" + g.listener.Addr().String() }

// SetUpstream sets the address to which connections are forwarded, as host:port.
func (g *Gate) SetUpstream(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.upstream = address
	g.cond.Broadcast()
}

// Hold makes the gate accept new connections but forward none of their data until
// Open.
func (g *Gate) Hold() { g.set(gateHolding) }

// Open makes the gate forward waiting and new connections.
func (g *Gate) Open() { g.set(gateOpen) }

// Fill makes new dials to the gate block until Open, by filling the listen
// backlog. The gate's accept loop may still take one connection out of the
// backlog, so only two consecutive dial failures show that it is full.
func (g *Gate) Fill() {
	g.t.Helper()
	g.set(gateFull)
	failures := 0
	for range maxFillConns {
		conn, err := net.DialTimeout("tcp", g.listener.Addr().String(), fullDialTimeout)
		if err != nil {
			failures++
			if failures == 2 {
				return
			}
			continue
		}
		failures = 0
		g.mu.Lock()
		g.fillConns = append(g.fillConns, conn)
		g.fillAddrs[conn.LocalAddr().String()] = true
		g.mu.Unlock()
	}
	g.t.Fatal("the backlog of the gate's listener does not fill up")
}

// CheckWaiting returns nil if a connection that has sent data waits at the gate to be
// forwarded.
func (g *Gate) CheckWaiting() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting == 0 {
		return errorx.IllegalState.New("no connection with data waits at the gate")
	}
	return nil
}

// CheckConnected returns nil if a connection was accepted since the last change of
// mode.
func (g *Gate) CheckConnected() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.accepted == 0 {
		return errorx.IllegalState.New("the gate has accepted no connection since the last change of mode")
	}
	return nil
}

// set changes the mode, closes the connections of Fill unless the gate is to be
// full, and wakes waiting connections.
func (g *Gate) set(mode gateMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = mode
	g.accepted = 0
	if mode != gateFull {
		for _, conn := range g.fillConns {
			_ = conn.Close()
		}
		g.fillConns = nil
	}
	g.cond.Broadcast()
}

func (g *Gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		if !g.waitUntil(func() bool { return g.mode != gateFull }) {
			_ = conn.Close()
			return
		}
		g.countAccepted(conn)
		go g.forward(conn)
	}
}

func (g *Gate) countAccepted(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.fillAddrs[conn.RemoteAddr().String()] {
		g.accepted++
	}
}

// waitUntil waits until ready returns true; it calls ready with the lock held. It
// returns false if the gate is closed.
func (g *Gate) waitUntil(ready func() bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.closed && !ready() {
		g.cond.Wait()
	}
	return !g.closed
}

// forward waits for the first byte of a connection and for the gate to open, and
// then copies data in both directions.
func (g *Gate) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	g.track(from)
	first := make([]byte, 1)
	if _, err := io.ReadFull(from, first); err != nil {
		return
	}
	g.addWaiting(1)
	ready := g.waitUntil(func() bool { return g.mode == gateOpen && g.upstream != "" })
	g.addWaiting(-1)
	if !ready {
		return
	}
	to, err := net.Dial("tcp", g.upstream)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	g.track(to)
	if _, err := to.Write(first); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(from, to)
}

func (g *Gate) addWaiting(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting += n
}

// track registers a connection to be closed with the gate.
func (g *Gate) track(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, conn)
}

func (g *Gate) close() {
	g.set(gateOpen)
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.cond.Broadcast()
	for _, conn := range g.conns {
		_ = conn.Close()
	}
}
