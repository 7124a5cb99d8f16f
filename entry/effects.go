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
	// replyGrace is how long after a call's deadline the entry still waits for
	// the reply, to account for its cost. The caller has its answer by then.
	replyGrace = 500 * time.Millisecond
	// agentQueryTimeout bounds one revocation or peek. The core stops waiting earlier.
	agentQueryTimeout = time.Second
)

// handle passes an event to the core and runs the resulting effects.
func (e *Entry) handle(ev pipeline.Event) {
	e.runEffects(e.core.Handle(e.cfg.Now(), ev))
}

func (e *Entry) runEffects(effects []pipeline.Effect) {
	for _, effect := range effects {
		e.runEffect(effect)
	}
}

func (e *Entry) runEffect(effect pipeline.Effect) {
	switch x := effect.(type) {
	case pipeline.Call:
		go e.call(x, e.countInFlight(x))
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

// countInFlight adds a call to the load of its endpoint immediately, so that the
// next decision sees it. The returned function removes it from the calls in flight.
func (e *Entry) countInFlight(c pipeline.Call) (done func()) {
	load := e.fleet.load(c.Endpoint)
	if load == nil {
		return func() {}
	}
	load.InFlight.Add(1)
	load.SentSinceReport.Add(1)
	return func() { load.InFlight.Add(-1) }
}

// call sends one stage call, waits for its reply and reports the result to the
// core. It calls done on return.
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
		// The call is bound to the agent run at the other end of this connection:
		// a copy that outlives that run must not be executed by its successor.
		c.Binding = &wire.Binding{Agent: c.Endpoint, Incarnation: incarnation}
	}
	if after := e.fleet.overdueAfter(c.Pool, c.Endpoint); after > 0 {
		watch := time.AfterFunc(after, func() {
			e.handleTransitions(e.fleet.overdue(c.Pool, c.Endpoint, e.cfg.Now()))
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
		// The agent replied with the result of another call. It must not be used
		// for this one, whose result is unknown.
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
	// Two runs of an agent may be reachable for a moment. Only the run that the
	// call was written to can confirm that it did not run; the successor never
	// saw the call and would wrongly confirm it.
	if incarnation, ok := e.sentTo.Load(r.CallID); ok {
		message.Incarnation, _ = incarnation.(string)
	}
	if err := e.callAgent(r.Endpoint, wire.MethodStageRevoke, message, &result); err != nil {
		e.handle(pipeline.RevokeLost{CallID: r.CallID})
		return
	}
	e.ApplyReport(result.Report)
	e.handle(pipeline.RevokeAck{CallID: r.CallID, RevokeResult: result})
}

func (e *Entry) peek(p pipeline.SendPeek) {
	var result wire.PeekResult
	p.Entry, p.At = e.name(), e.cfg.Now()
	if err := e.callAgent(p.Endpoint, wire.MethodStagePeek, p.Peek, &result); err != nil {
		e.handle(pipeline.PeekLost{RequestID: p.RequestID, Seq: p.Seq, Stage: p.Stage})
		return
	}
	e.handle(pipeline.PeekReply{RequestID: p.RequestID, Seq: p.Seq, Stage: p.Stage, PeekResult: result})
}

// callAgent calls an idempotent method of an endpoint's agent.
func (e *Entry) callAgent(endpoint, method string, params, result any) error {
	conn, ok := e.members.Agent(endpoint)
	if !ok {
		return peer.ErrNotWritten.New("no connection to %s", endpoint)
	}
	ctx, cancel := context.WithTimeout(e.ctx, agentQueryTimeout)
	defer cancel()
	return conn.Call(ctx, method, params, result)
}

func (e *Entry) reply(r pipeline.Reply) {
	w := e.waiters.remove(r.Ref)
	if w == nil {
		return
	}
	e.stats.outcome(r.Outcome())
	w.onReply()
	w.finish(r.Final)
}

// record stores a record and sends copies of a refusal to other entries. A
// refused request reached no agent, so only this entry would know of it.
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

// recordCopies is the number of other entries that get a copy of a refusal.
const recordCopies = 2

// observe updates the latency estimates and the health of the endpoint. Time
// spent queued at the agent is load, not slowness, so neither includes it.
func (e *Entry) observe(o pipeline.Observe) {
	now := e.cfg.Now()
	if o.Revoked {
		return
	}
	if o.Outcome == route.CallSucceeded {
		if !e.pauses.pausedSince(now.Add(-o.Elapsed), now) {
			e.estimates.Observe(route.StageKey{Pool: o.Pool, Stage: o.Stage}, o.Elapsed-o.Queued, now)
		}
		e.current.Load().retry.Success(o.Pool, now)
	}
	e.handleTransitions(e.fleet.observe(o.Pool, o.Endpoint, o.Outcome, o.Ran, now))
}

// handleTransitions logs health transitions and tells the core of ejected
// endpoints, so that calls in flight there get a second attempt elsewhere. An
// ejected endpoint may be paused with its connections open, and then those calls
// would never fail by themselves.
func (e *Entry) handleTransitions(transitions []route.Transition) {
	e.logTransitions(transitions)
	for _, t := range transitions {
		if t.To == route.StateEjected {
			e.runEffects(e.core.EndpointEjected(e.cfg.Now(), t.Endpoint))
		}
	}
}
