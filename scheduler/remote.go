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
)

// Note is what an entry tells the owner of a job.
type Note struct {
	Ticket string `json:"ticket"`
	// Served says whether the model engine did its part; only read when done.
	Served bool `json:"served,omitempty"`
}

// Serve registers the methods by which other processes use the scheduler.
func Serve(mux *peer.Mux, s *Scheduler) {
	peer.HandleCall(mux, MethodSubmit, func(ctx context.Context, _ *peer.Conn, j dispatch.Job) (Verdict, error) {
		return s.Submit(ctx, j)
	})
	peer.HandleNote(mux, MethodCancel, func(_ *peer.Conn, n Note) { s.Cancel(n.Ticket) })
	peer.HandleNote(mux, MethodFirst, func(_ *peer.Conn, n Note) { s.FirstEvent(n.Ticket) })
	peer.HandleNote(mux, MethodPlaced, func(_ *peer.Conn, p []dispatch.Placement) { s.Placed(p) })
	peer.HandleNote(mux, MethodDone, func(_ *peer.Conn, n Note) { s.Done(n.Ticket, n.Served) })
}

// reachPatience is how long a job waits for the connection to an owner that is
// known: a dial takes milliseconds, and a second queue for the same endpoints costs
// the jobs of both.
const reachPatience = 300 * time.Millisecond

// resubmitPause keeps a job that finds no owner from spinning.
const resubmitPause = 20 * time.Millisecond

// Owners tells who owns the queue.
type Owners interface {
	// OwnerConn returns the connection to the owner; nil if this process owns
	// the queue or does not reach the owner.
	OwnerConn() *peer.Conn
	// Owns tells whether this process owns the queue.
	Owns() bool
	// Lost returns what is closed when the process at the other end is taken
	// for lost.
	Lost(conn *peer.Conn) <-chan struct{}
	// Settled is closed once it is known who owns the queue.
	Settled() <-chan struct{}
}

// Client gives jobs to the owner of the queue, wherever it is.
type Client struct {
	local  *Scheduler
	owners Owners
	log    zerolog.Logger
	placed placements
}

// NewClient returns a client; jobs go to local when no other owner is reached.
func NewClient(local *Scheduler, owners Owners, log zerolog.Logger) *Client {
	return &Client{local: local, owners: owners, log: log}
}

// Lease is a granted job: the owner is told how it goes on.
type Lease struct {
	Verdict
	// Owner is the process that decided; empty if it was this one.
	Owner  string
	client *Client
	ticket string
	// conn is nil if this process owns the queue.
	conn *peer.Conn
	once sync.Once
}

// Submit gives the job to the owner and waits for its verdict. If the owner is
// lost, the job is given to the next one: pieces may be made again. The time that has passed is taken off the job's limits.
func (c *Client) Submit(ctx context.Context, j dispatch.Job) (*Lease, error) {
	began := time.Now()
	select {
	case <-c.owners.Settled():
	case <-ctx.Done():
		return nil, ErrLeft.Wrap(ctx.Err(), "before the owner was known")
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
		conn := c.reach(ctx)
		c.tell(conn)
		v, err := c.submit(ctx, conn, j)
		if err == nil && v.Moved && conn == c.owners.OwnerConn() {
			// The owner has not heard yet, or this process has not.
			sleep.For(ctx, resubmitPause)
		}
		if err == nil && v.Grant != nil {
			c.placed.add(j, v.Grant.Endpoint, time.Now())
		}
		if err == nil && !v.Moved {
			return &Lease{Verdict: v, Owner: ownerName(conn), client: c, ticket: j.Ticket, conn: conn}, nil
		}
		if ctx.Err() != nil || err != nil && conn == nil {
			return nil, ErrLeft.Wrap(err, "ticket %s", j.Ticket)
		}
		if err != nil {
			sleep.For(ctx, resubmitPause)
		}
		c.log.Info().Str("event", logJobMoves).Str("request", j.Request).Str("ticket", j.Ticket).
			Bool("moved", v.Moved).Err(err).Msg("the job goes to another owner of the queue")
	}
}

// reach returns the connection to the owner; nil if this process owns the queue
// or does not reach the owner.
func (c *Client) reach(ctx context.Context) *peer.Conn {
	until := time.Now().Add(reachPatience)
	for {
		conn := c.owners.OwnerConn()
		if conn != nil || c.owners.Owns() || ctx.Err() != nil || time.Now().After(until) {
			return conn
		}
		sleep.For(ctx, resubmitPause)
	}
}

// tell tells an owner that has just taken over where this process's requests
// were sent.
func (c *Client) tell(conn *peer.Conn) {
	news := c.placed.news(conn, time.Now())
	switch {
	case len(news) == 0:
	case conn == nil:
		c.local.Placed(news)
	default:
		if err := conn.Notify(MethodPlaced, news); err != nil {
			c.log.Debug().Str("event", logOwnerNotTold).Err(err).Msg(MethodPlaced)
		}
	}
}

func ownerName(conn *peer.Conn) string {
	if conn == nil {
		return ""
	}
	return conn.Peer().Process.Name
}

// submit sends the job to one owner.
func (c *Client) submit(ctx context.Context, conn *peer.Conn, j dispatch.Job) (Verdict, error) {
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
	var v Verdict
	err := conn.Call(ctx, MethodSubmit, j, &v)
	if err != nil && !errorx.IsOfType(err, peer.ErrNotWritten) {
		// The old owner may still be there, or wake up later: it must not
		// hold room for a job that has gone elsewhere.
		go func() { _ = conn.Notify(MethodCancel, Note{Ticket: j.Ticket}) }()
	}
	return v, err
}

// FirstEvent tells the owner that the model engine has begun to answer.
func (l *Lease) FirstEvent() {
	if l.conn == nil {
		l.client.local.FirstEvent(l.ticket)
		return
	}
	l.notify(MethodFirst, Note{Ticket: l.ticket})
}

// Done tells the owner that the job has ended; only the first call counts.
func (l *Lease) Done(served bool) {
	l.once.Do(func() {
		if l.conn == nil {
			l.client.local.Done(l.ticket, served)
			return
		}
		l.notify(MethodDone, Note{Ticket: l.ticket, Served: served})
	})
}

// notify may find the owner gone: then it has forgotten the job anyway, or
// drops it when the job's time has run out.
func (l *Lease) notify(method string, n Note) {
	if err := l.conn.Notify(method, n); err != nil {
		l.client.log.Debug().Str("event", logOwnerNotTold).Str("ticket", l.ticket).Err(err).Msg(method)
	}
}
