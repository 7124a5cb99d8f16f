package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

// fatal lists the reasons that apply to every endpoint, so that another attempt
// would fail likewise.
var fatal = map[api.Reason]bool{
	api.ReasonBadRequest:      true,
	api.ReasonBodyTooLarge:    true,
	api.ReasonUnknownPipeline: true,
	api.ReasonUnauthorized:    true,
	api.ReasonKeyConflict:     true,
	api.ReasonIDExpired:       true,
	api.ReasonSuspectRequest:  true,
}

// maxNotReached bounds the attempts of a stage that reached no endpoint: they
// add no load to the pool, but each costs a call to an agent or a dial.
const maxNotReached = 8

// median is the quantile used as the expected time of a stage.
const median = 0.5

// startStage makes the first attempt of the current stage.
func (t *transition) startStage() {
	r := t.r
	// For two submissions of one identity, an unrepeatable stage without a
	// binding could be run by two agents, so it is not run at all.
	if r.stageAt(r.stage).Unrepeatable && r.binding(r.stage) == nil && r.Identity.Kind != wire.IdentityMinted {
		t.giveUp(cause{reason: api.ReasonNoEndpoint, detail: "the stage has no owner"})
		return
	}
	t.start(cause{reason: api.ReasonNoEndpoint})
	if !r.replied && r.phase == running {
		t.armHedge()
	}
}

// start makes one attempt of the current stage; noEndpoint is the cause with
// which the request ends if no endpoint is available.
func (t *transition) start(noEndpoint cause) {
	if !t.now.Before(t.r.giveUpAt) {
		t.giveUp(cause{reason: api.ReasonDeadline, detail: "no time left for the stage"})
		return
	}
	verdict := t.core.cfg.Suspects.Begin(t.r.contentKey(t.r.stage), t.now)
	if verdict.Refuse {
		stage := t.r.stageAt(t.r.stage)
		t.emit(Log{RequestID: t.r.RequestID, Stage: stage.Name, Pool: stage.Pool,
			Attempt: t.r.attemptsOf(t.r.stage) + 1, Reason: string(api.ReasonSuspectRequest)})
		t.giveUp(cause{reason: api.ReasonSuspectRequest, retryAfter: verdict.RetryAfter})
		return
	}
	d := t.pick()
	if d.Endpoint == nil {
		t.core.cfg.Suspects.Ended(t.r.contentKey(t.r.stage), t.now)
		if t.r.binding(t.r.stage) != nil {
			noEndpoint = cause{reason: api.ReasonOwnerUnreachable}
		}
		if noEndpoint.detail == "" {
			noEndpoint.detail = d.Reason
		}
		t.waitOrGiveUp(d, noEndpoint)
		return
	}
	t.stopWaiting()
	t.emit(t.logEntry(d))
	t.send(d.Endpoint, false, verdict.Exclusive)
}

// waitOrGiveUp handles the lack of a usable endpoint: the request waits for one
// or, if it may not wait, is given up with the cause noEndpoint.
func (t *transition) waitOrGiveUp(d route.Decision, noEndpoint cause) {
	waited := t.r.waiter != nil
	log := t.logEntry(d)
	log.Waits = d.MayBecomeUsable && t.wait(noEndpoint)
	if !waited || !log.Waits {
		t.emit(log)
	}
	if !log.Waits {
		t.giveUp(noEndpoint)
	}
}

// pick asks the Picker for an endpoint for the current stage.
func (t *transition) pick() route.Decision {
	r := t.r
	stage := r.stageAt(r.stage)
	req := &route.Request{
		ID:            r.RequestID,
		Stage:         stage.Name,
		Pool:          stage.Pool,
		Account:       r.Account.Name,
		Model:         stage.Model,
		Priority:      r.Account.Priority,
		AffinityHash:  r.AffinityHash,
		Remaining:     r.Deadline.Sub(t.now),
		Tried:         r.tried(r.stage),
		ReportedAfter: r.reportedSince,
	}
	if b := r.binding(r.stage); b != nil {
		req.BoundTo = b.Agent
	}
	return t.core.cfg.Picker.Pick(t.now, &r.Bundle.Policy, req)
}

// logEntry builds the Log effect of a routing decision.
func (t *transition) logEntry(d route.Decision) Log {
	r := t.r
	stage := r.stageAt(r.stage)
	log := Log{RequestID: r.RequestID, Stage: stage.Name, Pool: stage.Pool, Attempt: r.attemptsOf(r.stage) + 1,
		Candidates: d.Candidates, Considered: d.Considered, Reason: d.Reason, Unusable: d.Unusable}
	if d.Endpoint != nil {
		log.Endpoint = d.Endpoint.Name
	}
	return log
}

// send emits the Call of a new attempt to an endpoint. hedge is true if the
// attempt is a hedge; alone asks the agent to run no other call beside it.
func (t *transition) send(to *route.Endpoint, hedge, alone bool) {
	r := t.r
	stage := r.stageAt(r.stage)
	a := &attempt{
		id: wire.CallID{Request: r.RequestID, Stage: stage.Name, Entry: r.entry, Attempt: r.attemptsOf(r.stage) + 1},

		stage: r.stage, endpoint: to.Name, pool: stage.Pool, agent: to.Report.Process.Incarnation,
		sentAt: t.now, deadline: r.Deadline,
	}
	r.attempts = append(r.attempts, a)
	t.emit(Call{Endpoint: to.Name, StageCall: wire.StageCall{
		ID:            a.id,
		Identity:      r.Identity,
		Account:       r.Account.Name,
		Pipeline:      r.Pipeline.Name,
		Pool:          stage.Pool,
		BundleVersion: r.Bundle.Version,
		Priority:      r.Account.Priority,
		Weight:        r.Account.Weight,
		Deadline:      r.Deadline,
		Budget:        r.Deadline.Sub(t.now),
		Unrepeatable:  stage.Unrepeatable,
		Binding:       r.binding(r.stage),
		Fingerprint:   r.Identity.BodyHash,
		Exclusive:     alone,
		Stream:        r.streams(),
		MaxTokens:     stage.MaxTokens,
		Input:         r.Input,
		Previous:      r.prevOutput,
	}})
	routed := ledger.Record{Kind: ledger.KindRouted}
	if hedge {
		routed.Detail = "hedge"
	}
	t.recordAttempt(a, routed)
}

// armHedge sets the timer after which the stage's first attempt is slow enough
// for a hedge.
func (t *transition) armHedge() {
	r := t.r
	stage := r.stageAt(r.stage)
	q := r.Bundle.Policy.HedgeAfter
	if q <= 0 || !r.mayHedge() {
		return
	}
	est := t.core.cfg.Quantiles.Quantile(route.StageKey{Pool: stage.Pool, Stage: stage.Name}, q, t.now)
	if est.Samples == 0 {
		return
	}
	if at := t.now.Add(est.Value); at.Before(r.giveUpAt) {
		t.setTimer(TimerHedge, at)
	}
}

// hasFreeSlot reports whether the endpoint would run a hedge without queueing
// it. In a burst, calls are slow because they queue. Hedging them would queue
// each call twice and make the burst half as long again. If an endpoint has a
// free slot, a slow call is worth hedging.
func (t *transition) hasFreeSlot(e *route.Endpoint) bool { return !e.Busy(t.now) }

// anyEndpoint accepts every endpoint. It is used for calls whose first attempt
// is not expected to return an answer.
func anyEndpoint(*route.Endpoint) bool { return true }

// mayHedge reports whether a slow call of the current stage may be hedged.
// Streams are not hedged: if the outputs differ, one of the two is wasted.
func (r *request) mayHedge() bool {
	return !r.stageAt(r.stage).Unrepeatable && !r.streams()
}

// startHedge makes a second attempt beside a running one, if there is an
// endpoint that accept allows and the budget permits it.
func (t *transition) startHedge(accept func(*route.Endpoint) bool) {
	r := t.r
	if r.phase != running || !t.now.Before(r.giveUpAt) || r.attemptsExhausted() || !r.attemptRunning() {
		return
	}
	verdict := t.core.cfg.Suspects.Begin(r.contentKey(r.stage), t.now)
	if verdict.Refuse {
		return
	}
	// Content suspected of crashing endpoints does not run on two endpoints at
	// the same time.
	if !verdict.Exclusive {
		d := t.pick()
		log := t.logEntry(d)
		log.Hedge = true
		t.emit(log)
		if d.Endpoint != nil && accept(d.Endpoint) && t.core.cfg.Retrier.Hedge(r.stageAt(r.stage).Pool, t.now) {
			t.send(d.Endpoint, true, false)
			return
		}
	}
	t.core.cfg.Suspects.Ended(r.contentKey(r.stage), t.now)
}

// attemptRunning reports whether an attempt of the current stage is still
// running.
func (r *request) attemptRunning() bool {
	for _, a := range r.attempts {
		if a.stage == r.stage && !a.ended() {
			return true
		}
	}
	return false
}

func (r *request) maxAttempts() int { return max(1, r.Bundle.Policy.MaxAttempts) }

// retry makes another attempt after a failed one, or gives the request up.
func (t *transition) retry(failed *attempt) {
	r := t.r
	if r.waiter != nil {
		return
	}
	bound := r.binding(r.stage) != nil
	c := failed.causeOf(bound)
	if !t.mayRetry(failed, bound) {
		t.giveUp(c)
		return
	}
	decision := t.core.cfg.Retrier.Decide(r.failure(failed, t.now, t.need()), t.now)
	if !decision.Retry {
		c.detail = join(c.detail, "no retry: "+string(decision.Reason))
		t.giveUp(c)
		return
	}
	c.detail = join(c.detail, "no other endpoint")
	r.requireReport(failed)
	t.start(c)
}

// mayRetry checks the rules that no policy may override: a bound stage runs on
// its owner or not at all, and an unrepeatable stage runs again only after
// proof that it did not run.
func (t *transition) mayRetry(failed *attempt, bound bool) bool {
	r := t.r
	if bound || r.attemptsExhausted() {
		return false
	}
	if r.stageAt(r.stage).Unrepeatable && failed.execState != notRun {
		return false
	}
	if failed.result == nil {
		return true
	}
	return failed.result.Status != wire.StatusUnknown && !fatal[failed.result.Reason]
}

// need returns the expected time of the current stage and those after it.
func (t *transition) need() time.Duration {
	var need time.Duration
	for i := t.r.stage; i < len(t.r.Pipeline.Stages); i++ {
		stage := t.r.stageAt(i)
		est := t.core.cfg.Quantiles.Quantile(route.StageKey{Pool: stage.Pool, Stage: stage.Name}, median, t.now)
		if est.Samples > 0 {
			need += est.Value
		} else {
			need += stage.Typical.D()
		}
	}
	return need
}

// join joins two details; detail may be empty.
func join(detail, more string) string {
	if detail == "" {
		return more
	}
	return detail + "; " + more
}
