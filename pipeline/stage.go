package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

// fatal reasons hold for every endpoint; another attempt would meet them too.
var fatal = map[api.Reason]bool{
	api.ReasonBadRequest:      true,
	api.ReasonBodyTooLarge:    true,
	api.ReasonUnknownPipeline: true,
	api.ReasonUnauthorized:    true,
	api.ReasonKeyConflict:     true,
	api.ReasonIDExpired:       true,
	api.ReasonSuspectRequest:  true,
}

// maxNotReached bounds the attempts of a stage that got to no endpoint: they
// are no load for the pool, but each costs a call to an agent or a dial.
const maxNotReached = 8

// median is the quantile taken as the expected time of a stage.
const median = 0.5

// startStage makes the first attempt of the current stage.
func (t *turn) startStage() {
	r := t.r
	// An unrepeatable stage without a binding could be run by two agents for
	// two sendings of one identity, so it is not run at all.
	if r.stageAt(r.stage).Unrepeatable && r.binding(r.stage) == nil && r.Identity.Kind != wire.IdentityMinted {
		t.conclude(cause{reason: api.ReasonNoEndpoint, detail: "the stage has no owner"})
		return
	}
	t.start(cause{reason: api.ReasonNoEndpoint})
	if !r.ended && r.phase == running {
		t.armHedge()
	}
}

// start makes one attempt of the current stage; otherwise is why the request
// ends if there is no endpoint for it.
func (t *turn) start(otherwise cause) {
	if !t.now.Before(t.r.giveUpAt) {
		t.conclude(cause{reason: api.ReasonDeadline, detail: "no time left for the stage"})
		return
	}
	verdict := t.core.cfg.Suspects.Begin(t.r.content(t.r.stage), t.now)
	if verdict.Refuse {
		stage := t.r.stageAt(t.r.stage)
		t.emit(Log{RequestID: t.r.RequestID, Stage: stage.Name, Pool: stage.Pool,
			Attempt: t.r.attemptsOf(t.r.stage) + 1, Reason: string(api.ReasonSuspectRequest)})
		t.conclude(cause{reason: api.ReasonSuspectRequest, retryAfter: verdict.RetryAfter})
		return
	}
	d := t.pick()
	if d.Endpoint == nil {
		t.core.cfg.Suspects.Ended(t.r.content(t.r.stage), t.now)
		if t.r.binding(t.r.stage) != nil {
			otherwise = cause{reason: api.ReasonOwnerUnreachable}
		}
		if otherwise.detail == "" {
			otherwise.detail = d.Reason
		}
		t.startLater(d, otherwise)
		return
	}
	t.stopWaiting()
	t.emit(t.decision(d))
	t.send(d.Endpoint, false, verdict.Alone)
}

// startLater takes in that no endpoint can be used now.
func (t *turn) startLater(d route.Decision, otherwise cause) {
	waited := t.r.ticket != nil
	log := t.decision(d)
	log.Waits = d.MayReturn && t.wait(otherwise)
	if !waited || !log.Waits {
		t.emit(log)
	}
	if !log.Waits {
		t.conclude(otherwise)
	}
}

// pick asks for an endpoint.
func (t *turn) pick() route.Decision {
	r := t.r
	stage := r.stageAt(r.stage)
	req := &route.Request{
		ID:           r.RequestID,
		Stage:        stage.Name,
		Pool:         stage.Pool,
		Account:      r.Account.Name,
		Model:        stage.Model,
		Priority:     r.Account.Priority,
		AffinityHash: r.AffinityHash,
		Remaining:    r.Deadline.Sub(t.now),
		Tried:        r.tried(r.stage),
		HeardSince:   r.heardSince,
	}
	if b := r.binding(r.stage); b != nil {
		req.Only = b.Agent
	}
	return t.core.cfg.Picker.Pick(t.now, &r.Bundle.Policy, req)
}

// decision returns what is logged of a choice.
func (t *turn) decision(d route.Decision) Log {
	r := t.r
	stage := r.stageAt(r.stage)
	log := Log{RequestID: r.RequestID, Stage: stage.Name, Pool: stage.Pool, Attempt: r.attemptsOf(r.stage) + 1,
		Candidates: d.Candidates, Considered: d.Considered, Reason: d.Reason, Unusable: d.Unusable}
	if d.Endpoint != nil {
		log.Endpoint = d.Endpoint.Name
	}
	return log
}

// send makes the call.
func (t *turn) send(to *route.Endpoint, hedge, alone bool) {
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
		Alone:         alone,
		Stream:        r.streams(),
		MaxTokens:     stage.MaxTokens,
		Input:         r.Input,
		Previous:      r.previous,
	}})
	routed := ledger.Record{Kind: ledger.KindRouted}
	if hedge {
		routed.Detail = "hedge"
	}
	t.recordAttempt(a, routed)
}

// armHedge sets the time at which the stage's first attempt counts as slow.
func (t *turn) armHedge() {
	r := t.r
	stage := r.stageAt(r.stage)
	q := r.Bundle.Policy.HedgeAfter
	if q <= 0 || !r.hedges() {
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

// idle tells whether a hedge is worth its place. In a burst calls are slow because
// they queue. Hedged, each of them would queue twice, and the burst be half as
// long again; where an endpoint has a place free, a slow call is one to help.
func (t *turn) idle(e *route.Endpoint) bool { return !e.Busy(t.now) }

// always is for calls whose first attempt is not expected to bring an answer.
func always(*route.Endpoint) bool { return true }

// hedges tells whether a slow call of the current stage may get company. Of two
// streams that differ, one would be for nothing.
func (r *request) hedges() bool {
	return !r.stageAt(r.stage).Unrepeatable && !r.streams()
}

// startHedge makes a second attempt beside a slow one, if there is an endpoint
// and a budget for it, and pays says that it is worth its place there.
func (t *turn) startHedge(pays func(*route.Endpoint) bool) {
	r := t.r
	if r.phase != running || !t.now.Before(r.giveUpAt) || r.attemptsUsed() || !r.waiting() {
		return
	}
	verdict := t.core.cfg.Suspects.Begin(r.content(r.stage), t.now)
	if verdict.Refuse {
		return
	}
	// Content under suspicion is not put on a second endpoint at the same time.
	if !verdict.Alone {
		d := t.pick()
		log := t.decision(d)
		log.Hedge = true
		t.emit(log)
		if d.Endpoint != nil && pays(d.Endpoint) && t.core.cfg.Retrier.Hedge(r.stageAt(r.stage).Pool, t.now) {
			t.send(d.Endpoint, true, false)
			return
		}
	}
	t.core.cfg.Suspects.Ended(r.content(r.stage), t.now)
}

// waiting tells whether an attempt of the current stage is still running.
func (r *request) waiting() bool {
	for _, a := range r.attempts {
		if a.stage == r.stage && !a.over() {
			return true
		}
	}
	return false
}

func (r *request) maxAttempts() int { return max(1, r.Bundle.Policy.MaxAttempts) }

// retry makes another attempt after a failed one, or gives the request up.
func (t *turn) retry(failed *attempt) {
	r := t.r
	if r.ticket != nil {
		return
	}
	bound := r.binding(r.stage) != nil
	c := failed.causeOf(bound)
	if !t.mayRetry(failed, bound) {
		t.conclude(c)
		return
	}
	verdict := t.core.cfg.Retrier.Decide(r.failure(failed, t.now, t.need()), t.now)
	if !verdict.Retry {
		c.detail = join(c.detail, "no retry: "+string(verdict.Reason))
		t.conclude(c)
		return
	}
	c.detail = join(c.detail, "no other endpoint")
	r.confirmLast(failed)
	t.start(c)
}

// mayRetry holds what no policy may override: a bound stage runs at its owner
// or nowhere, and an unrepeatable one only after proof that it didn't run.
func (t *turn) mayRetry(failed *attempt, bound bool) bool {
	r := t.r
	if bound || r.attemptsUsed() {
		return false
	}
	if r.stageAt(r.stage).Unrepeatable && failed.knowledge != notRun {
		return false
	}
	if failed.result == nil {
		return true
	}
	return failed.result.Status != wire.StatusUnknown && !fatal[failed.result.Reason]
}

// need is the expected time of the current stage and those after it.
func (t *turn) need() time.Duration {
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

func join(detail, more string) string {
	if detail == "" {
		return more
	}
	return detail + "; " + more
}
