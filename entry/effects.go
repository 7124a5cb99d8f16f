package entry

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/pipeline"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

const (
	// replyGrace is how long after a call's deadline its reply is still
	// waited for, to account for its cost; the caller has its answer by then.
	replyGrace = 500 * time.Millisecond
	// proofTimeout bounds one revocation or peek; the core stops waiting sooner.
	proofTimeout = time.Second
)

// handle gives an event to the core and carries out its effects.
func (e *Entry) handle(ev pipeline.Event) {
	e.run(e.core.Handle(e.cfg.Now(), ev))
}

func (e *Entry) run(effects []pipeline.Effect) {
	for _, effect := range effects {
		e.carryOut(effect)
	}
}

func (e *Entry) carryOut(effect pipeline.Effect) {
	switch x := effect.(type) {
	case pipeline.Call:
		go e.call(x, e.count(x))
	case pipeline.Revoke:
		go e.revoke(x)
	case pipeline.SendPeek:
		go e.peek(x)
	case pipeline.Chunk:
		if w := e.waiters.get(x.Ref); w != nil {
			w.push(token{Seq: x.Seq, Text: x.Text})
		}
	case pipeline.Reply:
		e.reply(x)
	case pipeline.SetTimer:
		time.AfterFunc(x.At.Sub(e.cfg.Now()), func() {
			e.handle(pipeline.Timer{RequestID: x.RequestID, Kind: x.Kind, Seq: x.Seq})
		})
	case pipeline.Log:
		e.logDecision(x)
	case pipeline.Record:
		e.record(x)
	case pipeline.Observe:
		e.observe(x)
	case pipeline.Cost:
		e.costs.add(x)
	}
}

// count adds a call to the load of its endpoint at once, so that the next
// decision sees it, and returns what takes it off again.
func (e *Entry) count(c pipeline.Call) (done func()) {
	load := e.fleet.load(c.Endpoint)
	if load == nil {
		return func() {}
	}
	load.InFlight.Add(1)
	load.SentSinceReport.Add(1)
	return func() { load.InFlight.Add(-1) }
}

// call sends one stage call and reports its end to the core.
func (e *Entry) call(c pipeline.Call, done func()) {
	defer done()
	conn, ok := e.members.Agent(c.Endpoint)
	if !ok {
		e.handle(pipeline.CallNotWritten{CallID: c.ID})
		return
	}
	incarnation := conn.Peer().Process.Incarnation
	e.sentTo.Store(c.ID, incarnation)
	time.AfterFunc(c.Deadline.Add(replyGrace).Sub(e.cfg.Now()), func() { e.sentTo.Delete(c.ID) })
	if c.Unrepeatable && c.Binding == nil {
		// The call is for the agent run at the other end of this connection and
		// no later one: a copy that outlives the run must not reach its successor.
		c.Binding = &wire.Binding{Agent: c.Endpoint, Incarnation: incarnation}
	}
	if after := e.fleet.overdueAfter(c.Pool, c.Endpoint); after > 0 {
		watch := time.AfterFunc(after, func() {
			e.moved(e.fleet.overdue(c.Pool, c.Endpoint, e.cfg.Now()))
		})
		defer watch.Stop()
	}
	ctx, cancel := context.WithDeadline(e.ctx, c.Deadline.Add(replyGrace))
	defer cancel()
	var result wire.StageResult
	err := conn.Call(ctx, wire.MethodStageRun, c.StageCall, &result)
	switch {
	case errorx.IsOfType(err, peer.ErrNotWritten):
		e.handle(pipeline.CallNotWritten{CallID: c.ID})
	case err != nil:
		e.handle(pipeline.CallLost{CallID: c.ID})
	case result.ID != c.ID:
		// An answer to another call must never become this one's: the agent
		// mixed up its replies, and nothing is known of this call.
		e.stats.mismatched.Add(1)
		e.handle(pipeline.CallLost{CallID: c.ID})
	default:
		e.ApplyReport(result.Report)
		e.handle(pipeline.StageResult{StageResult: result})
	}
}

func (e *Entry) revoke(r pipeline.Revoke) {
	var result wire.RevokeResult
	message := r.Message()
	// Two runs of an agent may be reachable for a moment. Only the one that the
	// call was written to can say that it did not run; its successor, never
	// having seen the call, would say so in good faith.
	if incarnation, ok := e.sentTo.Load(r.CallID); ok {
		message.Incarnation, _ = incarnation.(string)
	}
	if err := e.ask(r.Endpoint, wire.MethodStageRevoke, message, &result); err != nil {
		e.handle(pipeline.RevokeLost{CallID: r.CallID})
		return
	}
	e.ApplyReport(result.Report)
	e.handle(pipeline.RevokeAck{CallID: r.CallID, RevokeResult: result})
}

func (e *Entry) peek(p pipeline.SendPeek) {
	var result wire.PeekResult
	p.Entry, p.At = e.name(), e.cfg.Now()
	if err := e.ask(p.Endpoint, wire.MethodStagePeek, p.Peek, &result); err != nil {
		e.handle(pipeline.PeekLost{RequestID: p.RequestID, Seq: p.Seq, Stage: p.Stage})
		return
	}
	e.handle(pipeline.PeekReply{RequestID: p.RequestID, Seq: p.Seq, Stage: p.Stage, PeekResult: result})
}

// ask calls an idempotent method of an endpoint's agent.
func (e *Entry) ask(endpoint, method string, params, result any) error {
	conn, ok := e.members.Agent(endpoint)
	if !ok {
		return peer.ErrNotWritten.New("no connection to %s", endpoint)
	}
	ctx, cancel := context.WithTimeout(e.ctx, proofTimeout)
	defer cancel()
	return conn.Call(ctx, method, params, result)
}

func (e *Entry) reply(r pipeline.Reply) {
	w := e.waiters.remove(r.Ref)
	if w == nil {
		return
	}
	e.stats.outcome(r.Outcome())
	w.done()
	w.finish(r.Final)
}

// record keeps a fact, and gives a copy of a refusal to other entries: it
// touched no agent, so this entry alone would know of it.
func (e *Entry) record(r pipeline.Record) {
	r.Process = e.cfg.Process.Name
	e.cfg.Records.Add(r.Record)
	if r.Outcome != api.OutcomeRefused {
		return
	}
	for i, conn := range e.members.Entries() {
		if i == recordCopies {
			return
		}
		_ = conn.Notify(wire.MethodRecordCopy, r.Record)
	}
}

// recordCopies is the number of entries that get a copy of a refusal.
const recordCopies = 2

// observe feeds the estimates and the health of endpoints. Time spent waiting
// at the agent is load and not slowness, so neither counts it.
func (e *Entry) observe(o pipeline.Observe) {
	now := e.cfg.Now()
	if o.Revoked {
		return
	}
	if o.Outcome == route.CallSucceeded {
		if !e.pauses.spanned(now.Add(-o.Took), now) {
			e.estimates.Observe(route.StageKey{Pool: o.Pool, Stage: o.Stage}, o.Took-o.Queued, now)
		}
		e.current.Load().retry.Success(o.Pool, now)
	}
	e.moved(e.fleet.observe(o.Pool, o.Endpoint, o.Outcome, o.Ran, now))
}

// moved follows changes of endpoints' states. The calls that wait on an endpoint
// that is ejected get a second attempt elsewhere: it may be stopped, with its
// connections open, and then no error would ever end them.
func (e *Entry) moved(transitions []route.Transition) {
	e.logTransitions(transitions)
	for _, t := range transitions {
		if t.To == route.StateEjected {
			e.run(e.core.EndpointEjected(e.cfg.Now(), t.Endpoint))
		}
	}
}
