package member

import (
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

const (
	// simultaneousDialWindow is the time within which two connections between a
	// pair of processes, one dialled by each side, count as dialled
	// simultaneously. A second connection after that means that the peer has
	// lost the first.
	simultaneousDialWindow = 2 * time.Second
	// maxSuperseded is how many earlier incarnations of a VM's process are
	// remembered, so that one that resumes from a pause is refused.
	maxSuperseded = 4
	// maxSupersededVMs bounds the VMs whose earlier incarnations are remembered.
	maxSupersededVMs = 4096
)

// link is the connection in use to the process on a VM.
type link struct {
	vm      string
	process wire.Process
	conn    *peer.Conn
	// since is when the connection became the one in use.
	since time.Time
	// gone is closed when the link is no longer in use; its connection may stay
	// open for longer.
	gone chan struct{}
	// wake triggers sendHeads to send the current head. Its capacity is one, so
	// at most one head is pending for a slow peer.
	wake chan struct{}
}

// links holds at most one link for each VM.
type links struct {
	// self is the name of this process's VM.
	self string

	mu     sync.RWMutex
	byVM   map[string]*link
	byConn map[*peer.Conn]*link
	// superseded has the earlier incarnations of each VM's process, oldest first.
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

// admission is the decision on a new connection.
type admission struct {
	// Link is the link of the new connection; nil if the connection is not used.
	Link *link
	// Retire is the connection to retire: the new one, or the one that it
	// replaces. It is nil if there is none.
	Retire *peer.Conn
	// Stale means that the new connection is from an earlier incarnation of the
	// VM's process, for example one that resumes from a pause after its successor
	// was started.
	Stale bool
	// Reason explains Retire or Stale in the log.
	Reason string
}

// admit decides whether a new connection is used, and registers its link if so.
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

// replaces reports whether a new connection to a VM replaces the old one. Both
// processes should keep the same connection: of two that were dialled
// simultaneously from both sides, it is the one dialled by the preferred side
// (see prefersDial). If they decide differently, for example because they see the
// connections at different times, each retires one and notifies the other, so
// that both are left without a connection and dial again.
func (l *links) replaces(now time.Time, old *link, conn *peer.Conn, hello *wire.Hello) bool {
	if old.process.Incarnation != hello.Process.Incarnation {
		return true
	}
	if old.conn.Dialed() == conn.Dialed() || now.Sub(old.since) > simultaneousDialWindow {
		return true
	}
	return conn.Dialed() == prefersDial(l.self, helloVM(hello))
}

// prefersDial reports whether self, rather than other, is the preferred side to
// dial when both VMs of a pair may.
func prefersDial(self, other string) bool { return self < other }

// supersede records an earlier incarnation of a VM's process. The caller holds mu.
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

// remove removes a connection that ended or that the peer retired, and returns its
// link, or nil if the connection was not in use.
func (l *links) remove(conn *peer.Conn) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed, ok := l.byConn[conn]
	if !ok {
		return nil
	}
	close(removed.gone)
	delete(l.byConn, conn)
	delete(l.byVM, removed.vm)
	return removed
}

// get returns the link to a VM, or nil.
func (l *links) get(vm string) *link {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byVM[vm]
}

// forConn returns the link of a connection, or nil if the connection is not in use.
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

// conns returns the connections to processes of a role, sorted by VM name.
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

// helloVM returns the VM name in a hello, or the process name if it has none.
func helloVM(hello *wire.Hello) string {
	if hello.VM != "" {
		return hello.VM
	}
	return hello.Process.Name
}
