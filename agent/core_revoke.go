package agent

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// Revoke stops a call or bars it. Its answer "not run" is a promise: neither
// the call nor a copy of it that is still on its way will be written.
func (c *Core) Revoke(now time.Time, r wire.Revoke) (wire.RevokeResult, []Effect) {
	var fx effects
	c.observe(now, &fx)
	set := c.settings.Load()
	state, cost := c.revoke(now, set, r, &fx)
	if state == wire.RevokedNotRun {
		state = c.otherSending(now, set, r)
	}
	call := wire.StageCall{ID: r.ID}
	fact := c.fact(now, &call, ledger.KindRevoked)
	fact.Detail = string(state)
	fact.Cost = cost
	if state == wire.RevokedNotRun {
		fact.State = api.StageNotRun
	}
	fx.add(Keep{fact})
	c.decide(&fx, &call, VerdictRevoked, api.ReasonRevoked, string(state))
	return wire.RevokeResult{State: state, Cost: cost}, fx.list
}

func (c *Core) revoke(now time.Time, set *settings, r wire.Revoke, fx *effects) (wire.RevokeState, time.Duration) {
	if c.tooOldToTell(now, set, r) {
		note, seen := c.calls.get(r.ID)
		if !seen {
			return wire.RevokedUnknown, 0
		}
		return c.revokeSeen(now, r.ID, note, fx)
	}
	f := fateNotRun
	if !c.vouches(set, r) {
		f = fateUnknown
	}
	note, seen := c.calls.tombstone(now, r.ID, f, set.noteUntil(r.Until))
	if seen {
		return c.revokeSeen(now, r.ID, note, fx)
	}
	return stateOf(f), 0
}

// tooOldToTell: a call is remembered until its deadline and a while longer, so
// a missing note proves nothing after that.
func (c *Core) tooOldToTell(now time.Time, set *settings, r wire.Revoke) bool {
	left := r.Until.Sub(now)
	return left < -set.skew || left > maxCallLife
}

// vouches tells whether a call that this process has not seen cannot have run
// in an earlier process on this endpoint. The failure: an agent runs a call,
// dies and is started again; the entry, having lost the connection, revokes,
// and the new process has indeed never seen the call. If the entry does not
// name the incarnation that it wrote to, only the call's age can tell: one that
// was accepted after this process began cannot have reached its predecessor.
func (c *Core) vouches(set *settings, r wire.Revoke) bool {
	if r.Incarnation != "" {
		return r.Incarnation == c.cfg.Process.Incarnation
	}
	accepted := r.Until.Add(-set.longest)
	return accepted.After(c.cfg.Start.Add(set.skew))
}

// otherSending answers for a call that did not run and is barred. Another
// sending of its identity may have run, and a caller who is told "not run" of
// its order would place it anew. Without an identity the request ID is taken
// for one, which it is unless the caller chose a key.
func (c *Core) otherSending(now time.Time, set *settings, r wire.Revoke) wire.RevokeState {
	call := wire.StageCall{
		ID:           r.ID,
		Identity:     r.Identity,
		Binding:      r.Binding,
		Unrepeatable: r.Unrepeatable,
		Deadline:     r.Until,
	}
	shard := c.identities.shard(keyOf(&call))
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if rec := shard.records[keyOf(&call)]; rec != nil {
		return revokedState(rec)
	}
	identified := call.Unrepeatable && malformed(now, &call) == nil
	if !identified {
		return wire.RevokedNotRun
	}
	if reject := c.mayHaveRun(now, set, shard, &call); reject != nil && reject.status == wire.StatusUnknown {
		return wire.RevokedUnknown
	}
	return wire.RevokedNotRun
}

func revokedState(rec *record) wire.RevokeState {
	switch rec.state {
	case recordLost:
		return wire.RevokedUnknown
	case recordDone:
		return wire.RevokedDone
	default:
		return wire.RevokedRunning
	}
}

func (c *Core) revokeSeen(now time.Time, id wire.CallID, note callNote, fx *effects) (wire.RevokeState, time.Duration) {
	if note.run == nil {
		return stateOf(note.fate), 0
	}
	run := note.run
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	switch run.phase {
	case phaseEnded:
		if run.ran {
			return wire.RevokedDone, run.cost
		}
		return wire.RevokedNotRun, 0
	case phaseRunning:
		deadline := run.deadline()
		c.leaveRunning(now, run, api.ReasonRevoked, func(w *waiter) bool { return w.id == id }, fx)
		c.abandon(now, run, deadline, api.ReasonRevoked, fx)
		return wire.RevokedRunning, c.admission.charge(run, now.Sub(run.started))
	default:
		return c.revokeWaiting(now, run, id, fx), 0
	}
}

func stateOf(f fate) wire.RevokeState {
	switch f {
	case fateNotRun:
		return wire.RevokedNotRun
	case fateRan:
		return wire.RevokedDone
	default:
		return wire.RevokedUnknown
	}
}

// revokeWaiting takes a call out of the queue. If another sending of the same
// identity waits for the same run, the run goes on, and it would be false to
// say that the call's request did not run.
func (c *Core) revokeWaiting(now time.Time, run *Run, id wire.CallID, fx *effects) wire.RevokeState {
	others := 0
	for _, w := range run.waiters {
		if w.id != id {
			others++
		}
	}
	if others == 0 {
		c.refuseLocked(now, run, refused(api.ReasonRevoked, ""), fx)
		c.calls.bury(id)
		return wire.RevokedNotRun
	}
	reject := unknown(api.ReasonRevoked, "another sending of the identity goes on")
	run.drop(func(w *waiter) bool { return w.id == id }, func(w waiter) {
		c.answer(w.token, w.id, reject, fx)
		c.keepWaiter(now, run, w, reject.status, reject.reason, fx)
	})
	return wire.RevokedUnknown
}

// drop removes the waiters that match and calls answer for each.
func (r *Run) drop(match func(*waiter) bool, answer func(waiter)) {
	kept := r.waiters[:0]
	for i := range r.waiters {
		if match(&r.waiters[i]) {
			answer(r.waiters[i])
			continue
		}
		kept = append(kept, r.waiters[i])
	}
	r.waiters = kept
}

// leaveRunning answers waiters that do not stay for the end of a run that is
// on the endpoint: it was written, and its result is not known to them.
func (c *Core) leaveRunning(now time.Time, run *Run, reason api.Reason, match func(*waiter) bool, fx *effects) {
	run.drop(match, func(w waiter) {
		took := now.Sub(run.started)
		fx.add(Reply{Token: w.token, Result: wire.StageResult{
			ID:     w.id,
			Status: wire.StatusLost,
			Reason: reason,
			Queued: run.started.Sub(run.received),
			Ran:    took,
			Cost:   c.admission.charge(run, took),
		}})
		c.keepWaiter(now, run, w, wire.StatusLost, reason, fx)
	})
}

func (c *Core) cancel(run *Run, reason api.Reason, fx *effects) {
	if run.cancelled != "" {
		return
	}
	run.cancelled = reason
	fx.add(Cancel{Run: run})
}

// Expire takes the deadline of one arrival.
func (c *Core) Expire(now time.Time, token Token, id wire.CallID) []Effect {
	return c.depart(now, token, id, api.ReasonDeadline)
}

// Gone takes the end of the connection on which an arrival came.
func (c *Core) Gone(now time.Time, token Token, id wire.CallID) []Effect {
	return c.depart(now, token, id, api.ReasonCallerGone)
}

// depart removes one waiter. A run that nobody waits for is taken out of the
// queue or abandoned.
func (c *Core) depart(now time.Time, token Token, id wire.CallID, reason api.Reason) []Effect {
	var fx effects
	c.observe(now, &fx)
	note, seen := c.calls.get(id)
	if !seen || note.run == nil {
		return fx.list
	}
	run := note.run
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	match := func(w *waiter) bool { return w.token == token }
	if !run.awaitedBy(token) || run.phase == phaseEnded {
		return fx.list
	}
	if run.phase == phaseWaiting {
		c.departWaiting(now, run, match, reason, &fx)
		return fx.list
	}
	deadline := run.deadline()
	c.leaveRunning(now, run, reason, match, &fx)
	c.decide(&fx, &run.call, VerdictExpired, reason, "")
	c.abandon(now, run, deadline, reason, &fx)
	return fx.list
}

// abandon ends a run that nobody waits for any more. An unrepeatable one goes
// on to its end, so that the caller, who will ask again, finds the result
// instead of something that may or may not have happened.
func (c *Core) abandon(now time.Time, run *Run, deadline time.Time, reason api.Reason, fx *effects) {
	switch {
	case len(run.waiters) > 0:
	case run.call.Unrepeatable:
		fx.add(CancelTimer{Run: run, At: laterOf(now, deadline).Add(finishGrace)})
	default:
		c.cancel(run, reason, fx)
	}
}

func (c *Core) departWaiting(now time.Time, run *Run, match func(*waiter) bool, reason api.Reason, fx *effects) {
	if len(run.waiters) == 1 {
		reject := refused(reason, "its time ran out in the queue")
		reject.retryAfter = c.admission.drainTime()
		c.refuseLocked(now, run, reject, fx)
		return
	}
	reject := unknown(reason, "another sending of the identity goes on")
	run.drop(match, func(w waiter) {
		c.answer(w.token, w.id, reject, fx)
		c.keepWaiter(now, run, w, reject.status, reject.reason, fx)
	})
}

func (r *Run) awaitedBy(token Token) bool {
	for _, w := range r.waiters {
		if w.token == token {
			return true
		}
	}
	return false
}

// CancelLate cancels a run whose last chance to end by itself has passed.
func (c *Core) CancelLate(now time.Time, run *Run) []Effect {
	var fx effects
	c.observe(now, &fx)
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	if run.phase == phaseRunning && len(run.waiters) == 0 {
		c.cancel(run, api.ReasonDeadline, &fx)
	}
	return fx.list
}

// Peek says whether an identity ran a stage here. "Never" needs proof: the
// stage is one whose every run is remembered, and this process would have been
// the one to run it.
func (c *Core) Peek(now time.Time, p wire.Peek) (wire.PeekState, []Effect) {
	var fx effects
	c.observe(now, &fx)
	set := c.settings.Load()
	call := wire.StageCall{
		ID:           wire.CallID{Request: p.Identity.Value, Stage: p.Stage},
		Identity:     p.Identity,
		Binding:      &p.Binding,
		Unrepeatable: true,
	}
	shard := c.identities.shard(keyOf(&call))
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if rec := shard.records[keyOf(&call)]; rec != nil {
		return peekState(rec.state), fx.list
	}
	provable := set.unrepeatable[p.Stage] && c.owns(set, &call) && c.misboundForPeek(&call) == nil
	if !provable || c.mayHaveRun(now, set, shard, &call) != nil || !c.fenceOff(now, set, shard, &p) {
		return wire.PeekUnknown, fx.list
	}
	return wire.PeekNever, fx.list
}

// misboundForPeek is strict also for minted IDs: the question is whether the
// stage ran at all, and the process it was bound to may have run it.
func (c *Core) misboundForPeek(call *wire.StageCall) *refusal {
	if call.Identity.Kind == wire.IdentityKey {
		return nil
	}
	return c.misbound(call)
}

func peekState(s recordState) wire.PeekState {
	switch s {
	case recordDone:
		return wire.PeekDone
	case recordLost:
		return wire.PeekUnknown
	default:
		return wire.PeekRunning
	}
}
