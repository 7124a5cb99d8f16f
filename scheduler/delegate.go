package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/mangostage/mangostage/peer"
)

// reportDelay is how long the ends of calls are gathered for one message, freeReportDelay how long
// those of releases of results are if no call ends before.
const (
	reportDelay     = 3 * time.Millisecond
	freeReportDelay = 20 * time.Millisecond
)

// offer is a message to a member that may own the queue: its sender makes calls for it.
type offer struct {
	Cores float64 `json:"cores"`
	// Withdrawn is true if the sender makes no more calls.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// report is a message to the owner of the queue: the ends of calls that it has assigned.
type report struct {
	Calls []callReport `json:"calls,omitempty"`
	Frees []freeReport `json:"frees,omitempty"`
}

// delegate is the part of a process that makes calls for owners of the queue.
type delegate struct {
	cores float64

	mu sync.Mutex
	// offered holds the connections to members that were told of this process.
	offered map[*peer.Conn]struct{}
	// withdrawn is true once this process makes no more calls.
	withdrawn bool
	// running counts the calls whose ends the owner has not been sent.
	running int
	// owners holds the connections to members that have assigned calls.
	owners map[*peer.Conn]*ownerLink
}

// ownerLink is the connection to an owner that has assigned calls.
type ownerLink struct {
	// gathered holds the ends of calls that have not been sent yet.
	gathered report
	flush    flushTimer
}

// Offer tells the member at the other end of a connection that this process makes calls for it
// while it owns the queue.
func (s *Scheduler) Offer(conn *peer.Conn) {
	d := &s.delegate
	d.mu.Lock()
	if d.cores <= 0 || d.withdrawn {
		d.mu.Unlock()
		return
	}
	d.offered[conn] = struct{}{}
	d.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.offered, conn)
	})
	_ = conn.Send(MethodOffer, offer{Cores: d.cores})
}

// Withdraw tells all members that this process, which is about to stop, makes no more calls for
// them. It still makes those that come.
func (s *Scheduler) Withdraw() {
	d := &s.delegate
	d.mu.Lock()
	d.withdrawn = true
	conns := make([]*peer.Conn, 0, len(d.offered))
	for conn := range d.offered {
		conns = append(conns, conn)
	}
	d.mu.Unlock()
	for _, conn := range conns {
		go func() { _ = conn.Send(MethodOffer, offer{Withdrawn: true}) }()
	}
}

// runAssigned makes the calls that an owner has assigned. They end with the connection to it:
// nobody else knows what they are for.
func (s *Scheduler) runAssigned(from *peer.Conn, a assignment) {
	d := &s.delegate
	owner := d.begin(from, len(a.Calls)+len(a.Frees))
	for _, c := range a.Calls {
		go func() {
			r := s.makeCall(from.Context(), c.startCall(), from.Peer().Process.Name)
			d.end(from, owner, reportDelay, func(gathered *report) { gathered.Calls = append(gathered.Calls, r) })
		}()
	}
	for _, f := range a.Frees {
		go func() {
			r := s.makeFree(from.Context(), f.free())
			d.end(from, owner, freeReportDelay, func(gathered *report) { gathered.Frees = append(gathered.Frees, r) })
		}()
	}
}

// begin counts calls that begin and returns the connection to the owner that has assigned them.
func (d *delegate) begin(from *peer.Conn, calls int) *ownerLink {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += calls
	if owner := d.owners[from]; owner != nil {
		return owner
	}
	owner := &ownerLink{}
	d.owners[from] = owner
	context.AfterFunc(from.Context(), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.owners, from)
	})
	return owner
}

// end records that a call has ended, and has its end reported within delay.
func (d *delegate) end(to *peer.Conn, owner *ownerLink, delay time.Duration, add func(*report)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	add(&owner.gathered)
	owner.flush.within(delay, func() { d.sendReport(to, owner) })
}

// sendReport sends what was gathered for an owner. One that does not get it has lost this process.
func (d *delegate) sendReport(to *peer.Conn, owner *ownerLink) {
	d.mu.Lock()
	gathered := owner.gathered
	owner.gathered = report{}
	owner.flush.flushed()
	d.mu.Unlock()
	ended := len(gathered.Calls) + len(gathered.Frees)
	if ended == 0 {
		return
	}
	_ = to.Send(MethodReport, gathered)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running -= ended
}

// busy reports whether calls for other processes are under way, or their ends have not been sent.
func (d *delegate) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running > 0
}
