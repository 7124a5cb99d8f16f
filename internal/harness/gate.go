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
	// fullAfter is how long a connection to a full listener is waited for.
	fullAfter = 100 * time.Millisecond
	fillers   = 16
)

type gateMode int

const (
	gateOpen gateMode = iota
	// gateHeld takes new connections and passes nothing on.
	gateHeld
	// gateFull takes no new connections: whoever dials hangs.
	gateFull
)

// Gate passes connections on to an endpoint and can stop new ones, while those
// that it has passed on go on. So a message that has a connection of its own
// is stopped before or after it was written, and health checks are not.
type Gate struct {
	t        testing.TB
	listener *net.TCPListener

	mu       sync.Mutex
	changed  *sync.Cond
	mode     gateMode
	upstream string
	held     int
	// accepted counts connections since the latest change of mode.
	accepted int
	fill     []net.Conn
	// filling are the addresses of the gate's own connections.
	filling map[string]bool
	open    []net.Conn
	closed  bool
}

// NewGate returns an open gate, which ends with the test.
func NewGate(t testing.TB) *Gate {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(loopback)})
	if err != nil {
		t.Fatal(err)
	}
	g := &Gate{t: t, listener: listener, filling: make(map[string]bool)}
	g.changed = sync.NewCond(&g.mu)
	if err := g.shrinkBacklog(); err != nil {
		t.Fatal(err)
	}
	go g.accept()
	t.Cleanup(g.close)
	return g
}

// shrinkBacklog lets the kernel complete no connection beyond one that nobody
// has accepted; it drops the first packet of others, which their side repeats.
func (g *Gate) shrinkBacklog() error {
	raw, err := g.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listen error
	if err := raw.Control(func(fd uintptr) { listen = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	return listen
}

// URL is what the agent takes for the endpoint's.
func (g *Gate) URL() string { return "http://" + g.listener.Addr().String() }

// To sets the address that connections are passed on to, as host:port.
func (g *Gate) To(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.upstream = address
	g.changed.Broadcast()
}

// Hold takes new connections from now on, and passes nothing on before Open.
func (g *Gate) Hold() { g.set(gateHeld) }

// Open passes on what was held, and new connections.
func (g *Gate) Open() { g.set(gateOpen) }

// Fill makes whoever dials from now on hang until Open. The gate itself takes
// one more connection, which makes room for another, so that one failure does
// not yet show that it is full.
func (g *Gate) Fill() {
	g.t.Helper()
	g.set(gateFull)
	failures := 0
	for range fillers {
		conn, err := net.DialTimeout("tcp", g.listener.Addr().String(), fullAfter)
		if err != nil {
			failures++
			if failures == 2 {
				return
			}
			continue
		}
		failures = 0
		g.mu.Lock()
		g.fill = append(g.fill, conn)
		g.filling[conn.LocalAddr().String()] = true
		g.mu.Unlock()
	}
	g.t.Fatal("the gate's listener does not fill")
}

// Held returns nil once a connection with data waits at a gate that holds.
func (g *Gate) Held() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == 0 {
		return errorx.IllegalState.New("nothing waits at the gate")
	}
	return nil
}

// Connected returns nil once somebody has connected since the latest change.
func (g *Gate) Connected() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.accepted == 0 {
		return errorx.IllegalState.New("nobody has connected to the gate")
	}
	return nil
}

func (g *Gate) set(mode gateMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = mode
	g.accepted = 0
	if mode != gateFull {
		for _, conn := range g.fill {
			_ = conn.Close()
		}
		g.fill = nil
	}
	g.changed.Broadcast()
}

func (g *Gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		if !g.await(func() bool { return g.mode != gateFull }) {
			_ = conn.Close()
			return
		}
		g.noteAccepted(conn)
		go g.pass(conn)
	}
}

func (g *Gate) noteAccepted(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.filling[conn.RemoteAddr().String()] {
		g.accepted++
	}
}

// await waits for a condition that is judged under the lock; it returns false
// if the gate is closed first.
func (g *Gate) await(ready func() bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.closed && !ready() {
		g.changed.Wait()
	}
	return !g.closed
}

func (g *Gate) pass(from net.Conn) {
	defer func() { _ = from.Close() }()
	g.keep(from)
	first := make([]byte, 1)
	if _, err := io.ReadFull(from, first); err != nil {
		return
	}
	g.count(1)
	ready := g.await(func() bool { return g.mode == gateOpen && g.upstream != "" })
	g.count(-1)
	if !ready {
		return
	}
	to, err := net.Dial("tcp", g.upstream)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	g.keep(to)
	if _, err := to.Write(first); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(from, to)
}

func (g *Gate) count(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held += n
}

// keep notes a connection to be closed with the gate.
func (g *Gate) keep(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = append(g.open, conn)
}

func (g *Gate) close() {
	g.set(gateOpen)
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.changed.Broadcast()
	for _, conn := range g.open {
		_ = conn.Close()
	}
}
