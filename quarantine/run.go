package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/quarantine/part"
)

// Run is one send of a request to an endpoint. The first of its methods that is called ends
// it. A nil Run does nothing.
type Run struct {
	client  *Client
	subject Subject
	request string
	id      string
	trial   bool
	// triedParts are the blamed parts of which the run is a trial.
	triedParts []part.ID
	began      time.Time
	// left is the time that the request had left when the run began.
	left time.Duration
	// leased is true if the run was granted and has to be ended; owner is the connection to
	// the member that granted it, nil for this process.
	leased bool
	owner  *peer.Conn
	once   sync.Once
}

// Refusal says why a run may not begin.
type Refusal struct {
	// Quarantined is true if the content or parts are refused; else it has waited in vain.
	Quarantined bool
	// Parts are the blamed parts for which the request is refused.
	Parts      []part.ID
	RetryAfter time.Duration
}

// Begin asks for a run of a request. left is the time that the request has
// left. waited is true if some time has passed. Exactly one of run and refusal is set.
func (c *Client) Begin(ctx context.Context, subject Subject, request, id string, left time.Duration) (run *Run, waited bool, refusal *Refusal) {
	c.cfg.CheckPause()
	asked := ask{Subject: subject, Run: id, began: time.Now(), left: left}
	run = &Run{client: c, subject: subject, request: request, id: id}
	var watch *Watch
	defer func() { watch.Stop() }()
	for ; ; waited = true {
		p := c.permission(ctx, run, asked)
		switch {
		case p.Outcome == Granted:
			run.left = left - time.Since(asked.began)
			c.granted(run, p)
			return run, waited, nil
		case p.Outcome == Refused:
			c.Counters.Add(countRefused, 1)
			return nil, waited, &Refusal{Quarantined: true, Parts: p.Parts, RetryAfter: p.RetryAfter}
		case ctx.Err() != nil || asked.waitedLong(time.Now()):
			return nil, true, &Refusal{RetryAfter: waitRetryAfter}
		}
		if !waited {
			c.Counters.Add(countWaited, 1)
			watch = c.table.Watch(subject.Content)
		}
		awaitChange(ctx, watch.Changed(), c.parts.Changed())
	}
}

// ask is a request for a run.
type ask struct {
	Subject
	Run   string
	began time.Time
	// left is the time that the request had left when it began to ask.
	left time.Duration
}

// waitedLong reports whether the request has waited as long as it may.
func (a *ask) waitedLong(now time.Time) bool {
	return now.Sub(a.began) > min(maxRunWait, time.Duration(maxRunWaitShare*float64(a.left)))
}

// permission decides on a run by what is known here, or else asks for it.
func (c *Client) permission(ctx context.Context, run *Run, a ask) Permission {
	now := time.Now()
	s := c.table.State(now, a.Content)
	r := c.parts.Judge(now, a.Service, a.Parts)
	switch {
	case s.RefusedFor > 0:
		return Permission{Outcome: Refused, RetryAfter: s.RefusedFor}
	case r.RefusedFor > 0:
		return Permission{Outcome: Refused, Parts: r.Blamed, RetryAfter: r.RefusedFor}
	case s.Standing == Clear && len(r.Blamed) == 0 && !r.Limited && now.UnixNano() >= c.cautiousUntil.Load():
		return Permission{}
	}
	return c.ask(ctx, run, a.left-now.Sub(a.began))
}

// awaitChange waits for a change, at most askInterval.
func awaitChange(ctx context.Context, changed, partsChanged <-chan struct{}) {
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-partsChanged:
	case <-timer.C:
		return
	case <-ctx.Done():
		return
	}
	// Many requests wait for the same change: those that come later find the answer of the
	// first.
	sleep.For(ctx, time.Millisecond)
}

// granted completes a run that was granted.
func (c *Client) granted(run *Run, p Permission) {
	run.began = time.Now()
	run.trial, run.triedParts = p.Trial, p.Parts
	if !p.Trial && len(p.Parts) == 0 {
		return
	}
	c.tellTrial(run)
	c.Counters.Add(logTrial, 1)
	c.log.Info().Str("event", logTrial).Str("request", run.request).Stringer("content", run.subject.Content).
		Strs("parts", part.Texts(p.Parts)).Msg("trial of quarantined content or blamed parts")
}

// ask asks the owner of the queue for a run, or decides alone if there is none.
func (c *Client) ask(ctx context.Context, run *Run, left time.Duration) Permission {
	now := time.Now()
	var conn *peer.Conn
	if c.cfg.Fleet != nil {
		conn = c.cfg.Fleet.OwnerConn()
	}
	if conn != nil {
		if p, ok := c.askOwner(ctx, conn, run, left); ok {
			return p
		}
	}
	p := c.begin(now, run.call(left))
	run.leased, run.owner = p.Outcome == Granted, nil
	return p
}

// askOwner asks the owner for a run; ok is false without an answer.
func (c *Client) askOwner(ctx context.Context, conn *peer.Conn, run *Run, left time.Duration) (p Permission, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	call := run.call(left)
	call.Losses = c.lossesOf(time.Now(), call.Content, call.Parts)
	var reply beginReply
	if err := conn.Call(ctx, MethodBegin, call, &reply); err != nil {
		c.Counters.Add(countNoOwner, 1)
		// The owner may have granted the run.
		go func() { _ = conn.Notify(MethodEnd, run.endNote()) }()
		return Permission{}, false
	}
	c.mergeAll(reply.Losses, conn.Peer().Process.Name)
	run.leased, run.owner = reply.Outcome == Granted, conn
	return reply.Permission, true
}

// Broken ends a run whose connection broke with an error.
func (r *Run) Broken(e Endpoint, err error) {
	if r == nil {
		return
	}
	r.once.Do(func() {
		r.broken(e, err, false)
	})
}

// BrokenOrWhole ends a run whose answer ended with its connection: it is complete unless the
// endpoint has crashed.
func (r *Run) BrokenOrWhole(e Endpoint, err error) {
	if r == nil {
		return
	}
	r.once.Do(func() { r.broken(e, err, true) })
}

func (r *Run) broken(e Endpoint, err error, whole bool) {
	r.client.Broken(Break{
		Content: r.subject.Content, Parts: r.subject.Parts, Endpoint: e, Request: r.request, RanFor: time.Since(r.began),
		Trial: r.trial, PartTrial: len(r.triedParts) > 0, Whole: whole,
	}, err)
	r.release(endNote{Losses: r.client.table.Losses(time.Now(), r.subject.Content)})
}

// Answered ends a run with a complete answer.
func (r *Run) Answered() {
	if r == nil {
		return
	}
	r.once.Do(func() {
		r.release(endNote{Answered: true, Losses: r.client.answered(r.subject, r.request, r.trial)})
	})
}

// End ends a run that showed nothing.
func (r *Run) End() {
	if r == nil {
		return
	}
	r.once.Do(func() { r.release(endNote{}) })
}

// release ends the grant of the run and tells the member that granted it what it showed.
func (r *Run) release(note endNote) {
	note.Content, note.Parts, note.Run = r.subject.Content, r.subject.Parts, r.id
	switch {
	case !r.leased:
	case r.owner == nil:
		r.client.end(note)
	default:
		conn := r.owner
		go func() { _ = conn.Notify(MethodEnd, note) }()
	}
}

// call is the question for the run; left is the time in which it ends.
func (r *Run) call(left time.Duration) beginCall {
	s := r.subject
	return beginCall{Content: s.Content, Parts: s.Parts, Service: s.Service, Run: r.id, Left: left}
}

// endNote is the note on the end of a run that showed nothing.
func (r *Run) endNote() endNote {
	return endNote{Content: r.subject.Content, Parts: r.subject.Parts, Run: r.id}
}
