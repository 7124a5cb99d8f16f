package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// transient lists the reasons that pass with time, so that the client may try
// again later.
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

// answer ends the request with the complete output of the last stage.
func (t *transition) answer() {
	r := t.r
	t.close(api.OutcomeAnswered, cause{}, api.Final{Answer: &api.Answer{
		RequestID:     r.RequestID,
		Outcome:       api.OutcomeAnswered,
		Pipeline:      r.Pipeline.Name,
		Output:        r.prevOutput,
		Stages:        r.stageRuns(),
		Replayed:      r.replayed,
		BundleVersion: r.Bundle.Version,
	}})
}

// finish ends the request without an answer.
func (t *transition) finish(outcome api.Outcome, c cause) {
	t.close(outcome, c, problem(t.r, outcome, c))
}

// problem builds the Problem of a request that ends without an answer. It
// leaves out type, title and status, which follow from the reason.
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

// retryAfter returns the delay after which the client may try again; zero means
// that trying again cannot help.
func retryAfter(r *request, c cause) time.Duration {
	for _, a := range r.attempts {
		if r.stageAt(a.stage).Unrepeatable && !r.retryMayHelp(a) {
			return 0
		}
	}
	if c.retryAfter > 0 {
		return c.retryAfter
	}
	if transient[c.reason] {
		return defaultRetryAfter
	}
	return 0
}

// retryMayHelp reports whether submitting the request again can help after an
// attempt of an unrepeatable stage. With a minted ID, it would run the stage
// again as another request; otherwise the owner repeats a finished result, but
// never one that failed or was lost.
func (r *request) retryMayHelp(a *attempt) bool {
	switch {
	case a.execState == notRun:
		return true
	case r.Identity.Kind == wire.IdentityMinted:
		return false
	}
	return a.result == nil || a.done()
}

// close sends the reply, accounts for the work and removes the request.
func (t *transition) close(outcome api.Outcome, c cause, final api.Final) {
	r := t.r
	t.stopWaiting()
	r.replied = true
	t.emit(Reply{RequestID: r.RequestID, Ref: r.Ref, Final: final})
	for _, a := range r.attempts {
		t.closeAttempt(a, outcome)
	}
	t.record(ledger.Record{Kind: ledger.KindFinal, Entry: r.entry, Outcome: outcome, Reason: c.reason, Detail: c.detail,
		Duration: t.now.Sub(r.admitted)})
	if t.shard.requests[r.RequestID] == r {
		delete(t.shard.requests, r.RequestID)
	}
	t.core.inFlight.Add(-1)
}

// closeAttempt revokes the attempt if it is still running, charges its cost
// and, if its cost may still be reported, remembers it as a late call.
func (t *transition) closeAttempt(a *attempt, outcome api.Outcome) {
	r := t.r
	if !a.ended() {
		t.revoke(a)
		t.recordAttempt(a, ledger.Record{Kind: ledger.KindFinished, State: a.state(), Duration: t.now.Sub(a.sentAt),
			Detail: "not answered when the request ended"})
	}
	if a.cost > 0 {
		t.emit(Cost{Pipeline: r.Pipeline.Name, Stage: a.id.Stage, Account: r.Account.Name,
			Useful: outcome == api.OutcomeAnswered && r.won(a), Amount: a.cost})
	}
	if !a.mayReportCost() {
		return
	}
	if a.result != nil {
		// Only the cost is still needed; the output may be large.
		a.result = &wire.StageResult{ID: a.id, Status: a.result.Status}
	}
	evicted := t.shard.late.add(&lateCall{attempt: a, pipeline: r.Pipeline.Name, account: r.Account.Name,
		fingerprint: r.contentKey(a.stage)})
	if evicted != nil && !evicted.ended() {
		t.core.cfg.Suspects.Ended(evicted.fingerprint, t.now)
	}
}

// won reports whether a delivered the result that was used for its stage.
func (r *request) won(a *attempt) bool { return r.winners[a.stage] == a }
