package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// attempt returns the attempt with the ID, or nil if it or its request is not
// in the shard.
func (t *transition) attempt(id wire.CallID) *attempt {
	if t.r == nil {
		return nil
	}
	return t.r.find(id)
}

// execStateByStatus is the execution state that each status proves.
var execStateByStatus = map[wire.StageStatus]execState{
	wire.StatusDone:    ran,
	wire.StatusFailed:  ran,
	wire.StatusRefused: notRun,
	wire.StatusLost:    mayHaveRun,
	wire.StatusUnknown: mayHaveRun,
}

// callOutcome classifies a result for the endpoint's health.
func callOutcome(res wire.StageResult) route.CallOutcome {
	switch res.Status {
	case wire.StatusDone:
		if len(res.Output) > 0 {
			return route.CallSucceeded
		}
		return route.CallFailed
	case wire.StatusRefused, wire.StatusUnknown:
		return route.CallRefused
	case wire.StatusLost:
		return route.CallLost
	}
	return route.CallFailed
}

// onResult handles an agent's reply. Only the first reply with exactly this
// request, stage, submission and attempt counts: a late or repeated reply must
// not be accepted as the result of another call.
func (t *transition) onResult(res wire.StageResult) {
	a := t.attempt(res.ID)
	if a == nil || a.result != nil || a.notWritten {
		t.onLateResult(res)
		return
	}
	wasEnded := a.ended()
	a.result = &res
	state, known := execStateByStatus[res.Status]
	if !known {
		state = mayHaveRun
	}
	a.advance(state)
	a.elapsed = t.now.Sub(a.sentAt)
	a.cost = max(a.cost, res.Cost)
	if res.Crashed || res.Reason == api.ReasonNoEndpoint {
		a.lostAt = t.now
	}
	if !wasEnded {
		t.reportRunEnd(a)
		o := t.observe(a, callOutcome(res))
		o.Crashed, o.Companions, o.Report = res.Crashed, res.Companions, &res.Report
		o.Queued, o.Ran = res.Queued, res.Ran
		t.emit(o)
	}
	t.recordAttempt(a, ledger.Record{Kind: ledger.KindFinished, State: a.state(), Reason: res.Reason,
		Detail: res.Detail, Duration: a.elapsed, Cost: res.Cost})
	t.proceed(a)
}

// reportRunEnd reports to Suspects how the attempt ended.
func (t *transition) reportRunEnd(a *attempt) {
	fingerprint := t.r.contentKey(a.stage)
	s := t.core.cfg.Suspects
	switch {
	case a.result != nil && a.result.Crashed:
		s.Crashed(fingerprint, suspect.Crash{Endpoint: a.endpoint, Companions: a.result.Companions}, t.now)
	case a.done():
		s.Succeeded(fingerprint, t.now)
	default:
		s.Ended(fingerprint, t.now)
	}
}

// observe builds the Observe effect for an attempt that has ended.
func (t *transition) observe(a *attempt, outcome route.CallOutcome) Observe {
	return Observe{
		CallID: a.id, Pool: a.pool, Stage: a.id.Stage, Endpoint: a.endpoint, Outcome: outcome,
		Elapsed: t.now.Sub(a.sentAt), Revoked: a.revoked, Fingerprint: t.r.contentKey(a.stage),
	}
}

// onNotWritten handles a call that was not written, and so cannot have run.
func (t *transition) onNotWritten(id wire.CallID) {
	a := t.attempt(id)
	if a == nil || a.ended() {
		t.onLateEnd(id)
		return
	}
	a.notWritten = true
	a.advance(notRun)
	t.endWithoutReply(a, api.StageNotRun, route.CallLost)
}

// onCallLost handles a call that was, or may have been, written and whose reply
// will not come. The call may still be in a socket buffer and run later, so it
// is revoked: only the agent's acknowledgement can prove that it never will.
func (t *transition) onCallLost(id wire.CallID) {
	a := t.attempt(id)
	if a == nil || a.ended() {
		t.onLateEnd(id)
		return
	}
	a.lost = true
	if a.revokeLost {
		a.advance(unanswered)
	}
	t.revoke(a)
	t.endWithoutReply(a, a.state(), route.CallLost)
}

// endWithoutReply handles the end of a call without a reply.
func (t *transition) endWithoutReply(a *attempt, state api.StageState, outcome route.CallOutcome) {
	a.elapsed = t.now.Sub(a.sentAt)
	a.lostAt = t.now
	t.reportRunEnd(a)
	t.emit(t.observe(a, outcome))
	t.recordAttempt(a, ledger.Record{Kind: ledger.KindFinished, State: state,
		Reason: api.ReasonConnectionLost, Duration: a.elapsed})
	t.proceed(a)
}

// revoke asks the agent to stop a call, at most once.
func (t *transition) revoke(a *attempt) {
	if a.revoked {
		return
	}
	a.revoked = true
	t.emit(Revoke{
		Endpoint: a.endpoint, CallID: a.id, Until: a.deadline, Incarnation: a.agent,
		Identity: t.r.Identity, Binding: t.r.binding(a.stage), Unrepeatable: t.r.stageAt(a.stage).Unrepeatable,
	})
}

// onRevokeAck handles an agent's reply to a revocation. "Not run" counts as a
// lost reply if it comes from another agent process than the one that was
// called.
func (t *transition) onRevokeAck(id wire.CallID, ack wire.RevokeResult) {
	a := t.attempt(id)
	if a == nil || !a.revoked || a.ack != "" {
		t.addLateCost(id, ack.Cost)
		return
	}
	if ack.State == wire.RevokedNotRun && !a.sameAgent(ack.Report.Process) {
		t.onRevokeLost(id)
		return
	}
	a.ack = ack.State
	switch ack.State {
	case wire.RevokedNotRun:
		a.advance(notRun)
	case wire.RevokedRunning, wire.RevokedDone:
		a.advance(ran)
	default:
		a.advance(mayHaveRun)
	}
	a.cost = max(a.cost, ack.Cost)
	t.recordAttempt(a, ledger.Record{Kind: ledger.KindRevoked, State: a.state(), Cost: ack.Cost})
	if t.r.phase == revoking {
		t.finishIfDecided()
	}
}

// sameAgent reports whether the process that replied is the agent that was
// called. An agent that restarted in between has never seen the call and would
// acknowledge that it did not run, although its predecessor may have passed it
// to the endpoint. Incarnations are never reused, so an agent with the same
// incarnation before and after the call is the one that received it.
func (a *attempt) sameAgent(replier wire.Process) bool {
	return a.agent != "" && a.agent == replier.Incarnation
}

// onRevokeLost handles a revocation without a reply.
func (t *transition) onRevokeLost(id wire.CallID) {
	a := t.attempt(id)
	if a == nil || !a.revoked || a.ack != "" {
		return
	}
	a.revokeLost = true
	if a.lost {
		a.advance(unanswered)
	}
	if t.r.phase == revoking {
		t.finishIfDecided()
	}
}

// proceed decides how the request continues after one of its calls has ended.
func (t *transition) proceed(a *attempt) {
	r := t.r
	switch {
	case t.now.After(r.Deadline):
		// The deadline timer is late, as after a pause of this process. A
		// result that arrives after the deadline is not delivered as an answer.
		t.expire()
	case a.stage != r.stage || r.phase == peeking:
		return
	case a.done() && r.phase == running, a.done() && !r.abandoned && r.stage == r.lastStage():
		t.stageDone(a)
	case r.phase == revoking:
		t.finishIfDecided()
	case !r.attemptRunning():
		t.retry(a)
	}
}

// stageDone uses the first complete result of the current stage and starts the
// next stage or answers. Other attempts are revoked; their cost counts as
// wasted.
func (t *transition) stageDone(a *attempt) {
	r := t.r
	if r.stage == r.lastStage() && a.matchedBytes < len(r.forwarded) {
		// The caller has received output of an earlier attempt that this one
		// did not repeat, so its complete output may contradict what the caller
		// has already read.
		if !t.otherAttemptMatches(a) {
			t.giveUpStream()
		}
		return
	}
	for _, other := range r.attempts {
		if other.stage == r.stage && !other.ended() {
			t.revoke(other)
		}
	}
	r.replayed = r.replayed || a.result.Replayed
	r.prevOutput = a.result.Output
	r.winners[r.stage] = a
	if r.stage == r.lastStage() {
		t.answer()
		return
	}
	t.stopWaiting()
	r.stage++
	r.reportedSince = time.Time{}
	r.timers[TimerHedge] = 0
	t.startStage()
}
