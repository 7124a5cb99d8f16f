package member

import (
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

const (
	// crossWindow is the time within which two connections of one pair count
	// as dialled at once by both sides. Later, a second one means that the
	// other side has lost the first.
	simultaneousDialWindow = 2 * time.Second
	// maxSuperseded is how many earlier incarnations of a VM's process are
	// remembered, so that one that wakes from a pause does not come back.
	maxSuperseded = 4
	// maxSupersededVMs bounds the VMs for which they are remembered.
	maxSupersededVMs = 4096
)

// link is the connection in use to one VM's process.
type link struct {
	vm      string
	process wire.Process
	conn    *peer.Conn
	since   time.Time
	// gone is closed when the link is no longer the one in use; the connection
	// may outlive it.
	gone chan struct{}
	// wake makes the link's sender send the present head; it holds one, so a
	// slow peer never has more than one head waiting.
	wake chan struct{}
}

// links holds at most one connection for each VM.
type links struct {
	self string

	mu         sync.RWMutex
	byVM       map[string]*link
	byConn     map[*peer.Conn]*link
	superseded map[string][]string
}

func newLinks(self string) *links {
	return &links{
		self:       self,
		byVM:       make(map[string]*link),
		byConn:     make(map[*peer.Conn]*link),
		superseded: make(map[string][]string),
	}
}

// admission is what became of a new connection.
type admission struct {
	// Link is nil if the connection is not to be used.
	Link *link
	// Retire is the connection that is not to be used any more: the new one,
	// or the one whose place it takes. It is nil if there is none.
	Retire *peer.Conn
	// Stale: the new connection is from an earlier run of the VM's process,
	// as one that wakes from a pause after its successor was started.
	Stale  bool
	Reason string
}

// admit decides on a new connection.
func (l *links) admit(now time.Time, conn *peer.Conn, hello *wire.Hello) admission {
	vm := helloVM(hello)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(l.superseded[vm], hello.Process.Incarnation) {
		return admission{Stale: true, Reason: "a newer incarnation has been seen"}
	}
	old := l.byVM[vm]
	if old != nil && !l.replaces(now, old, conn, hello) {
		return admission{Retire: conn, Reason: "already connected"}
	}
	fresh := &link{
		vm: vm, process: hello.Process, conn: conn, since: now,
		gone: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	if old != nil {
		close(old.gone)
		delete(l.byConn, old.conn)
		if old.process.Incarnation != hello.Process.Incarnation {
			l.supersede(vm, old.process.Incarnation)
		}
	}
	l.byVM[vm] = fresh
	l.byConn[conn] = fresh
	if old == nil {
		return admission{Link: fresh}
	}
	return admission{Link: fresh, Retire: old.conn, Reason: "another connection took its place"}
}

// replaces decides which of two connections to one VM stays. Both ends should
// decide alike: of two that were dialled at once from both sides, the preferred
// side's stays. If they do not, as when they see the two at different times,
// each retires one and tells the other, both are left without, and dial again.
func (l *links) replaces(now time.Time, old *link, conn *peer.Conn, hello *wire.Hello) bool {
	if old.process.Incarnation != hello.Process.Incarnation {
		return true
	}
	if old.conn.Dialed() == conn.Dialed() || now.Sub(old.since) > simultaneousDialWindow {
		return true
	}
	return conn.Dialed() == prefersDial(l.self, helloVM(hello))
}

// prefersDial tells which VM of a pair dials when both may.
func prefersDial(self, other string) bool { return self < other }

func (l *links) supersede(vm, incarnation string) {
	if _, ok := l.superseded[vm]; !ok && len(l.superseded) >= maxSupersededVMs {
		for other := range l.superseded {
			delete(l.superseded, other)
			break
		}
	}
	list := append(l.superseded[vm], incarnation)
	l.superseded[vm] = list[max(0, len(list)-maxSuperseded):]
}

// remove forgets a connection that ended, or that the other side retired, and returns its link, or nil if it
// was not in use.
func (l *links) remove(conn *peer.Conn) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone, ok := l.byConn[conn]
	if !ok {
		return nil
	}
	close(gone.gone)
	delete(l.byConn, conn)
	delete(l.byVM, gone.vm)
	return gone
}

func (l *links) get(vm string) *link {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byVM[vm]
}

func (l *links) forConn(conn *peer.Conn) *link {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byConn[conn]
}

func (l *links) count() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.byVM)
}

// conns lists the connections to processes of a role, sorted by VM.
func (l *links) conns(role wire.Role) []*peer.Conn {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var names []string
	for vm, k := range l.byVM {
		if k.process.Role == role {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	conns := make([]*peer.Conn, len(names))
	for i, vm := range names {
		conns[i] = l.byVM[vm].conn
	}
	return conns
}

func helloVM(hello *wire.Hello) string {
	if hello.VM != "" {
		return hello.VM
	}
	return hello.Process.Name
}
