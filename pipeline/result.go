package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// attempt returns the open request's attempt with the ID, or nil.
func (t *turn) attempt(id wire.CallID) *attempt {
	if t.r == nil {
		return nil
	}
	return t.r.find(id)
}

// learned is what each status proves.
var learned = map[wire.StageStatus]knowledge{
	wire.StatusDone:    ran,
	wire.StatusFailed:  ran,
	wire.StatusRefused: notRun,
	wire.StatusLost:    mayHaveRun,
	wire.StatusUnknown: mayHaveRun,
}

// callOutcome is what a result says of the endpoint's health.
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

// onResult takes in an agent's reply. Only the first for exactly this request,
// stage, sending and attempt counts: a late or repeated one must not pass for
// the result of another.
func (t *turn) onResult(res wire.StageResult) {
	a := t.attempt(res.ID)
	if a == nil || a.result != nil || a.notWritten {
		t.lateResult(res)
		return
	}
	wasOver := a.over()
	a.result = &res
	k, known := learned[res.Status]
	if !known {
		k = mayHaveRun
	}
	a.learn(k)
	a.took = t.now.Sub(a.sentAt)
	a.cost = max(a.cost, res.Cost)
	if res.Crashed || res.Reason == api.ReasonNoEndpoint {
		a.lostAt = t.now
	}
	if !wasOver {
		t.endRun(a)
		o := t.observe(a, callOutcome(res))
		o.Crashed, o.Companions, o.Report = res.Crashed, res.Companions, &res.Report
		o.Queued, o.Ran = res.Queued, res.Ran
		t.emit(o)
	}
	t.recordAttempt(a, ledger.Record{Kind: ledger.KindFinished, State: a.state(), Reason: res.Reason,
		Detail: res.Detail, Took: a.took, Cost: res.Cost})
	t.step(a)
}

// endRun tells Suspects how the run of the content ended.
func (t *turn) endRun(a *attempt) {
	fingerprint := t.r.content(a.stage)
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

func (t *turn) observe(a *attempt, outcome route.CallOutcome) Observe {
	return Observe{
		CallID: a.id, Pool: a.pool, Stage: a.id.Stage, Endpoint: a.endpoint, Outcome: outcome,
		Took: t.now.Sub(a.sentAt), Revoked: a.revoked, Fingerprint: t.r.content(a.stage),
	}
}

func (t *turn) onNotWritten(id wire.CallID) {
	a := t.attempt(id)
	if a == nil || a.over() {
		t.lateEnd(id)
		return
	}
	a.notWritten = true
	a.learn(notRun)
	t.ended(a, api.StageNotRun, route.CallLost)
}

// onCallLost takes in that a call was, or may have been, written and no reply
// will come. The call may sit in a socket buffer and run later, so it is
// revoked: only the agent's acknowledgement can prove that it never will.
func (t *turn) onCallLost(id wire.CallID) {
	a := t.attempt(id)
	if a == nil || a.over() {
		t.lateEnd(id)
		return
	}
	a.lost = true
	if a.revokeLost {
		a.learn(silent)
	}
	t.revoke(a)
	t.ended(a, a.state(), route.CallLost)
}

// ended takes in the end of a call without a reply.
func (t *turn) ended(a *attempt, state api.StageState, outcome route.CallOutcome) {
	a.took = t.now.Sub(a.sentAt)
	a.lostAt = t.now
	t.endRun(a)
	t.emit(t.observe(a, outcome))
	t.recordAttempt(a, ledger.Record{Kind: ledger.KindFinished, State: state,
		Reason: api.ReasonConnectionLost, Took: a.took})
	t.step(a)
}

// revoke asks the agent, once, to stop a call.
func (t *turn) revoke(a *attempt) {
	if a.revoked {
		return
	}
	a.revoked = true
	t.emit(Revoke{
		Endpoint: a.endpoint, CallID: a.id, Until: a.deadline, Incarnation: a.agent,
		Identity: t.r.Identity, Binding: t.r.binding(a.stage), Unrepeatable: t.r.stageAt(a.stage).Unrepeatable,
	})
}

func (t *turn) onRevokeAck(id wire.CallID, ack wire.RevokeResult) {
	a := t.attempt(id)
	if a == nil || !a.revoked || a.ack != "" {
		t.lateCost(id, ack.Cost)
		return
	}
	if ack.State == wire.RevokedNotRun && !a.sameAgent(ack.Report.Process) {
		t.onRevokeLost(id)
		return
	}
	a.ack = ack.State
	switch ack.State {
	case wire.RevokedNotRun:
		a.learn(notRun)
	case wire.RevokedRunning, wire.RevokedDone:
		a.learn(ran)
	default:
		a.learn(mayHaveRun)
	}
	a.cost = max(a.cost, ack.Cost)
	t.recordAttempt(a, ledger.Record{Kind: ledger.KindRevoked, State: a.state(), Cost: ack.Cost})
	if t.r.phase == proving {
		t.settle()
	}
}

// sameAgent tells whether the agent that speaks is the one that was called. An
// agent that was restarted in between has never seen the call and would
// acknowledge in good faith that it did not run, when its predecessor had
// already passed it to the endpoint. An incarnation never comes back, so one
// that was there before the call and is there now received it.
func (a *attempt) sameAgent(speaker wire.Process) bool {
	return a.agent != "" && a.agent == speaker.Incarnation
}

func (t *turn) onRevokeLost(id wire.CallID) {
	a := t.attempt(id)
	if a == nil || !a.revoked || a.ack != "" {
		return
	}
	a.revokeLost = true
	if a.lost {
		a.learn(silent)
	}
	if t.r.phase == proving {
		t.settle()
	}
}

// step moves the request on after one of its calls has ended.
func (t *turn) step(a *attempt) {
	r := t.r
	switch {
	case t.now.After(r.Deadline):
		// The deadline timer is late, as after a pause of this process. A
		// result that comes too late is not passed off as an answer in time.
		t.expire()
	case a.stage != r.stage || r.phase == peeking:
		return
	case a.done() && r.phase == running, a.done() && !r.abandoned && r.stage == r.lastStage():
		t.stageDone(a)
	case r.phase == proving:
		t.settle()
	case !r.waiting():
		t.retry(a)
	}
}

// stageDone takes the first complete result of the current stage. Other
// attempts are stopped; what they cost counts as wasted.
func (t *turn) stageDone(a *attempt) {
	r := t.r
	if r.stage == r.lastStage() && a.matched < len(r.forwarded) {
		// The caller has text of an earlier attempt that this one did not
		// repeat; its output would not fit what the caller already read.
		if !t.othersContinue(a) {
			t.diverged()
		}
		return
	}
	for _, other := range r.attempts {
		if other.stage == r.stage && !other.over() {
			t.revoke(other)
		}
	}
	r.replayed = r.replayed || a.result.Replayed
	r.previous = a.result.Output
	r.winners[r.stage] = a
	if r.stage == r.lastStage() {
		t.answer()
		return
	}
	t.stopWaiting()
	r.stage++
	r.heardSince = time.Time{}
	r.timers[TimerHedge] = 0
	t.startStage()
}
