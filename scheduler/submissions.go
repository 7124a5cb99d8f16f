package scheduler

import (
	"context"
	"sync"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/peer"
)

// decided is a message to the process that has submitted a job.
type decided struct {
	Ticket   string   `json:"ticket"`
	Decision Decision `json:"decision"`
	// Failed says why there is no decision; empty if there is one.
	Failed string `json:"failed,omitempty"`
}

// submissions are the jobs of this process that wait for decisions of other processes.
type submissions struct {
	mu      sync.Mutex
	waiting map[submission]chan decided
}

// submission is a job that was submitted over a connection.
type submission struct {
	conn   *peer.Conn
	ticket string
}

// submit submits a job to the process at the other end of a connection and waits for its decision.
// Its errors are those of peer.Conn.Call.
func (s *submissions) submit(ctx context.Context, conn *peer.Conn, j dispatch.Job) (Decision, error) {
	if !conn.Compact() {
		var v Decision
		err := conn.Call(ctx, MethodSubmit, j, &v)
		return v, err
	}
	if err := ctx.Err(); err != nil {
		return Decision{}, peer.ErrNotWritten.Wrap(err, "%s", MethodEnqueue)
	}
	key := submission{conn: conn, ticket: j.Ticket}
	decision := s.wait(key)
	defer s.forget(key)
	if err := conn.Send(MethodEnqueue, j); err != nil {
		return Decision{}, err
	}
	select {
	case d := <-decision:
		if d.Failed != "" {
			return Decision{}, peer.ErrRemote.New("%s: %s", MethodEnqueue, d.Failed)
		}
		return d.Decision, nil
	case <-ctx.Done():
		return Decision{}, peer.ErrLost.Wrap(ctx.Err(), "%s", MethodEnqueue)
	case <-conn.Done():
		return Decision{}, peer.ErrLost.New("%s: the connection has ended", MethodEnqueue)
	}
}

// wait returns the channel on which the decision about a job comes.
func (s *submissions) wait(key submission) <-chan decided {
	decision := make(chan decided, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[key] = decision
	return decision
}

// forget removes a job that waits no more.
func (s *submissions) forget(key submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, key)
}

// decide passes a decision that has come over a connection to the job that waits for it there.
func (s *submissions) decide(from *peer.Conn, d decided) {
	key := submission{conn: from, ticket: d.Ticket}
	s.mu.Lock()
	decision := s.waiting[key]
	delete(s.waiting, key)
	s.mu.Unlock()
	if decision != nil {
		decision <- d
	}
}

// serveEnqueue runs a job of another process and tells it the decision. The job ends with the
// connection.
func (s *Scheduler) serveEnqueue(from *peer.Conn, j dispatch.Job) {
	d := decided{Ticket: j.Ticket}
	v, err := s.Submit(from.Context(), j)
	if err != nil {
		d.Failed = err.Error()
	}
	d.Decision = v
	if err := from.Send(MethodDecided, d); err != nil {
		s.log.Debug().Str("event", logSubmitterNotTold).Str("ticket", j.Ticket).Err(err).Msg(MethodDecided)
	}
}
