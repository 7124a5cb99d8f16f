package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// transient reasons pass with time, so that coming back makes sense.
var transient = map[api.Reason]bool{
	api.ReasonRateLimited:      true,
	api.ReasonOverloaded:       true,
	api.ReasonDeadline:         true,
	api.ReasonNoEndpoint:       true,
	api.ReasonDraining:         true,
	api.ReasonNoBundle:         true,
	api.ReasonPaused:           true,
	api.ReasonTableFull:        true,
	api.ReasonOwnerUnreachable: true,
	api.ReasonEndpointLost:     true,
	api.ReasonConnectionLost:   true,
}

// answer ends the request with the last stage's complete output.
func (t *turn) answer() {
	r := t.r
	t.close(api.OutcomeAnswered, cause{}, api.Final{Answer: &api.Answer{
		RequestID:     r.RequestID,
		Outcome:       api.OutcomeAnswered,
		Pipeline:      r.Pipeline.Name,
		Output:        r.previous,
		Stages:        r.stageRuns(),
		Replayed:      r.replayed,
		BundleVersion: r.Bundle.Version,
	}})
}

// finish ends the request without an answer.
func (t *turn) finish(outcome api.Outcome, c cause) {
	t.close(outcome, c, problem(t.r, outcome, c))
}

// problem leaves out what follows from the reason alone: type, title and status.
func problem(r *request, outcome api.Outcome, c cause) api.Final {
	return api.Final{Problem: &api.Problem{
		RequestID:  r.RequestID,
		Outcome:    outcome,
		Reason:     c.reason,
		Detail:     c.detail,
		Stages:     r.stageRuns(),
		RetryAfter: retryAfter(r, c),
	}}
}

// retryAfter is when coming back makes sense; zero means that it does not.
func retryAfter(r *request, c cause) time.Duration {
	for _, a := range r.attempts {
		if r.stageAt(a.stage).Unrepeatable && !r.mayComeBack(a) {
			return 0
		}
	}
	if c.retryAfter > 0 {
		return c.retryAfter
	}
	if transient[c.reason] {
		return retryAfterDefault
	}
	return 0
}

// mayComeBack tells whether sending the request again can help after an
// attempt of an unrepeatable stage. With a minted ID it would run the stage
// again as another request; otherwise the owner repeats a finished result, but
// never one that failed or got lost.
func (r *request) mayComeBack(a *attempt) bool {
	switch {
	case a.knowledge == notRun:
		return true
	case r.Identity.Kind == wire.IdentityMinted:
		return false
	}
	return a.result == nil || a.done()
}

// close replies, accounts for the work, and forgets the request.
func (t *turn) close(outcome api.Outcome, c cause, final api.Final) {
	r := t.r
	t.stopWaiting()
	r.ended = true
	t.emit(Reply{RequestID: r.RequestID, Ref: r.Ref, Final: final})
	for _, a := range r.attempts {
		t.closeAttempt(a, outcome)
	}
	t.record(ledger.Record{Kind: ledger.KindFinal, Entry: r.entry, Outcome: outcome, Reason: c.reason, Detail: c.detail,
		Took: t.now.Sub(r.admitted)})
	if t.shard.requests[r.RequestID] == r {
		delete(t.shard.requests, r.RequestID)
	}
	t.core.inFlight.Add(-1)
}

func (t *turn) closeAttempt(a *attempt, outcome api.Outcome) {
	r := t.r
	if !a.over() {
		t.revoke(a)
		t.recordAttempt(a, ledger.Record{Kind: ledger.KindFinished, State: a.state(), Took: t.now.Sub(a.sentAt),
			Detail: "not answered when the request ended"})
	}
	if a.cost > 0 {
		t.emit(Cost{Pipeline: r.Pipeline.Name, Stage: a.id.Stage, Account: r.Account.Name,
			Useful: outcome == api.OutcomeAnswered && r.won(a), Amount: a.cost})
	}
	if !a.open() {
		return
	}
	if a.result != nil {
		// Only the cost is still of interest; the output may be large.
		a.result = &wire.StageResult{ID: a.id, Status: a.result.Status}
	}
	evicted := t.shard.late.add(&lateCall{attempt: a, pipeline: r.Pipeline.Name, account: r.Account.Name,
		fingerprint: r.content(a.stage)})
	if evicted != nil && !evicted.over() {
		t.core.cfg.Suspects.Ended(evicted.fingerprint, t.now)
	}
}

// won tells whether a is the first complete result of its stage, the one that was used.
func (r *request) won(a *attempt) bool { return r.winners[a.stage] == a }
