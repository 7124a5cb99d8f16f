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

// Commit is the last check, immediately before the run is written to the
// endpoint; ok is false if it must not be. Between the start and this point
// the process may have been stopped, the deadline may have passed and the call
// may have been revoked. Once Commit said yes, the call may have run, and
// nothing the core says afterwards denies it.
func (c *Core) Commit(now time.Time, run *Run) (call endpoint.Call, ok bool, list []Effect) {
	var fx effects
	view := c.observe(now, &fx)
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	switch {
	case run.phase != phaseWaiting:
		return endpoint.Call{}, false, fx.list
	case view.epoch != run.epoch:
		c.refuseLocked(now, run, refused(api.ReasonPaused, "the agent was stopped before the call was written"), &fx)
		return endpoint.Call{}, false, fx.list
	case elapsed(run.deadline(), now) >= 0:
		c.refuseLocked(now, run, refused(api.ReasonDeadline, "the deadline passed before the call was written"), &fx)
		return endpoint.Call{}, false, fx.list
	case c.admission.hopeless(run.deadline().Sub(now)):
		c.refuseLocked(now, run, refused(api.ReasonDeadline, "too little time was left after the queue"), &fx)
		return endpoint.Call{}, false, fx.list
	}
	run.phase = phaseRunning
	run.started = now
	if run.record != nil {
		run.record.state = recordCommitted
	}
	fact := c.fact(now, &run.call, ledger.KindStarted)
	fact.Took = now.Sub(run.received)
	fx.add(Keep{fact})
	c.decide(&fx, &run.call, VerdictStarted, "", "", now.Sub(run.received))
	return c.endpointCall(run), true, fx.list
}

// StoppedError is Recheck's refusal to let a committed call be written.
type StoppedError struct{ Reason api.Reason }

// Error names the reason.
func (e *StoppedError) Error() string { return "stopped before the write: " + string(e.Reason) }

// Recheck repeats the checks of Commit for a call that is committed but not
// yet written, such as one that had to wait for a connection. An error means
// that it must not be written.
func (c *Core) Recheck(now time.Time, run *Run) error {
	view := c.pause.peek(now)
	run.shard.mu.Lock()
	defer run.shard.mu.Unlock()
	switch {
	case view.epoch != run.epoch || view.gap > 0:
		return &StoppedError{Reason: api.ReasonPaused}
	case run.cancelled != "":
		return &StoppedError{Reason: run.cancelled}
	case len(run.waiters) == 0:
		return &StoppedError{Reason: api.ReasonCallerGone}
	case elapsed(run.deadline(), now) >= 0:
		return &StoppedError{Reason: api.ReasonDeadline}
	default:
		return nil
	}
}

func (c *Core) endpointCall(run *Run) endpoint.Call {
	call := &run.call
	return endpoint.Call{
		ID:           call.ID.String(),
		Stage:        call.ID.Stage,
		Model:        c.settings.Load().models[stageName{call.Pipeline, call.ID.Stage}],
		Unrepeatable: call.Unrepeatable,
		Stream:       call.Stream,
		MaxTokens:    call.MaxTokens,
		Priority:     call.Priority,
		Input:        call.Input,
		Previous:     call.Previous,
	}
}

// Chunk passes on a piece of a streamed result. Calls that joined the run get
// the complete result only: their stream would begin in the middle.
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

// Finish takes the end of a run. A nil error means a complete result.
func (c *Core) Finish(now time.Time, run *Run, res endpoint.Result, err error) []Effect {
	var fx effects
	c.observe(now, &fx)
	run.shard.mu.Lock()
	if run.phase != phaseRunning {
		run.shard.mu.Unlock()
		return fx.list
	}
	result, crashed := c.verdict(now, run, res, err)
	c.conclude(now, run, result, &fx)
	started := c.admission.finished(run, now.Sub(run.started), err == nil)
	c.start(started, &fx)
	run.shard.mu.Unlock()
	if crashed {
		c.endpointDown(now, &fx)
	}
	return fx.list
}

// verdict maps the end of a run to the agent's word on it. Only an error that
// proves that the endpoint did not run the call becomes a refusal. A run that
// the agent itself cancelled says nothing of the endpoint's health.
func (c *Core) verdict(now time.Time, run *Run, res endpoint.Result, err error) (result wire.StageResult, crashed bool) {
	took := now.Sub(run.started)
	result = wire.StageResult{
		Queued: run.started.Sub(run.received),
		Ran:    took,
	}
	if err == nil {
		result.Status = wire.StatusDone
		result.Output = res.Output
		result.Tokens = res.Tokens
		result.Cost = took
		if res.Cost > 0 {
			result.Cost = res.Cost
		}
		c.admission.complete(run, took, result.Cost)
		return result, false
	}
	result.Cost = c.admission.charge(run, took)
	result.Detail = err.Error()
	var failure *endpoint.Error
	if !errors.As(err, &failure) {
		failure = &endpoint.Error{Written: true, Lost: true, Err: err}
	}
	switch {
	case failure.Refused:
		result.Status, result.Reason = wire.StatusRefused, api.ReasonOverloaded
		result.RetryAfter = c.admission.drainTime()
		result.Cost = 0
	case !bool(failure.Written):
		result.Status, result.Cost = wire.StatusRefused, 0
		result.Reason = unwrittenReason(run, err)
		result.RetryAfter = healthRetry
		crashed = result.Reason == api.ReasonNoEndpoint
	case failure.Lost && run.cancelled != "":
		result.Status, result.Reason = wire.StatusLost, run.cancelled
	case failure.Lost && errorx.IsOfType(failure.Err, endpoint.ErrMalformed):
		// The endpoint lives and answered, though not in the protocol. Taking
		// that for a crash shows as a whole queue refused for one bad reply.
		result.Status, result.Reason = wire.StatusLost, api.ReasonEndpointFailed
	case failure.Lost:
		result.Status, result.Reason = wire.StatusLost, api.ReasonEndpointLost
		result.Crashed = true
		result.Companions = c.admission.crashed()
		crashed = true
	default:
		result.Status, result.Reason = wire.StatusFailed, api.ReasonEndpointFailed
	}
	return result, crashed
}

// unwrittenReason tells why a call was not written. Only an endpoint that
// cannot be reached is down; a call that this process held back says nothing of it.
func unwrittenReason(run *Run, err error) api.Reason {
	var stopped *StoppedError
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

// conclude ends a run and answers those that wait for it. The run's shard is locked.
func (c *Core) conclude(now time.Time, run *Run, result wire.StageResult, fx *effects) {
	run.phase = phaseEnded
	run.ended.Store(true)
	run.ran = result.Status != wire.StatusRefused
	run.cost = result.Cost
	c.settle(now, run, result)
	for _, w := range run.waiters {
		own := result
		own.ID = w.id
		if w.joined {
			own.Replayed = true
			own.Queued, own.Ran, own.Cost = now.Sub(w.arrived), 0, 0
			c.keepWaiter(now, run, w, result.Status, result.Reason, fx)
		}
		fx.add(Reply{Token: w.token, Result: own})
	}
	run.waiters = nil
	c.keepEnd(now, run, result, fx)
	run.call.Input, run.call.Previous = nil, nil
}

// settle updates the record of the run's identity.
func (c *Core) settle(now time.Time, run *Run, result wire.StageResult) {
	rec := run.record
	if rec == nil {
		return
	}
	set := c.settings.Load()
	until := laterOf(now, rec.keyTime).Add(set.retention + 2*set.skew)
	switch {
	case result.Status == wire.StatusDone:
		run.shard.hold(rec, result, until, c.identities.limits)
	case run.ran && rec.unrepeatable:
		run.shard.lose(rec, until)
	default:
		// Proved not to have run, or harmless to run again.
		run.shard.remove(rec)
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// keepWaiter records what an arrival was told that is not the run's own call,
// or that did not stay for its end.
func (c *Core) keepWaiter(now time.Time, run *Run, w waiter, status wire.StageStatus, reason api.Reason, fx *effects) {
	fact := c.fact(now, &run.call, ledger.KindFinished)
	fact.Request, fact.Entry, fact.Attempt = w.id.Request, w.id.Entry, w.id.Attempt
	fact.Reason = reason
	fact.Took = now.Sub(w.arrived)
	fact.State = stateAfter(status)
	if w.joined {
		fact.Detail = "waited for " + run.call.ID.String()
	}
	fx.add(Keep{fact})
}

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

func (c *Core) keepEnd(now time.Time, run *Run, result wire.StageResult, fx *effects) {
	fact := c.fact(now, &run.call, ledger.KindFinished)
	fact.Reason, fact.Detail = result.Reason, result.Detail
	fact.Took, fact.Cost = result.Ran, result.Cost
	fact.State = stateAfter(result.Status)
	if result.Status == wire.StatusRefused {
		fact.Kind = ledger.KindRefused
	}
	fx.add(Keep{fact})
	c.decide(fx, &run.call, verdictAfter(result.Status), result.Reason, result.Detail)
}

func verdictAfter(status wire.StageStatus) Verdict {
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
	reject.retryAfter = c.admission.drainTime()
	c.refuseLocked(now, run, reject, fx)
}

// refuseLocked ends a run that was not written, and refuses all that wait for it.
func (c *Core) refuseLocked(now time.Time, run *Run, reject *refusal, fx *effects) {
	c.conclude(now, run, wire.StageResult{
		Status:     wire.StatusRefused,
		Reason:     reject.reason,
		Detail:     reject.detail,
		RetryAfter: reject.retryAfter,
		Queued:     now.Sub(run.received),
	}, fx)
	c.start(c.admission.leave(run), fx)
}
