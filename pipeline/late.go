package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// lateCall is a call whose request ended before the call did.
type lateCall struct {
	*attempt
	pipeline    string
	account     string
	fingerprint string
}

// lateCalls remembers a bounded number of late calls and evicts the oldest
// first. They are used for accounting only; no outcome depends on them.
type lateCalls struct {
	byID  map[wire.CallID]*lateCall
	order []wire.CallID
	next  int
}

func newLateCalls(limit int) lateCalls {
	return lateCalls{byID: make(map[wire.CallID]*lateCall), order: make([]wire.CallID, limit)}
}

// add remembers a call and returns the evicted one, or nil.
func (l *lateCalls) add(call *lateCall) *lateCall {
	evicted := l.byID[l.order[l.next]]
	delete(l.byID, l.order[l.next])
	l.order[l.next] = call.id
	l.next = (l.next + 1) % len(l.order)
	l.byID[call.id] = call
	return evicted
}

// onLateResult handles a result that is never delivered, because its request
// has ended or the attempt already had a result.
func (t *transition) onLateResult(res wire.StageResult) {
	t.emit(Record{ledger.Record{
		Request: res.ID.Request, At: t.now, Process: t.core.cfg.Entry, Kind: ledger.KindDropped,
		Stage: res.ID.Stage, Entry: res.ID.Entry, Attempt: res.ID.Attempt, Endpoint: res.Report.Endpoint,
		Reason: res.Reason, Detail: "late or repeated result " + string(res.Status), Cost: res.Cost,
	}})
	call := t.shard.late.byID[res.ID]
	if call == nil {
		return
	}
	if !call.ended() {
		call.lost = true
		t.endLateCall(call, res)
	}
	t.addLateCost(res.ID, res.Cost)
}

// endLateCall reports the end of a late call to Suspects and the shell.
func (t *transition) endLateCall(call *lateCall, res wire.StageResult) {
	s := t.core.cfg.Suspects
	switch {
	case res.Crashed:
		s.Crashed(call.fingerprint, suspect.Crash{Endpoint: call.endpoint, Companions: res.Companions}, t.now)
	case callOutcome(res) == route.CallSucceeded:
		s.Succeeded(call.fingerprint, t.now)
	default:
		s.Ended(call.fingerprint, t.now)
	}
	o := call.observe(t.now, callOutcome(res))
	o.Crashed, o.Companions, o.Report = res.Crashed, res.Companions, &res.Report
	o.Queued, o.Ran = res.Queued, res.Ran
	t.emit(o)
}

// onLateEnd handles the end, without a reply, of a call whose request has
// ended.
func (t *transition) onLateEnd(id wire.CallID) {
	call := t.shard.late.byID[id]
	if call == nil || call.ended() {
		return
	}
	call.lost = true
	t.core.cfg.Suspects.Ended(call.fingerprint, t.now)
	t.emit(call.observe(t.now, route.CallLost))
}

func (c *lateCall) observe(now time.Time, outcome route.CallOutcome) Observe {
	return Observe{
		CallID: c.id, Pool: c.pool, Stage: c.id.Stage, Endpoint: c.endpoint, Outcome: outcome,
		Elapsed: now.Sub(c.sentAt), Revoked: c.revoked, Late: true, Fingerprint: c.fingerprint,
	}
}

// addLateCost accounts for the cost that a reply reports in excess of the cost
// already known for the call. Its request has ended or an earlier reply to it
// was accepted.
func (t *transition) addLateCost(id wire.CallID, cost time.Duration) {
	if a := t.attempt(id); a != nil {
		a.cost = max(a.cost, cost)
		return
	}
	call := t.shard.late.byID[id]
	if call == nil || cost <= call.cost {
		return
	}
	t.emit(Cost{Pipeline: call.pipeline, Stage: id.Stage, Account: call.account, Amount: cost - call.cost})
	call.cost = cost
}
