package agent

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/owner"
	"github.com/mangostage/mangostage/wire"
)

// arrival is one call on its way through the checks.
type arrival struct {
	now   time.Time
	token Token
	call  *wire.StageCall
	set   *settings
	view  pauseView
	shard *identityShard
	fx    *effects
}

// refusal is why a call does not run.
type refusal struct {
	status     wire.StageStatus
	reason     api.Reason
	detail     string
	retryAfter time.Duration
}

func refused(reason api.Reason, detail string) *refusal {
	return &refusal{status: wire.StatusRefused, reason: reason, detail: detail}
}

func unknown(reason api.Reason, detail string) *refusal {
	return &refusal{status: wire.StatusUnknown, reason: reason, detail: detail}
}

// Arrive takes a call that was read at now. The order of the checks matters:
// whether the identity ran, or may have run, is asked before anything that
// would refuse the call, for a refusal also says that no earlier sending ran.
func (c *Core) Arrive(now time.Time, token Token, call wire.StageCall) []Effect {
	var fx effects
	a := &arrival{now: now, token: token, call: &call, set: c.settings.Load(), fx: &fx}
	a.view = c.observe(now, &fx)
	if call.BundleVersion > a.set.version {
		fx.add(NewerBundle{Version: call.BundleVersion})
	}
	if reject := malformed(now, &call); reject != nil {
		c.turnAway(a, reject)
		return fx.list
	}
	fx.add(Keep{c.fact(now, &call, ledger.KindReceived)})
	a.shard = c.identities.shard(keyOf(&call))
	a.shard.mu.Lock()
	displaced := c.admit(a)
	a.shard.mu.Unlock()
	if displaced != nil {
		c.refuseRun(now, displaced, api.ReasonOverloaded, &fx)
	}
	return fx.list
}

func keyOf(call *wire.StageCall) identityKey {
	value := call.Identity.Value
	if value == "" {
		value = call.ID.Request
	}
	return identityKey{identity: value, stage: call.ID.Stage}
}

func malformed(now time.Time, call *wire.StageCall) *refusal {
	switch {
	case call.ID.Request == "" || call.ID.Stage == "" || call.ID.Entry == "":
		return refused(api.ReasonBadRequest, "incomplete call ID")
	case call.Deadline.IsZero() || call.Deadline.Sub(now) > maxCallLife:
		return refused(api.ReasonBadRequest, "deadline missing or too far away")
	case !call.Unrepeatable:
		return nil
	case call.Identity.Value == "" || call.Identity.BodyHash == "":
		return refused(api.ReasonBadRequest, "unrepeatable call without an identity")
	case call.Identity.Kind == wire.IdentityKey:
		return nil
	case call.Binding == nil:
		return refused(api.ReasonBadRequest, "unrepeatable call without a binding")
	case call.Identity.Kind == wire.IdentityHeld && call.Identity.KeyTime.IsZero():
		return refused(api.ReasonBadRequest, "held request ID without its time")
	default:
		return nil
	}
}

// admit returns the run that lost its place to the call, if any. The call's
// shard is locked.
func (c *Core) admit(a *arrival) *Run {
	if rec := a.shard.records[keyOf(a.call)]; rec != nil {
		c.again(a, rec)
		return nil
	}
	if a.call.Unrepeatable {
		if reject := c.mayHaveRun(a.now, a.set, a.shard, a.call); reject != nil {
			c.turnAway(a, reject)
			return nil
		}
	}
	if reject := c.barred(a); reject != nil {
		c.turnAway(a, reject)
		return nil
	}
	if reject := a.fenced(); reject != nil {
		c.turnAway(a, reject)
		return nil
	}
	return c.enqueue(a)
}

// mayHaveRun tells whether an unseen unrepeatable call may have run before,
// which is when this process cannot know better.
//
// An ID that was minted or held is bound to one incarnation of one agent. Only
// that process may run it, it remembers every such call that it ran until the
// ID is too old, and so an ID that is bound to it and unseen has not run.
//
// A key is owned by a slot, and an earlier process in this slot, or an earlier
// owner, may have run it and forgotten. A key minted after this process began
// to own it cannot have been run by them. The key's time and the end of the
// earlier process are on two clocks, each off by at most MaxClockSkew from the
// other, and the earlier process took keys up to MaxClockSkew in its future:
// hence twice. An opaque key has no time; it is safe once every earlier run is
// older than the time for which keys are remembered at all.
func (c *Core) mayHaveRun(now time.Time, set *settings, shard *identityShard, call *wire.StageCall) *refusal {
	id := &call.Identity
	if id.Kind != wire.IdentityKey {
		if reject := c.misbound(call); reject != nil {
			return reject
		}
		return tooOld(now, set, shard, id)
	}
	since := set.ownedSince(c.cfg.Endpoint, id.Value, call.ID.Stage)
	if id.KeyTime.IsZero() {
		return opaqueTooSoon(now, since.Add(set.retention))
	}
	if !id.KeyTime.After(since.Add(2 * set.skew)) {
		return unknown(api.ReasonOwnerRestarted, "the key is older than this owner")
	}
	return tooOld(now, set, shard, id)
}

func (c *Core) misbound(call *wire.StageCall) *refusal {
	b := call.Binding
	named := b.Agent == c.cfg.Process.Name || b.Agent == c.cfg.Endpoint
	if named && b.Incarnation == c.cfg.Process.Incarnation {
		return nil
	}
	if call.Identity.Kind == wire.IdentityMinted {
		// The entry made this ID for this one sending, and the agent it was
		// bound to is gone: nothing of it ran here, nor will.
		return refused(api.ReasonOwnerRestarted, "bound to another run of an agent")
	}
	return unknown(api.ReasonOwnerRestarted, "bound to another run of an agent")
}

// opaqueTooSoon holds back keys without a time until whatever ran before this
// process owned them is older than keys are remembered.
func opaqueTooSoon(now, safe time.Time) *refusal {
	if !now.Before(safe) {
		return nil
	}
	reject := unknown(api.ReasonOwnerRestarted, "a key without a time may have run before this owner began")
	reject.retryAfter = safe.Sub(now)
	return reject
}

// tooOld tells of keys whose record may have been forgotten.
func tooOld(now time.Time, set *settings, shard *identityShard, id *wire.Identity) *refusal {
	if id.KeyTime.IsZero() {
		return nil
	}
	if now.Sub(id.KeyTime) > set.retention || !id.KeyTime.After(shard.horizon) {
		return unknown(api.ReasonIDExpired, "older than calls are remembered")
	}
	return nil
}

// barred lists what keeps an unseen call from running.
func (c *Core) barred(a *arrival) *refusal {
	call := a.call
	note, seen := c.calls.get(call.ID)
	switch {
	case seen && note.run == nil && note.fate == fateNotRun:
		return refused(api.ReasonRevoked, "revoked or refused before")
	case seen:
		return unknown(api.ReasonEarlierAttempt, "another copy of this call was taken before")
	case a.view.refusing:
		return refused(api.ReasonPaused, "the agent has just been woken")
	case a.set.pool == nil:
		return refused(api.ReasonNoBundle, "no bundle names pool "+c.cfg.Pool)
	case call.Pool != c.cfg.Pool:
		return refused(api.ReasonBadRequest, "the endpoint is of another pool")
	case c.draining():
		return refused(api.ReasonDraining, "")
	case a.set.remaining(a.now, call) <= 0:
		return refused(api.ReasonDeadline, "arrived too late")
	case call.Unrepeatable && call.Identity.KeyTime.Sub(a.now) > a.set.skew:
		return refused(api.ReasonBadRequest, "the key's time is in the future")
	case !c.owns(a.set, call):
		return refused(api.ReasonNotOwner, "")
	case call.Unrepeatable && !a.shard.room(a.now, c.identities.limits):
		return refused(api.ReasonTableFull, "no room to remember an unrepeatable call")
	default:
		return nil
	}
}

func (c *Core) owns(set *settings, call *wire.StageCall) bool {
	if !call.Unrepeatable || call.Identity.Kind != wire.IdentityKey {
		return true
	}
	return owner.Owner(set.slots(), call.Identity.Value, call.ID.Stage) == c.cfg.Endpoint
}

// again answers a call whose identity is known.
func (c *Core) again(a *arrival, rec *record) {
	note, seen := c.calls.get(a.call.ID)
	if seen && note.run == nil && note.fate == fateNotRun {
		// This sending was revoked, another of the same identity was not.
		c.turnAway(a, unknown(api.ReasonRevoked, "another sending of the identity was taken"))
		return
	}
	if rec.bodyHash != a.call.Identity.BodyHash {
		if seen {
			c.turnAway(a, unknown(api.ReasonEarlierAttempt, "another copy of this call was taken before"))
			return
		}
		c.turnAway(a, refused(api.ReasonKeyConflict, "the key was used with another body"))
		return
	}
	if a.call.Unrepeatable {
		a.shard.promote(rec)
	}
	switch rec.state {
	case recordDone:
		a.shard.touch(rec)
		c.replay(a, rec)
	case recordLost:
		c.turnAway(a, unknown(api.ReasonEarlierAttempt, "an earlier sending may have run"))
	default:
		c.join(a, rec.run)
	}
}

func (c *Core) replay(a *arrival, rec *record) {
	result := rec.result
	result.ID = a.call.ID
	result.Replayed = true
	result.Queued, result.Ran, result.Cost, result.Tokens = 0, 0, 0, 0
	c.calls.note(a.now, a.call.ID, fateRan, a.set.noteUntil(a.call.Deadline))
	a.fx.add(Reply{Token: a.token, Result: result})
	fact := c.fact(a.now, a.call, ledger.KindFinished)
	fact.State = api.StageDone
	fact.Detail = "replayed"
	a.fx.add(Keep{fact})
	c.decide(a.fx, a.call, VerdictReplayed, "", "")
}

// join lets a call wait for the run of an earlier sending. One that arrives
// after its deadline does not: its tombstone, if there was one, has expired.
func (c *Core) join(a *arrival, run *Run) {
	if a.set.remaining(a.now, a.call) <= 0 {
		c.turnAway(a, unknown(api.ReasonDeadline, "an earlier sending is under way"))
		return
	}
	if c.calls.bind(a.now, a.call.ID, run, a.set.noteUntil(a.call.Deadline)) != bindOK {
		c.turnAway(a, unknown(api.ReasonEarlierAttempt, "an earlier sending is under way"))
		return
	}
	w := a.waiter()
	w.joined = true
	run.waiters = append(run.waiters, w)
	a.fx.add(Timer{Token: a.token, ID: a.call.ID, At: w.deadline})
	c.decide(a.fx, a.call, VerdictJoined, "", run.call.ID.String())
}

func (a *arrival) waiter() waiter {
	return waiter{
		token:    a.token,
		id:       a.call.ID,
		arrived:  a.now,
		deadline: a.now.Add(a.set.remaining(a.now, a.call)),
	}
}

// enqueue gives the call a run of its own.
func (c *Core) enqueue(a *arrival) *Run {
	run := &Run{
		call:     *a.call,
		shard:    a.shard,
		waiters:  []waiter{a.waiter()},
		epoch:    a.view.epoch,
		received: a.now,
		place:    place{priority: a.call.Priority, account: a.call.Account, alone: a.call.Alone},
	}
	if c.calls.bind(a.now, a.call.ID, run, a.set.noteUntil(a.call.Deadline)) != bindOK {
		c.turnAway(a, refused(api.ReasonTableFull, "no room to remember the call"))
		return nil
	}
	remaining := a.set.remaining(a.now, a.call)
	got := c.admission.offer(run, a.call.Weight, remaining)
	if !got.started && !got.queued {
		run.phase = phaseEnded
		run.ended.Store(true)
		c.calls.bury(a.call.ID)
		c.turnAway(a, c.noPlace(got))
		return nil
	}
	c.remember(run)
	a.fx.add(Timer{Token: a.token, ID: a.call.ID, At: run.deadline()})
	if got.started {
		c.start([]*Run{run}, a.fx)
		return nil
	}
	c.decide(a.fx, a.call, VerdictQueued, "", "", got.wait)
	return got.displaced
}

func (c *Core) noPlace(got offer) *refusal {
	if got.down {
		return &refusal{status: wire.StatusRefused, reason: api.ReasonNoEndpoint, retryAfter: healthRetry}
	}
	reject := refused(api.ReasonOverloaded, "the queue is full")
	if got.late {
		reject = refused(api.ReasonDeadline, "the queue is longer than the time left")
	}
	reject.retryAfter = c.admission.drainTime()
	return reject
}

// remember makes the run known to later sendings of its identity. A minted ID
// of a repeatable call has no later sending worth joining.
func (c *Core) remember(run *Run) {
	call := &run.call
	if !call.Unrepeatable && (call.Identity.Kind == wire.IdentityMinted || call.Identity.Value == "") {
		return
	}
	run.record = &record{
		key:          keyOf(call),
		bodyHash:     call.Identity.BodyHash,
		state:        recordReserved,
		keyTime:      call.Identity.KeyTime,
		unrepeatable: call.Unrepeatable,
		run:          run,
	}
	run.shard.insert(run.record)
}

// start hands runs that have a slot to the shell.
func (c *Core) start(runs []*Run, fx *effects) {
	for _, run := range runs {
		fx.add(Start{Run: run})
	}
}

// turnAway answers a call that gets no run.
func (c *Core) turnAway(a *arrival, reject *refusal) {
	f := fateNotRun
	verdict := VerdictRefused
	if reject.status == wire.StatusUnknown {
		f = fateUnknown
		verdict = VerdictUnknown
	}
	c.calls.note(a.now, a.call.ID, f, a.set.noteUntil(a.call.Deadline))
	c.answer(a.token, a.call.ID, reject, a.fx)
	c.keepRefusal(a.now, a.call, reject, a.fx)
	c.decide(a.fx, a.call, verdict, reject.reason, reject.detail)
}

func (c *Core) answer(token Token, id wire.CallID, reject *refusal, fx *effects) {
	fx.add(Reply{Token: token, Result: wire.StageResult{
		ID:         id,
		Status:     reject.status,
		Reason:     reject.reason,
		Detail:     reject.detail,
		RetryAfter: reject.retryAfter,
	}})
}

func (c *Core) keepRefusal(now time.Time, call *wire.StageCall, reject *refusal, fx *effects) {
	fact := c.fact(now, call, ledger.KindRefused)
	fact.Reason = reject.reason
	fact.Detail = reject.detail
	fact.State = api.StageNotRun
	if reject.status != wire.StatusRefused {
		fact.State = api.StageMayHaveRun
	}
	fx.add(Keep{fact})
}

// decide logs one decision.
func (c *Core) decide(fx *effects, call *wire.StageCall, v Verdict, reason api.Reason, detail string, wait ...time.Duration) {
	queued, running := c.admission.load()
	d := Decision{
		Verdict: v,
		ID:      call.ID,
		Account: call.Account,
		Reason:  reason,
		Detail:  detail,
		Queued:  queued,
		Running: running,
	}
	if len(wait) > 0 {
		d.Wait = wait[0]
	}
	fx.add(d)
}
