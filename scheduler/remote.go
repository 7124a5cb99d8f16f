package scheduler

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/peer"
)

// Methods between processes.
const (
	MethodSubmit = "dispatch.submit"
	MethodCancel = "dispatch.cancel"
	MethodFirst  = "dispatch.first"
	MethodDone   = "dispatch.done"
	MethodPlaced = "dispatch.placed"
	// MethodEnqueue is MethodSubmit without a reply, to a process that knows compact messages:
	// MethodDecided brings the decision.
	MethodEnqueue = "dispatch.enqueue"
	MethodDecided = "dispatch.decided"
	// MethodOffer tells the owner of a member that makes calls for it, MethodAssign that member of
	// such calls, MethodReport the owner of their ends.
	MethodOffer  = "dispatch.offer"
	MethodAssign = "dispatch.assign"
	MethodReport = "dispatch.report"
)

// Note is a message about a job from the process that submitted it to the queue owner.
type Note struct {
	Ticket string `json:"ticket"`
	// Served is true if the model engine served the request; it is only used with MethodDone.
	Served bool `json:"served,omitempty"`
	// Stream is what is known of the stream. MethodFirst only uses OtherEngine. Members of
	// an older build neither send nor read it.
	dispatch.Stream
}

// Serve registers the methods by which other processes use the scheduler.
func Serve(mux *peer.Mux, s *Scheduler) {
	peer.HandleCall(mux, MethodSubmit, func(ctx context.Context, _ *peer.Conn, j dispatch.Job) (Decision, error) {
		return s.Submit(ctx, j)
	})
	peer.HandleCompact(mux, MethodEnqueue, func(from *peer.Conn, j dispatch.Job) { go s.serveEnqueue(from, j) })
	peer.HandleCompact(mux, MethodDecided, func(from *peer.Conn, d decided) { s.submissions.decide(from, d) })
	peer.HandleCompact(mux, MethodCancel, func(_ *peer.Conn, n Note) { s.Cancel(n.Ticket) })
	peer.HandleCompact(mux, MethodFirst, func(_ *peer.Conn, n Note) { s.FirstEvent(n) })
	peer.HandleCompact(mux, MethodPlaced, func(_ *peer.Conn, p []dispatch.Placement) { s.RecordPlacements(p) })
	peer.HandleCompact(mux, MethodDone, func(_ *peer.Conn, n Note) { s.Done(n) })
	peer.HandleCompact(mux, MethodOffer, func(from *peer.Conn, o offer) { s.delegations.join(from, o) })
	peer.HandleCompact(mux, MethodAssign, func(from *peer.Conn, a assignment) { s.runAssigned(from, a) })
	peer.HandleCompact(mux, MethodReport, func(_ *peer.Conn, r report) { s.delegations.report(r) })
}

// ownerConnTimeout is how long a job waits for the connection to a known owner before
// it is queued locally. A dial takes milliseconds, whereas a second queue for the same
// endpoints delays the jobs of both.
const ownerConnTimeout = 300 * time.Millisecond

// resubmitPause keeps a job that finds no owner from retrying in a busy loop.
const resubmitPause = 20 * time.Millisecond

// Owners tells which process owns the queue.
type Owners interface {
	// OwnerConn returns the connection to the owner; nil if this process owns the queue or
	// has no connection to the owner.
	OwnerConn() *peer.Conn
	// Owns reports whether this process owns the queue.
	Owns() bool
	// Lost returns a channel that is closed when the process at the other end of conn is
	// considered lost.
	Lost(conn *peer.Conn) <-chan struct{}
	// OwnerKnown returns a channel that is closed once the owner of the queue is known.
	OwnerKnown() <-chan struct{}
}

// Client submits jobs to the owner of the queue, in this process or another one.
type Client struct {
	local            *Scheduler
	owners           Owners
	log              zerolog.Logger
	recentPlacements placements
}

// NewClient returns a client that submits jobs to local if this process owns the queue
// or has no connection to the owner.
func NewClient(local *Scheduler, owners Owners, log zerolog.Logger) *Client {
	return &Client{local: local, owners: owners, log: log}
}

// Lease is a job with its decision. Its methods report the progress of the request to
// the owner.
type Lease struct {
	Decision
	// Owner is the name of the process that decided; empty for this process.
	Owner string
	// EngineFailed is true if the granted engine failed: it did not serve the request, even
	// if another one did.
	EngineFailed bool
	// Stream is what the submitter knows of the stream; it is sent with FirstEvent and Done.
	Stream dispatch.Stream
	client *Client
	ticket string
	// conn is nil if the job was submitted to this process.
	conn *peer.Conn
	once sync.Once
}

// Submit submits the job to the owner and waits for its decision. If the owner is lost,
// it submits the job to the next one, so that pieces may be run again. The time that has
// passed is subtracted from the job's objective and deadline.
func (c *Client) Submit(ctx context.Context, j dispatch.Job) (*Lease, error) {
	began := time.Now()
	select {
	case <-c.owners.OwnerKnown():
	case <-ctx.Done():
		return nil, ErrCallerLeft.Wrap(ctx.Err(), "before the owner was known")
	}
	objective, deadline := j.Objective, j.Deadline
	base := j.Ticket
	for try := 0; ; try++ {
		passed := time.Since(began)
		j.Objective = objective - passed
		j.Deadline = deadline - passed
		if try > 0 {
			j.Ticket = base + "+" + strconv.Itoa(try)
		}
		conn := c.waitForOwner(ctx)
		c.sendPlacements(conn)
		v, err := c.submit(ctx, conn, j)
		if err == nil && v.Moved && conn == c.owners.OwnerConn() {
			// Either the former owner or this process has not yet received the change of owner.
			sleep.For(ctx, resubmitPause)
		}
		if err == nil && v.Grant != nil {
			c.recentPlacements.add(j, v.Grant.Endpoint, time.Now())
		}
		if err == nil && !v.Moved {
			return &Lease{Decision: v, Owner: ownerName(conn), client: c, ticket: j.Ticket, conn: conn}, nil
		}
		if ctx.Err() != nil {
			return nil, ErrCallerLeft.Wrap(err, "ticket %s", j.Ticket)
		}
		if err != nil && conn == nil {
			return nil, err
		}
		if err != nil {
			sleep.For(ctx, resubmitPause)
		}
		c.log.Info().Str("event", logJobMoves).Str("request", j.Request).Str("ticket", j.Ticket).
			Bool("moved", v.Moved).Err(err).Msg("job is resubmitted to another owner of the queue")
	}
}

// waitForOwner returns the connection to the owner, for which it waits up to
// ownerConnTimeout; nil if this process owns the queue or has no connection.
func (c *Client) waitForOwner(ctx context.Context) *peer.Conn {
	until := time.Now().Add(ownerConnTimeout)
	for {
		conn := c.owners.OwnerConn()
		if conn != nil || c.owners.Owns() || ctx.Err() != nil || time.Now().After(until) {
			return conn
		}
		sleep.For(ctx, resubmitPause)
	}
}

// sendPlacements tells a new owner to which engines this process's requests were sent.
func (c *Client) sendPlacements(conn *peer.Conn) {
	recent := c.recentPlacements.takeForOwner(conn, time.Now())
	switch {
	case len(recent) == 0:
	case conn == nil:
		c.local.RecordPlacements(recent)
	default:
		if err := conn.Send(MethodPlaced, recent); err != nil {
			c.log.Debug().Str("event", logOwnerNotTold).Err(err).Msg(MethodPlaced)
		}
	}
}

// ownerName returns the name of the process at the other end, or "" for this process.
func ownerName(conn *peer.Conn) string {
	if conn == nil {
		return ""
	}
	return conn.Peer().Process.Name
}

// submit submits the job to one owner and waits for its decision, until the owner is
// lost.
func (c *Client) submit(ctx context.Context, conn *peer.Conn, j dispatch.Job) (Decision, error) {
	if conn == nil {
		return c.local.Submit(ctx, j)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := c.owners.Lost(conn)
	go func() {
		select {
		case <-lost:
			cancel()
		case <-ctx.Done():
		}
	}()
	v, err := c.local.submissions.submit(ctx, conn, j)
	if err != nil && !errorx.IsOfType(err, peer.ErrNotWritten) {
		// The former owner may still run, or wake up later: it must not reserve capacity for a
		// job that was submitted elsewhere.
		go func() { _ = conn.Send(MethodCancel, Note{Ticket: j.Ticket}) }()
	}
	return v, err
}

// FirstEvent tells the owner that the model engine has begun to answer.
func (l *Lease) FirstEvent() {
	note := Note{Ticket: l.ticket, Stream: l.Stream}
	if l.conn == nil {
		l.client.local.FirstEvent(note)
		return
	}
	l.notify(MethodFirst, note)
}

// Done tells the owner that the job has ended; later calls have no effect.
func (l *Lease) Done(served bool) {
	l.once.Do(func() {
		note := Note{Ticket: l.ticket, Served: served && !l.EngineFailed, Stream: l.Stream}
		if l.conn == nil {
			l.client.local.Done(note)
			return
		}
		l.notify(MethodDone, note)
	})
}

// notify sends a note to the owner. A failure is only logged: an owner that has ended
// has lost the job anyway, and one that is cut off drops it at the job's deadline.
func (l *Lease) notify(method string, n Note) {
	if err := l.conn.Send(method, n); err != nil {
		l.client.log.Debug().Str("event", logOwnerNotTold).Str("ticket", l.ticket).Err(err).Msg(method)
	}
}
