package pipeline

import (
	"strconv"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// sendingSeparator stands between the entry and the number of the sending.
const sendingSeparator = "#"

// admit starts a request.
func (t *turn) admit(a Admit) {
	if !t.open(a, api.ReasonOverloaded, "too many requests in flight", 0) {
		return
	}
	if len(a.Pipeline.Stages) == 0 {
		t.conclude(cause{reason: api.ReasonInternal, detail: "the pipeline has no stages"})
		return
	}
	if !t.now.Before(t.r.giveUpAt) {
		t.conclude(cause{reason: api.ReasonDeadline, detail: "the deadline had passed on arrival"})
		return
	}
	t.record(ledger.Record{Kind: ledger.KindAdmitted})
	t.setTimer(TimerDeadline, t.r.Deadline)
	t.setTimer(TimerGiveUp, t.r.giveUpAt)
	t.startStage()
}

// refuse ends a request that the shell turned away. No call was made, so the
// only question is whether an earlier sending ran.
func (t *turn) refuse(e Refuse) {
	if t.open(e.Admit, e.Reason, e.Detail, e.RetryAfter) {
		t.conclude(cause{reason: e.Reason, detail: e.Detail, retryAfter: e.RetryAfter})
	}
}

// open enters the request into the shard. When that can't be, it replies at
// once and returns false; reason is for a full table.
func (t *turn) open(a Admit, reason api.Reason, detail string, retryAfter time.Duration) bool {
	lead := min(giveUpLead, a.Deadline.Sub(t.now)/giveUpShare)
	r := &request{Admit: a, admitted: t.now, giveUpAt: a.Deadline.Add(-lead),
		winners: make([]*attempt, len(a.Pipeline.Stages))}
	if t.r != nil {
		t.replyInFlight(r)
		return false
	}
	t.r = r
	if t.core.inFlight.Add(1) > int64(t.core.cfg.MaxInFlight) {
		// The table is what bounds memory, so this request can't wait in it
		// for peeks: with a possible earlier sending the outcome is unknown.
		t.finish(r.outcome(false), cause{reason: reason, detail: detail, retryAfter: retryAfter})
		return false
	}
	r.entry = t.core.entryOf(r)
	t.shard.requests[r.RequestID] = r
	return true
}

// entryOf returns the Entry of the request's CallIDs. A held ID may be sent
// several times through this entry; the number of the sending keeps a late
// reply to one from passing for a reply to another, and an agent's tombstone of
// one from stopping another.
func (c *Core) entryOf(r *request) string {
	if r.Identity.Kind != wire.IdentityHeld {
		return c.cfg.Entry
	}
	return c.cfg.Entry + sendingSeparator + strconv.FormatUint(c.sendings.Add(1), 10)
}

// replyInFlight answers a second sending of a held ID while the first is
// still running here. Running both would mix up their calls; the outcome of
// the first is not known yet.
func (t *turn) replyInFlight(second *request) {
	first := t.r
	c := cause{reason: api.ReasonEarlierAttempt, detail: "an earlier sending is still running",
		retryAfter: max(first.Deadline.Sub(t.now), time.Millisecond)}
	t.emit(Reply{RequestID: second.RequestID, Ref: second.Ref, Final: problem(second, api.OutcomeUnknown, c)})
	t.record(ledger.Record{Kind: ledger.KindRefused, Outcome: api.OutcomeUnknown, Reason: c.reason, Detail: c.detail})
}

// setTimer replaces the request's timer of that kind.
func (t *turn) setTimer(kind TimerKind, at time.Time) {
	t.shard.seq++
	t.r.timers[kind] = t.shard.seq
	t.emit(SetTimer{RequestID: t.r.RequestID, Kind: kind, Seq: t.shard.seq, At: at})
}

func (t *turn) onTimer(e Timer) {
	if int(e.Kind) >= timerKinds || t.r.timers[e.Kind] != e.Seq {
		return
	}
	t.r.timers[e.Kind] = 0
	switch e.Kind {
	case TimerDeadline:
		t.expire()
	case TimerProof:
		t.end()
	case TimerGiveUp:
		if t.r.phase == running {
			t.conclude(cause{reason: api.ReasonDeadline, detail: "the deadline is too near"})
		}
	case TimerHedge:
		t.startHedge(t.idle)
	case TimerWait:
		t.waitOver()
	}
}

// expire ends the request at its deadline with what is known.
func (t *turn) expire() {
	if t.r.phase == running {
		t.r.cause = cause{reason: api.ReasonDeadline, detail: "the deadline has passed"}
	}
	t.end()
}

// onCallerGone stops all work: no caller is left to deliver a result to.
func (t *turn) onCallerGone(ref uint64) {
	if ref != t.r.Ref || t.r.phase == peeking || t.r.abandoned {
		return
	}
	t.r.abandoned = true
	t.conclude(cause{reason: api.ReasonCallerGone, detail: "the caller has gone"})
}

// record keeps a fact about the request.
func (t *turn) record(rec ledger.Record) {
	rec.Request = t.r.RequestID
	rec.At = t.now
	rec.Process = t.core.cfg.Entry
	rec.Account = t.r.Account.Name
	rec.Pipeline = t.r.Pipeline.Name
	t.emit(Record{rec})
}

// recordAttempt keeps a fact about one attempt.
func (t *turn) recordAttempt(a *attempt, rec ledger.Record) {
	rec.Stage = a.id.Stage
	rec.Endpoint = a.endpoint
	rec.Entry = a.id.Entry
	rec.Attempt = a.id.Attempt
	t.record(rec)
}
