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

// lateCalls remembers a bounded number of them, oldest dropped first. They
// serve accounting alone; no outcome depends on them.
type lateCalls struct {
	byID  map[wire.CallID]*lateCall
	order []wire.CallID
	next  int
}

func newLateCalls(limit int) lateCalls {
	return lateCalls{byID: make(map[wire.CallID]*lateCall), order: make([]wire.CallID, limit)}
}

// add returns the call that made room, or nil.
func (l *lateCalls) add(call *lateCall) *lateCall {
	evicted := l.byID[l.order[l.next]]
	delete(l.byID, l.order[l.next])
	l.order[l.next] = call.id
	l.next = (l.next + 1) % len(l.order)
	l.byID[call.id] = call
	return evicted
}

// lateResult takes in a result that is never delivered: its request has ended,
// or the attempt had another result before.
func (t *turn) lateResult(res wire.StageResult) {
	t.emit(Record{ledger.Record{
		Request: res.ID.Request, At: t.now, Process: t.core.cfg.Entry, Kind: ledger.KindDropped,
		Stage: res.ID.Stage, Entry: res.ID.Entry, Attempt: res.ID.Attempt, Endpoint: res.Report.Endpoint,
		Reason: res.Reason, Detail: "late or repeated result " + string(res.Status), Cost: res.Cost,
	}})
	call := t.shard.late.byID[res.ID]
	if call == nil {
		return
	}
	if !call.over() {
		call.lost = true
		t.endLate(call, res)
	}
	t.lateCost(res.ID, res.Cost)
}

func (t *turn) endLate(call *lateCall, res wire.StageResult) {
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

// lateEnd takes in the end, without a reply, of a call whose request has ended.
func (t *turn) lateEnd(id wire.CallID) {
	call := t.shard.late.byID[id]
	if call == nil || call.over() {
		return
	}
	call.lost = true
	t.core.cfg.Suspects.Ended(call.fingerprint, t.now)
	t.emit(call.observe(t.now, route.CallLost))
}

func (c *lateCall) observe(now time.Time, outcome route.CallOutcome) Observe {
	return Observe{
		CallID: c.id, Pool: c.pool, Stage: c.id.Stage, Endpoint: c.endpoint, Outcome: outcome,
		Took: now.Sub(c.sentAt), Revoked: c.revoked, Late: true, Fingerprint: c.fingerprint,
	}
}

// lateCost accounts for what a reply names beyond what was named before, of a
// call whose request has ended or whose earlier reply was taken.
func (t *turn) lateCost(id wire.CallID, cost time.Duration) {
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
