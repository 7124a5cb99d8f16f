package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/scheduler/delegation"
)

const (
	// assignDelay is how long calls for one member are gathered, freeAssignDelay how long
	// releases of results are if no call goes to the member before.
	assignDelay     = 3 * time.Millisecond
	freeAssignDelay = 20 * time.Millisecond
	// reportMargin is added to the timeout of a call for the way to the member and back.
	reportMargin = 400 * time.Millisecond
)

// delegations are the calls that other members make for this process while it owns the queue.
//
// It guards against an owner whose processor is used up by the calls to the endpoints of a large
// fleet: it then decides late, and the requests with the most stages are served worst.
type delegations struct {
	log zerolog.Logger
	// callEnded and freeEnded get the ends of calls, observe what endpoints said.
	callEnded func(dispatch.StartCall, callReport)
	freeEnded func(id uint64, ok bool)
	observe   func(endpoint, request string, sent time.Time, s platform.Signals)
	// redo makes a release of results in this process.
	redo func(dispatch.Free)

	mu    sync.Mutex
	table *delegation.Table[*peer.Conn]
	// calls and frees are under way, by ID.
	calls map[uint64]sentCall
	frees map[uint64]sentFree
	// outboxes hold what has not been sent yet.
	outboxes map[*peer.Conn]*outbox
	made     CallsMade
}

// CallsMade counts calls to endpoints of stages since the start of the process.
type CallsMade struct {
	// Own counts those that this process made, Delegated those that other members made for it,
	// Abandoned those of them whose member was lost or silent.
	Own       int `json:"own"`
	Delegated int `json:"delegated"`
	Abandoned int `json:"abandoned"`
}

// newDelegations returns the delegations of a process with the processor time, in cores.
func newDelegations(s *Scheduler, cores float64) *delegations {
	return &delegations{
		log: s.log, callEnded: s.callEnded, freeEnded: s.freeEnded,
		observe: func(endpoint, request string, sent time.Time, said platform.Signals) {
			s.signals.Observe(endpoint, request, sent, said)
		},
		redo:  func(e dispatch.Free) { go func() { s.freeEnded(e.ID, s.makeFree(s.ctx, e).OK) }() },
		table: delegation.NewTable[*peer.Conn](cores),
		calls: make(map[uint64]sentCall), frees: make(map[uint64]sentFree), outboxes: make(map[*peer.Conn]*outbox),
	}
}

// sentCall is a call that a member makes.
type sentCall struct {
	dispatch.StartCall
	at time.Time
}

// sentFree is a release of results that a member makes.
type sentFree struct {
	dispatch.Free
	at time.Time
}

// outbox gathers an assignment for one member.
type outbox struct {
	assignment
	flush flushTimer
}

// join records that the member at the other end of a connection makes calls.
func (d *delegations) join(conn *peer.Conn, o offer) {
	p := conn.Peer().Process
	d.log.Info().Str("event", logDelegate).Str("peer", p.Name).Str("domain", p.Domain).Float64("cores", o.Cores).
		Bool("withdrawn", o.Withdrawn).Msg("a member offers to make calls")
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Withdrawn {
		d.table.Withdraw(conn)
		return
	}
	if d.table.Join(conn, delegation.Offer{Name: p.Name, Domain: p.Domain, Cores: o.Cores}) {
		context.AfterFunc(conn.Context(), func() { d.lose(conn) })
	}
}

// lose abandons the calls of a member whose connection has ended.
func (d *delegations) lose(conn *peer.Conn) {
	d.mu.Lock()
	abandoned := d.table.Lost(conn)
	delete(d.outboxes, conn)
	d.mu.Unlock()
	d.abandon(abandoned)
}

// assignCall has another member make a call. It reports false if this process is to make it: calls
// with content that may crash endpoints stay where they are counted.
func (d *delegations) assignCall(e dispatch.StartCall) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	conn, ok := d.chooseLocked(now, e.Domain, e.Key, !e.Watched)
	if !ok {
		return false
	}
	d.table.Assign(now, e.Call, conn, now.Add(e.Timeout+reportMargin))
	d.calls[e.Call] = sentCall{StartCall: e, at: now}
	o := d.outboxLocked(conn, assignDelay)
	o.Calls = append(o.Calls, assign(e))
	return true
}

// assignFree has another member release results. It reports false if this process is to do so.
func (d *delegations) assignFree(e dispatch.Free) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	conn, ok := d.chooseLocked(now, e.Domain, e.Key, true)
	if !ok {
		return false
	}
	d.table.Assign(now, e.ID, conn, now.Add(freeTimeout+reportMargin))
	d.frees[e.ID] = sentFree{Free: e, at: now}
	o := d.outboxLocked(conn, freeAssignDelay)
	o.Frees = append(o.Frees, assignedFree{ID: e.ID, Endpoint: e.Endpoint, Key: e.Key, Addr: e.Addr, Handles: e.Handles})
	return true
}

// chooseLocked counts a call and returns the member that makes it; ok is false if this process does,
// as it must unless others may.
func (d *delegations) chooseLocked(now time.Time, domain, endpoint string, othersMay bool) (conn *peer.Conn, ok bool) {
	d.table.Count(now)
	if othersMay {
		conn, ok = d.table.Choose(now, domain, endpoint)
	}
	if !ok {
		d.made.Own++
		return nil, false
	}
	d.made.Delegated++
	return conn, true
}

// outboxLocked returns the outbox of a member, which is sent within delay.
func (d *delegations) outboxLocked(conn *peer.Conn, delay time.Duration) *outbox {
	o := d.outboxes[conn]
	if o == nil {
		o = &outbox{}
		d.outboxes[conn] = o
	}
	o.flush.within(delay, func() { d.send(conn, o) })
	return o
}

// send sends what was gathered for a member. One that cannot be written to is lost: its connection is
// closed, which abandons its calls.
func (d *delegations) send(conn *peer.Conn, o *outbox) {
	d.mu.Lock()
	if d.outboxes[conn] != o {
		d.mu.Unlock()
		return
	}
	delete(d.outboxes, conn)
	d.mu.Unlock()
	if err := conn.Send(MethodAssign, o.assignment); err != nil {
		d.log.Warn().Str("event", logDelegateLost).Str("peer", conn.Peer().Process.Name).Err(err).Msg("calls cannot be assigned")
		conn.Close()
	}
}

// report records the ends of calls that a member has made.
func (d *delegations) report(r report) {
	for _, c := range r.Calls {
		if e, ok := d.endCall(c.Call); ok {
			d.observe(e.Key, firstRequest(e.Pieces), e.at, unpackSignals(c.Signals, noSignals))
			d.callEnded(e.StartCall, c.checked(len(e.Pieces)))
		}
	}
	for _, f := range r.Frees {
		if e, ok := d.endFree(f.ID); ok {
			d.observe(e.Key, "", e.at, unpackSignals(f.Signals, platform.Signals{}))
			d.freeEnded(f.ID, f.OK)
		}
	}
}

// endCall removes a call under way.
func (d *delegations) endCall(id uint64) (sentCall, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.calls[id]
	delete(d.calls, id)
	d.table.End(id)
	return e, ok
}

// endFree removes a release of results under way.
func (d *delegations) endFree(id uint64) (sentFree, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.frees[id]
	delete(d.frees, id)
	d.table.End(id)
	return e, ok
}

// expire abandons the calls of members that are silent.
func (d *delegations) expire(now time.Time) {
	d.mu.Lock()
	abandoned := d.table.Overdue(now)
	d.mu.Unlock()
	d.abandon(abandoned)
}

// abandon ends calls whose member is lost or silent. Results may be released twice, so that is
// done here.
func (d *delegations) abandon(ids []uint64) {
	d.mu.Lock()
	d.made.Abandoned += len(ids)
	d.mu.Unlock()
	for _, id := range ids {
		if e, ok := d.endCall(id); ok {
			d.log.Warn().Str("event", logCallAbandoned).Uint64("call", id).Str("service", e.Service).Str("endpoint", e.Endpoint).
				Strs("requests", requestsOf(e.Pieces)).Dur("took_ms", time.Since(e.at)).Msg("the member that made a call is lost or silent")
			d.callEnded(e.StartCall, callReport{Call: id, Fault: dispatch.CallAbandoned})
		}
		if e, ok := d.endFree(id); ok {
			d.redo(e.Free)
		}
	}
}

// stats returns the number of members that take calls, and the counts of calls.
func (d *delegations) stats() (delegates int, made CallsMade) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Delegates(), d.made
}

// delegated returns the number of calls under way at members.
func (d *delegations) delegated() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Delegated()
}
