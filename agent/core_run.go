package agent

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// Commit is the last check immediately before a run is written to the endpoint;
// ok is false if it must not be written. Since the run was given a slot, the
// process may have been paused, the deadline may have passed and the call may
// have been revoked. After Commit returned true the call may have run, and no
// later answer of the core says that it did not.
func (c *Core) Commit(now time.Time, run *Run) (call endpoint.Call, ok bool, list []Effect) {
	var fx effects
	status := c.observe(now, &fx)
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	switch {
	case run.phase != phaseWaiting:
		return endpoint.Call{}, false, fx.list
	case status.epoch != run.epoch:
		c.refuseLocked(now, run, refused(api.ReasonPaused, "the agent was stopped before the call was written"), &fx)
		return endpoint.Call{}, false, fx.list
	case elapsed(run.deadline(), now) >= 0:
		c.refuseLocked(now, run, refused(api.ReasonDeadline, "the deadline passed before the call was written"), &fx)
		return endpoint.Call{}, false, fx.list
	case c.admission.tooLateToStart(run.deadline().Sub(now)):
		c.refuseLocked(now, run, refused(api.ReasonDeadline, "too little time was left after the queue"), &fx)
		return endpoint.Call{}, false, fx.list
	}
	run.phase = phaseRunning
	run.started = now
	if run.record != nil {
		run.record.state = recordCommitted
	}
	event := c.ledgerRecord(now, &run.call, ledger.KindStarted)
	event.Duration = now.Sub(run.received)
	fx.add(AddRecord{event})
	c.addDecision(&fx, &run.call, VerdictStarted, "", "", now.Sub(run.received))
	return c.endpointCall(run), true, fx.list
}

// NotWrittenError is returned by Recheck for a committed call that must not be
// written.
type NotWrittenError struct{ Reason api.Reason }

// Error returns a text that contains the reason.
func (e *NotWrittenError) Error() string { return "stopped before the write: " + string(e.Reason) }

// Recheck repeats the checks of Commit for a call that is committed but not yet
// written, such as one that had to wait for a connection. An error means that
// it must not be written.
func (c *Core) Recheck(now time.Time, run *Run) error {
	status := c.pause.check(now)
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	switch {
	case status.epoch != run.epoch || status.gap > 0:
		return &NotWrittenError{Reason: api.ReasonPaused}
	case run.cancelled != "":
		return &NotWrittenError{Reason: run.cancelled}
	case len(run.waiters) == 0:
		return &NotWrittenError{Reason: api.ReasonCallerGone}
	case elapsed(run.deadline(), now) >= 0:
		return &NotWrittenError{Reason: api.ReasonDeadline}
	default:
		return nil
	}
}

func (c *Core) endpointCall(run *Run) endpoint.Call {
	call := &run.call
	return endpoint.Call{
		ID:           call.ID.String(),
		Stage:        call.ID.Stage,
		Model:        c.settings.Load().models[stageKey{call.Pipeline, call.ID.Stage}],
		Unrepeatable: call.Unrepeatable,
		Stream:       call.Stream,
		MaxTokens:    call.MaxTokens,
		Priority:     call.Priority,
		Input:        call.Input,
		Previous:     call.Previous,
	}
}

// Chunk forwards a chunk of a streamed result to the arrival that started the
// run. Arrivals that joined it receive only the complete result, because their
// stream would begin in the middle.
func (c *Core) Chunk(run *Run, seq int, text string) []Effect {
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	if run.phase != phaseRunning {
		return nil
	}
	for _, w := range run.waiters {
		if w.joined {
			continue
		}
		chunk := wire.StageChunk{ID: w.id, Seq: seq, Text: text}
		return []Effect{SendChunk{Token: w.token, Chunk: chunk}}
	}
	return nil
}

// Finish processes the end of a run. A nil err means a complete result.
func (c *Core) Finish(now time.Time, run *Run, res endpoint.Result, err error) []Effect {
	var fx effects
	c.observe(now, &fx)
	run.shard.mu.Lock()
	if run.phase != phaseRunning {
		run.shard.mu.Unlock()
		return fx.list
	}
	result, crashed := c.classifyEnd(now, run, res, err)
	c.endRun(now, run, result, &fx)
	started := c.admission.finish(run, now.Sub(run.started), err == nil)
	c.startRuns(started, &fx)
	run.shard.mu.Unlock()
	if crashed {
		c.endpointDown(now, &fx)
	}
	return fx.list
}

// classifyEnd maps the end of a run to a result. Only an error that proves that
// the endpoint did not run the call becomes a refusal. crashed means that the
// endpoint is down; a run that the agent itself cancelled does not show that.
func (c *Core) classifyEnd(now time.Time, run *Run, res endpoint.Result, err error) (result wire.StageResult, crashed bool) {
	duration := now.Sub(run.started)
	result = wire.StageResult{
		Queued: run.started.Sub(run.received),
		Ran:    duration,
	}
	if err == nil {
		result.Status = wire.StatusDone
		result.Output = res.Output
		result.Tokens = res.Tokens
		result.Cost = duration
		if res.Cost > 0 {
			result.Cost = res.Cost
		}
		c.admission.recordCost(run, duration, result.Cost)
		return result, false
	}
	result.Cost = c.admission.incompleteCost(run, duration)
	result.Detail = err.Error()
	var failure *endpoint.Error
	if !errors.As(err, &failure) {
		failure = &endpoint.Error{Written: true, Lost: true, Err: err}
	}
	switch {
	case failure.Refused:
		result.Status, result.Reason = wire.StatusRefused, api.ReasonOverloaded
		result.RetryAfter = c.admission.newArrivalWait()
		result.Cost = 0
	case !bool(failure.Written):
		result.Status, result.Cost = wire.StatusRefused, 0
		result.Reason = unwrittenReason(run, err)
		result.RetryAfter = downRetryAfter
		crashed = result.Reason == api.ReasonNoEndpoint
	case failure.Lost && run.cancelled != "":
		result.Status, result.Reason = wire.StatusLost, run.cancelled
	case failure.Lost && errorx.IsOfType(failure.Err, endpoint.ErrMalformed):
		// The endpoint is up and answered, although not in the protocol. Treating
		// this as a crash would refuse the whole queue for one malformed reply.
		result.Status, result.Reason = wire.StatusLost, api.ReasonEndpointFailed
	case failure.Lost:
		result.Status, result.Reason = wire.StatusLost, api.ReasonEndpointLost
		result.Crashed = true
		result.Companions = c.admission.recordCrash()
		crashed = true
	default:
		result.Status, result.Reason = wire.StatusFailed, api.ReasonEndpointFailed
	}
	return result, crashed
}

// unwrittenReason returns why a call was not written. Only api.ReasonNoEndpoint
// means that the endpoint is down; the other reasons come from this process and
// say nothing about the endpoint.
func unwrittenReason(run *Run, err error) api.Reason {
	var stopped *NotWrittenError
	switch {
	case errors.As(err, &stopped):
		return stopped.Reason
	case errorx.IsOfType(errors.Unwrap(err), endpoint.ErrTooLate):
		return api.ReasonDeadline
	case errorx.IsOfType(errors.Unwrap(err), endpoint.ErrMalformed):
		return api.ReasonBadRequest
	case run.cancelled != "":
		return run.cancelled
	default:
		return api.ReasonNoEndpoint
	}
}

// endRun ends a run and answers its waiters. The run's shard is locked.
func (c *Core) endRun(now time.Time, run *Run, result wire.StageResult, fx *effects) {
	run.phase = phaseEnded
	run.ended.Store(true)
	run.mayHaveRun = result.Status != wire.StatusRefused
	run.cost = result.Cost
	c.updateRecord(now, run, result)
	for _, w := range run.waiters {
		own := result
		own.ID = w.id
		if w.joined {
			own.Replayed = true
			own.Queued, own.Ran, own.Cost = now.Sub(w.arrived), 0, 0
			c.ledgerWaiter(now, run, w, result.Status, result.Reason, fx)
		}
		fx.add(Reply{Token: w.token, Result: own})
	}
	run.waiters = nil
	c.ledgerEnd(now, run, result, fx)
	run.call.Input, run.call.Previous = nil, nil
}

// updateRecord updates the record of the run's identity.
func (c *Core) updateRecord(now time.Time, run *Run, result wire.StageResult) {
	rec := run.record
	if rec == nil {
		return
	}
	conf := c.settings.Load()
	until := laterOf(now, rec.keyTime).Add(conf.retention + 2*conf.skew)
	switch {
	case result.Status == wire.StatusDone:
		run.shard.storeResult(rec, result, until, c.identities.limits)
	case run.mayHaveRun && rec.unrepeatable:
		run.shard.markLost(rec, until)
	default:
		// The call provably did not run, or running it again is harmless.
		run.shard.remove(rec)
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ledgerWaiter adds a ledger record for an arrival that joined a run or was
// answered before its end.
func (c *Core) ledgerWaiter(now time.Time, run *Run, w waiter, status wire.StageStatus, reason api.Reason, fx *effects) {
	event := c.ledgerRecord(now, &run.call, ledger.KindFinished)
	event.Request, event.Entry, event.Attempt = w.id.Request, w.id.Entry, w.id.Attempt
	event.Reason = reason
	event.Duration = now.Sub(w.arrived)
	event.State = stateAfter(status)
	if w.joined {
		event.Detail = "waited for " + run.call.ID.String()
	}
	fx.add(AddRecord{event})
}

// stateAfter returns the stage state that a status implies.
func stateAfter(status wire.StageStatus) api.StageState {
	switch status {
	case wire.StatusDone:
		return api.StageDone
	case wire.StatusRefused:
		return api.StageNotRun
	case wire.StatusFailed:
		return api.StageFailed
	default:
		return api.StageMayHaveRun
	}
}

// ledgerEnd adds the ledger record and the decision at the end of a run.
func (c *Core) ledgerEnd(now time.Time, run *Run, result wire.StageResult, fx *effects) {
	event := c.ledgerRecord(now, &run.call, ledger.KindFinished)
	event.Reason, event.Detail = result.Reason, result.Detail
	event.Duration, event.Cost = result.Ran, result.Cost
	event.State = stateAfter(result.Status)
	if result.Status == wire.StatusRefused {
		event.Kind = ledger.KindRefused
	}
	fx.add(AddRecord{event})
	c.addDecision(fx, &run.call, decisionAfter(result.Status), result.Reason, result.Detail)
}

// decisionAfter returns the verdict that a status implies.
func decisionAfter(status wire.StageStatus) Verdict {
	switch status {
	case wire.StatusDone:
		return VerdictDone
	case wire.StatusRefused:
		return VerdictRefused
	case wire.StatusFailed:
		return VerdictFailed
	default:
		return VerdictLost
	}
}

// refuseRun refuses a run that lost its place in the queue.
func (c *Core) refuseRun(now time.Time, run *Run, reason api.Reason, fx *effects) {
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	if run.phase != phaseWaiting {
		return
	}
	reject := refused(reason, "")
	reject.retryAfter = c.admission.newArrivalWait()
	c.refuseLocked(now, run, reject, fx)
}

// refuseLocked ends a run that was not written and refuses its waiters. The
// run's shard is locked.
func (c *Core) refuseLocked(now time.Time, run *Run, reject *refusal, fx *effects) {
	c.endRun(now, run, wire.StageResult{
		Status:     wire.StatusRefused,
		Reason:     reject.reason,
		Detail:     reject.detail,
		RetryAfter: reject.retryAfter,
		Queued:     now.Sub(run.received),
	}, fx)
	c.startRuns(c.admission.remove(run), fx)
}
