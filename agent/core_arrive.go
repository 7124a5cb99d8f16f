package agent

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/owner"
	"github.com/mangostage/mangostage/wire"
)

// arrival is one received call during admission.
type arrival struct {
	now   time.Time
	token Token
	call  *wire.StageCall
	conf  *settings
	pause pauseStatus
	shard *identityShard
	fx    *effects
}

// refusal says why a call does not run. Its status is wire.StatusRefused or
// wire.StatusUnknown.
type refusal struct {
	status     wire.StageStatus
	reason     api.Reason
	detail     string
	retryAfter time.Duration
}

// refused returns a refusal with wire.StatusRefused: nothing of this call was
// or will be written to the endpoint.
func refused(reason api.Reason, detail string) *refusal {
	return &refusal{status: wire.StatusRefused, reason: reason, detail: detail}
}

// unknown returns a refusal with wire.StatusUnknown: an earlier submission may
// have run.
func unknown(reason api.Reason, detail string) *refusal {
	return &refusal{status: wire.StatusUnknown, reason: reason, detail: detail}
}

// Arrive processes a call that was read at now. The checks for an earlier run
// of the identity come before all that could refuse the call, because
// wire.StatusRefused also states that no earlier submission ran.
func (c *Core) Arrive(now time.Time, token Token, call wire.StageCall) []Effect {
	var fx effects
	a := &arrival{now: now, token: token, call: &call, conf: c.settings.Load(), fx: &fx}
	a.pause = c.observe(now, &fx)
	if call.BundleVersion > a.conf.version {
		fx.add(NewerBundle{Version: call.BundleVersion})
	}
	if reject := validateCall(now, &call); reject != nil {
		c.rejectCall(a, reject)
		return fx.list
	}
	fx.add(AddRecord{c.ledgerRecord(now, &call, ledger.KindReceived)})
	a.shard = c.identities.shard(keyOf(&call))
	a.shard.mu.Lock()
	displaced := c.admit(a)
	a.shard.mu.Unlock()
	if displaced != nil {
		c.refuseRun(now, displaced, api.ReasonOverloaded, &fx)
	}
	return fx.list
}

// keyOf returns the call's key in the identity table. Without an identity the
// request ID is used.
func keyOf(call *wire.StageCall) identityKey {
	value := call.Identity.Value
	if value == "" {
		value = call.ID.Request
	}
	return identityKey{identity: value, stage: call.ID.Stage}
}

// validateCall refuses calls with missing or invalid fields.
func validateCall(now time.Time, call *wire.StageCall) *refusal {
	switch {
	case call.ID.Request == "" || call.ID.Stage == "" || call.ID.Entry == "":
		return refused(api.ReasonBadRequest, "incomplete call ID")
	case call.Deadline.IsZero() || call.Deadline.Sub(now) > maxTimeToDeadline:
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

// admit admits, joins, replays or refuses the call. It returns the queued run
// that the call displaced, if any. The call's shard is locked.
func (c *Core) admit(a *arrival) *Run {
	if rec := a.shard.records[keyOf(a.call)]; rec != nil {
		c.handleDuplicate(a, rec)
		return nil
	}
	if a.call.Unrepeatable {
		if reject := c.checkEarlierRun(a.now, a.conf, a.shard, a.call); reject != nil {
			c.rejectCall(a, reject)
			return nil
		}
	}
	if reject := c.checkNewCall(a); reject != nil {
		c.rejectCall(a, reject)
		return nil
	}
	if reject := a.checkFence(); reject != nil {
		c.rejectCall(a, reject)
		return nil
	}
	return c.enqueue(a)
}

// checkEarlierRun refuses an unrepeatable call without a record if this process
// cannot prove that no earlier submission ran.
//
// A minted or held request ID is bound to one incarnation of one agent. Only
// that process may run it, and it remembers each such call that it ran until
// the ID is too old. An ID that is bound to this process and has no record
// therefore has not run.
//
// An idempotency key belongs to the owner of its slot. An earlier process in
// this slot, or an earlier owner, may have run the key and forgotten it. A key
// minted after this process became the owner cannot have been run by them. The
// margin is twice MaxClockSkew: the key's time and the end of the earlier
// process are on two clocks that differ by up to MaxClockSkew, and the earlier
// process accepted keys up to MaxClockSkew in its future. An opaque key carries
// no time; it is safe once every earlier run is older than the key retention.
func (c *Core) checkEarlierRun(now time.Time, conf *settings, shard *identityShard, call *wire.StageCall) *refusal {
	id := &call.Identity
	if id.Kind != wire.IdentityKey {
		if reject := c.checkBinding(call); reject != nil {
			return reject
		}
		return checkKeyAge(now, conf, shard, id)
	}
	since := conf.ownedSince(c.cfg.Endpoint, id.Value, call.ID.Stage)
	if id.KeyTime.IsZero() {
		return checkOpaqueKey(now, since.Add(conf.retention))
	}
	if !id.KeyTime.After(since.Add(2 * conf.skew)) {
		return unknown(api.ReasonOwnerRestarted, "the key is older than this owner")
	}
	return checkKeyAge(now, conf, shard, id)
}

// checkBinding refuses a call that is bound to another agent or incarnation.
func (c *Core) checkBinding(call *wire.StageCall) *refusal {
	b := call.Binding
	named := b.Agent == c.cfg.Process.Name || b.Agent == c.cfg.Endpoint
	if named && b.Incarnation == c.cfg.Process.Incarnation {
		return nil
	}
	if call.Identity.Kind == wire.IdentityMinted {
		// The entry minted this ID for this submission only, and the incarnation
		// that it is bound to is gone: the call did not run here and will not.
		return refused(api.ReasonOwnerRestarted, "bound to another run of an agent")
	}
	return unknown(api.ReasonOwnerRestarted, "bound to another run of an agent")
}

// checkOpaqueKey refuses a key without a time until safe, when whatever ran
// before this process owned the key is older than the key retention.
func checkOpaqueKey(now, safe time.Time) *refusal {
	if !now.Before(safe) {
		return nil
	}
	reject := unknown(api.ReasonOwnerRestarted, "a key without a time may have run before this owner began")
	reject.retryAfter = safe.Sub(now)
	return reject
}

// checkKeyAge refuses keys whose record may have been removed.
func checkKeyAge(now time.Time, conf *settings, shard *identityShard, id *wire.Identity) *refusal {
	if id.KeyTime.IsZero() {
		return nil
	}
	if now.Sub(id.KeyTime) > conf.retention || !id.KeyTime.After(shard.newestForgotten) {
		return unknown(api.ReasonIDExpired, "older than calls are remembered")
	}
	return nil
}

// checkNewCall refuses a call without a record that must not run now.
func (c *Core) checkNewCall(a *arrival) *refusal {
	call := a.call
	note, seen := c.calls.get(call.ID)
	switch {
	case seen && note.run == nil && note.outcome == outcomeNotRun:
		return refused(api.ReasonRevoked, "revoked or refused before")
	case seen:
		return unknown(api.ReasonEarlierAttempt, "another copy of this call was taken before")
	case a.pause.refusing:
		return refused(api.ReasonPaused, "the agent has just been woken")
	case a.conf.pool == nil:
		return refused(api.ReasonNoBundle, "no bundle names pool "+c.cfg.Pool)
	case call.Pool != c.cfg.Pool:
		return refused(api.ReasonBadRequest, "the endpoint is of another pool")
	case c.draining():
		return refused(api.ReasonDraining, "")
	case a.conf.remaining(a.now, call) <= 0:
		return refused(api.ReasonDeadline, "arrived too late")
	case call.Unrepeatable && call.Identity.KeyTime.Sub(a.now) > a.conf.skew:
		return refused(api.ReasonBadRequest, "the key's time is in the future")
	case !c.owns(a.conf, call):
		return refused(api.ReasonNotOwner, "")
	case call.Unrepeatable && !a.shard.hasRoom(a.now, c.identities.limits):
		return refused(api.ReasonTableFull, "no room to remember an unrepeatable call")
	default:
		return nil
	}
}

// owns reports whether this agent's endpoint owns the slot of the call's
// idempotency key; other calls have no owner.
func (c *Core) owns(conf *settings, call *wire.StageCall) bool {
	if !call.Unrepeatable || call.Identity.Kind != wire.IdentityKey {
		return true
	}
	return owner.Owner(conf.slots(), call.Identity.Value, call.ID.Stage) == c.cfg.Endpoint
}

// handleDuplicate answers a call whose identity has a record.
func (c *Core) handleDuplicate(a *arrival, rec *record) {
	note, seen := c.calls.get(a.call.ID)
	if seen && note.run == nil && note.outcome == outcomeNotRun {
		// This call was revoked, but another submission of its identity was not.
		c.rejectCall(a, unknown(api.ReasonRevoked, "another sending of the identity was taken"))
		return
	}
	if rec.bodyHash != a.call.Identity.BodyHash {
		if seen {
			c.rejectCall(a, unknown(api.ReasonEarlierAttempt, "another copy of this call was taken before"))
			return
		}
		c.rejectCall(a, refused(api.ReasonKeyConflict, "the key was used with another body"))
		return
	}
	if a.call.Unrepeatable {
		a.shard.makeUnrepeatable(rec)
	}
	switch rec.state {
	case recordDone:
		a.shard.markUsed(rec)
		c.replay(a, rec)
	case recordLost:
		c.rejectCall(a, unknown(api.ReasonEarlierAttempt, "an earlier sending may have run"))
	default:
		c.join(a, rec.run)
	}
}

// replay answers with the stored result of an earlier submission.
func (c *Core) replay(a *arrival, rec *record) {
	result := rec.result
	result.ID = a.call.ID
	result.Replayed = true
	result.Queued, result.Ran, result.Cost, result.Tokens = 0, 0, 0, 0
	c.calls.addOutcome(a.now, a.call.ID, outcomeReplayed, a.conf.noteExpiry(a.call.Deadline))
	a.fx.add(Reply{Token: a.token, Result: result})
	event := c.ledgerRecord(a.now, a.call, ledger.KindFinished)
	event.State = api.StageDone
	event.Detail = "replayed"
	a.fx.add(AddRecord{event})
	c.addDecision(a.fx, a.call, VerdictReplayed, "", "")
}

// join adds the call to the waiters of an earlier submission's run. A call that
// arrives after its deadline is not added, because its tombstone, if there was
// one, may have expired.
func (c *Core) join(a *arrival, run *Run) {
	if a.conf.remaining(a.now, a.call) <= 0 {
		c.rejectCall(a, unknown(api.ReasonDeadline, "an earlier sending is under way"))
		return
	}
	if c.calls.bind(a.now, a.call.ID, run, a.conf.noteExpiry(a.call.Deadline)) != bindOK {
		c.rejectCall(a, unknown(api.ReasonEarlierAttempt, "an earlier sending is under way"))
		return
	}
	w := a.newWaiter()
	w.joined = true
	run.waiters = append(run.waiters, w)
	a.fx.add(ExpiryTimer{Token: a.token, ID: a.call.ID, At: w.deadline})
	c.addDecision(a.fx, a.call, VerdictJoined, "", run.call.ID.String())
}

func (a *arrival) newWaiter() waiter {
	return waiter{
		token:    a.token,
		id:       a.call.ID,
		arrived:  a.now,
		deadline: a.now.Add(a.conf.remaining(a.now, a.call)),
	}
}

// enqueue creates a run for the call and starts or queues it. It returns the
// queued run that was displaced, if any.
func (c *Core) enqueue(a *arrival) *Run {
	run := &Run{
		call:       *a.call,
		shard:      a.shard,
		waiters:    []waiter{a.newWaiter()},
		epoch:      a.pause.epoch,
		received:   a.now,
		schedState: schedState{priority: a.call.Priority, account: a.call.Account, exclusive: a.call.Exclusive},
	}
	if c.calls.bind(a.now, a.call.ID, run, a.conf.noteExpiry(a.call.Deadline)) != bindOK {
		c.rejectCall(a, refused(api.ReasonTableFull, "no room to remember the call"))
		return nil
	}
	remaining := a.conf.remaining(a.now, a.call)
	got := c.admission.offer(run, a.call.Weight, remaining)
	if !got.started && !got.queued {
		run.phase = phaseEnded
		run.ended.Store(true)
		c.calls.markNotRun(a.call.ID)
		c.rejectCall(a, c.admissionRefusal(got))
		return nil
	}
	c.createRecord(run)
	a.fx.add(ExpiryTimer{Token: a.token, ID: a.call.ID, At: run.deadline()})
	if got.started {
		c.startRuns([]*Run{run}, a.fx)
		return nil
	}
	c.addDecision(a.fx, a.call, VerdictQueued, "", "", got.wait)
	return got.displaced
}

// admissionRefusal converts a negative result of admission.offer to a refusal.
func (c *Core) admissionRefusal(got offerResult) *refusal {
	if got.down {
		return &refusal{status: wire.StatusRefused, reason: api.ReasonNoEndpoint, retryAfter: downRetryAfter}
	}
	reject := refused(api.ReasonOverloaded, "the queue is full")
	if got.tooLate {
		reject = refused(api.ReasonDeadline, "the queue is longer than the time left")
	}
	reject.retryAfter = c.admission.newArrivalWait()
	return reject
}

// createRecord adds a record so that resends find the run. A repeatable call
// with a minted ID needs none: its client has no ID to resend it with.
func (c *Core) createRecord(run *Run) {
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

// startRuns adds a Start effect for each run that was given a slot.
func (c *Core) startRuns(runs []*Run, fx *effects) {
	for _, run := range runs {
		fx.add(Start{Run: run})
	}
}

// rejectCall answers a call that gets no run, and remembers its outcome.
func (c *Core) rejectCall(a *arrival, reject *refusal) {
	o := outcomeNotRun
	verdict := VerdictRefused
	if reject.status == wire.StatusUnknown {
		o = outcomeUnknown
		verdict = VerdictUnknown
	}
	c.calls.addOutcome(a.now, a.call.ID, o, a.conf.noteExpiry(a.call.Deadline))
	c.replyRefusal(a.token, a.call.ID, reject, a.fx)
	c.ledgerRefusal(a.now, a.call, reject, a.fx)
	c.addDecision(a.fx, a.call, verdict, reject.reason, reject.detail)
}

func (c *Core) replyRefusal(token Token, id wire.CallID, reject *refusal, fx *effects) {
	fx.add(Reply{Token: token, Result: wire.StageResult{
		ID:         id,
		Status:     reject.status,
		Reason:     reject.reason,
		Detail:     reject.detail,
		RetryAfter: reject.retryAfter,
	}})
}

// ledgerRefusal adds the ledger record of a refused call.
func (c *Core) ledgerRefusal(now time.Time, call *wire.StageCall, reject *refusal, fx *effects) {
	event := c.ledgerRecord(now, call, ledger.KindRefused)
	event.Reason = reject.reason
	event.Detail = reject.detail
	event.State = api.StageNotRun
	if reject.status != wire.StatusRefused {
		event.State = api.StageMayHaveRun
	}
	fx.add(AddRecord{event})
}

// addDecision adds a Decision effect for the log and the metrics.
func (c *Core) addDecision(fx *effects, call *wire.StageCall, v Verdict, reason api.Reason, detail string, wait ...time.Duration) {
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
