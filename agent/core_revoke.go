package agent

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// Revoke stops a call, or prevents it from running if it has not arrived. The
// answer "not run" promises that neither the call nor a copy of it that is
// still in transit will be written to the endpoint.
func (c *Core) Revoke(now time.Time, r wire.Revoke) (wire.RevokeResult, []Effect) {
	var fx effects
	c.observe(now, &fx)
	conf := c.settings.Load()
	state, cost := c.revoke(now, conf, r, &fx)
	if state == wire.RevokedNotRun {
		state = c.checkOtherSubmissions(now, conf, r)
	}
	call := wire.StageCall{ID: r.ID}
	event := c.ledgerRecord(now, &call, ledger.KindRevoked)
	event.Detail = string(state)
	event.Cost = cost
	if state == wire.RevokedNotRun {
		event.State = api.StageNotRun
	}
	fx.add(AddRecord{event})
	c.addDecision(&fx, &call, VerdictRevoked, api.ReasonRevoked, string(state))
	return wire.RevokeResult{State: state, Cost: cost}, fx.list
}

func (c *Core) revoke(now time.Time, conf *settings, r wire.Revoke, fx *effects) (wire.RevokeState, time.Duration) {
	if c.noteMayBeGone(now, conf, r) {
		note, seen := c.calls.get(r.ID)
		if !seen {
			return wire.RevokedUnknown, 0
		}
		return c.revokeSeen(now, r.ID, note, fx)
	}
	o := outcomeNotRun
	if !c.canProveNotRun(conf, r) {
		o = outcomeUnknown
	}
	note, seen := c.calls.addTombstone(now, r.ID, o, conf.noteExpiry(r.Until))
	if seen {
		return c.revokeSeen(now, r.ID, note, fx)
	}
	return revokeStateOf(o), 0
}

// noteMayBeGone reports whether a missing note proves nothing about the call. A
// call is remembered only until some time after its deadline.
func (c *Core) noteMayBeGone(now time.Time, conf *settings, r wire.Revoke) bool {
	left := r.Until.Sub(now)
	return left < -conf.skew || left > maxTimeToDeadline
}

// canProveNotRun reports whether a call that this process has not received
// cannot have run in an earlier process on this endpoint.
//
// It guards against this failure: an agent runs a call, dies and is restarted;
// the entry, having lost the connection, revokes the call, and the new process
// has never received it. If the entry does not name the incarnation that it
// wrote to, only the call's age can tell: a call that was accepted after this
// process started cannot have reached its predecessor.
func (c *Core) canProveNotRun(conf *settings, r wire.Revoke) bool {
	if r.Incarnation != "" {
		return r.Incarnation == c.cfg.Process.Incarnation
	}
	accepted := r.Until.Add(-conf.maxDeadline)
	return accepted.After(c.cfg.Start.Add(conf.skew))
}

// checkOtherSubmissions returns the revoke state of a call that did not run and
// is now blocked. Another submission of its identity may have run, and a client
// that is told "not run" about its order would place it anew. Without an
// identity the request ID is used in its place, which is correct unless the
// client chose an idempotency key.
func (c *Core) checkOtherSubmissions(now time.Time, conf *settings, r wire.Revoke) wire.RevokeState {
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
		return recordRevokeState(rec)
	}
	identified := call.Unrepeatable && validateCall(now, &call) == nil
	if !identified {
		return wire.RevokedNotRun
	}
	if reject := c.checkEarlierRun(now, conf, shard, &call); reject != nil && reject.status == wire.StatusUnknown {
		return wire.RevokedUnknown
	}
	return wire.RevokedNotRun
}

func recordRevokeState(rec *record) wire.RevokeState {
	switch rec.state {
	case recordLost:
		return wire.RevokedUnknown
	case recordDone:
		return wire.RevokedDone
	default:
		return wire.RevokedRunning
	}
}

// revokeSeen revokes a call that has a note.
func (c *Core) revokeSeen(now time.Time, id wire.CallID, note callNote, fx *effects) (wire.RevokeState, time.Duration) {
	if note.run == nil {
		return revokeStateOf(note.outcome), 0
	}
	run := note.run
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	switch run.phase {
	case phaseEnded:
		if run.mayHaveRun {
			return wire.RevokedDone, run.cost
		}
		return wire.RevokedNotRun, 0
	case phaseRunning:
		deadline := run.deadline()
		c.detachWaiters(now, run, api.ReasonRevoked, func(w *waiter) bool { return w.id == id }, fx)
		c.cancelIfAbandoned(now, run, deadline, api.ReasonRevoked, fx)
		return wire.RevokedRunning, c.admission.incompleteCost(run, now.Sub(run.started))
	default:
		return c.revokeWaiting(now, run, id, fx), 0
	}
}

func revokeStateOf(o outcome) wire.RevokeState {
	switch o {
	case outcomeNotRun:
		return wire.RevokedNotRun
	case outcomeReplayed:
		return wire.RevokedDone
	default:
		return wire.RevokedUnknown
	}
}

// revokeWaiting revokes a call whose run is not written yet. If another
// submission of the same identity waits for the same run, the run continues,
// and it would be false to say that the call's request did not run.
func (c *Core) revokeWaiting(now time.Time, run *Run, id wire.CallID, fx *effects) wire.RevokeState {
	others := 0
	for _, w := range run.waiters {
		if w.id != id {
			others++
		}
	}
	if others == 0 {
		c.refuseLocked(now, run, refused(api.ReasonRevoked, ""), fx)
		c.calls.markNotRun(id)
		return wire.RevokedNotRun
	}
	reject := unknown(api.ReasonRevoked, "another sending of the identity goes on")
	run.removeWaiters(func(w *waiter) bool { return w.id == id }, func(w waiter) {
		c.replyRefusal(w.token, w.id, reject, fx)
		c.ledgerWaiter(now, run, w, reject.status, reject.reason, fx)
	})
	return wire.RevokedUnknown
}

// removeWaiters removes the waiters that match and calls answer for each.
func (r *Run) removeWaiters(match func(*waiter) bool, answer func(waiter)) {
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

// detachWaiters removes the waiters that match from a run on the endpoint, and
// answers them with wire.StatusLost: the call was written, and its result is
// not known yet.
func (c *Core) detachWaiters(now time.Time, run *Run, reason api.Reason, match func(*waiter) bool, fx *effects) {
	run.removeWaiters(match, func(w waiter) {
		duration := now.Sub(run.started)
		fx.add(Reply{Token: w.token, Result: wire.StageResult{
			ID:     w.id,
			Status: wire.StatusLost,
			Reason: reason,
			Queued: run.started.Sub(run.received),
			Ran:    duration,
			Cost:   c.admission.incompleteCost(run, duration),
		}})
		c.ledgerWaiter(now, run, w, wire.StatusLost, reason, fx)
	})
}

// cancel cancels a run on the endpoint, at most once.
func (c *Core) cancel(run *Run, reason api.Reason, fx *effects) {
	if run.cancelled != "" {
		return
	}
	run.cancelled = reason
	fx.add(Cancel{Run: run})
}

// Expire processes the deadline of one arrival.
func (c *Core) Expire(now time.Time, token Token, id wire.CallID) []Effect {
	return c.removeArrival(now, token, id, api.ReasonDeadline)
}

// Disconnected processes the end of the connection that one arrival came from.
func (c *Core) Disconnected(now time.Time, token Token, id wire.CallID) []Effect {
	return c.removeArrival(now, token, id, api.ReasonCallerGone)
}

// removeArrival removes one waiter from its run. A run without waiters is
// removed from the queue, or handled by cancelIfAbandoned if it is on the
// endpoint.
func (c *Core) removeArrival(now time.Time, token Token, id wire.CallID, reason api.Reason) []Effect {
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
	if !run.hasWaiter(token) || run.phase == phaseEnded {
		return fx.list
	}
	if run.phase == phaseWaiting {
		c.removeQueuedArrival(now, run, match, reason, &fx)
		return fx.list
	}
	deadline := run.deadline()
	c.detachWaiters(now, run, reason, match, &fx)
	c.addDecision(&fx, &run.call, VerdictExpired, reason, "")
	c.cancelIfAbandoned(now, run, deadline, reason, &fx)
	return fx.list
}

// cancelIfAbandoned cancels a run that has no more waiters. An unrepeatable run
// may continue for unrepeatableGrace after deadline, so that a client that
// resends the request finds the result instead of an unknown outcome.
func (c *Core) cancelIfAbandoned(now time.Time, run *Run, deadline time.Time, reason api.Reason, fx *effects) {
	switch {
	case len(run.waiters) > 0:
	case run.call.Unrepeatable:
		fx.add(CancelTimer{Run: run, At: laterOf(now, deadline).Add(unrepeatableGrace)})
	default:
		c.cancel(run, reason, fx)
	}
}

// removeQueuedArrival removes one waiter from a run that is not written yet,
// and refuses the run if it was the only one.
func (c *Core) removeQueuedArrival(now time.Time, run *Run, match func(*waiter) bool, reason api.Reason, fx *effects) {
	if len(run.waiters) == 1 {
		reject := refused(reason, "its time ran out in the queue")
		reject.retryAfter = c.admission.newArrivalWait()
		c.refuseLocked(now, run, reject, fx)
		return
	}
	reject := unknown(reason, "another sending of the identity goes on")
	run.removeWaiters(match, func(w waiter) {
		c.replyRefusal(w.token, w.id, reject, fx)
		c.ledgerWaiter(now, run, w, reject.status, reject.reason, fx)
	})
}

func (r *Run) hasWaiter(token Token) bool {
	for _, w := range r.waiters {
		if w.token == token {
			return true
		}
	}
	return false
}

// CancelOverdue cancels a run that still has no waiters when its grace period
// ends.
func (c *Core) CancelOverdue(now time.Time, run *Run) []Effect {
	var fx effects
	c.observe(now, &fx)
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	if run.phase == phaseRunning && len(run.waiters) == 0 {
		c.cancel(run, api.ReasonDeadline, &fx)
	}
	return fx.list
}

// Peek says whether an identity ran a stage here. PeekNever needs proof: every
// run of the stage is remembered, and this process is the one that would have
// run it.
func (c *Core) Peek(now time.Time, p wire.Peek) (wire.PeekState, []Effect) {
	var fx effects
	c.observe(now, &fx)
	conf := c.settings.Load()
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
	provable := conf.unrepeatable[p.Stage] && c.owns(conf, &call) && c.checkBindingForPeek(&call) == nil
	if !provable || c.checkEarlierRun(now, conf, shard, &call) != nil || !c.addFence(now, conf, shard, &p) {
		return wire.PeekUnknown, fx.list
	}
	return wire.PeekNever, fx.list
}

// checkBindingForPeek applies checkBinding to minted IDs too, with any refusal
// meaning that there is no proof: the question is whether the stage ran at all,
// and the process that the ID is bound to may have run it.
func (c *Core) checkBindingForPeek(call *wire.StageCall) *refusal {
	if call.Identity.Kind == wire.IdentityKey {
		return nil
	}
	return c.checkBinding(call)
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
