package pipeline

import (
	"strconv"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// submissionSeparator separates the entry from the submission number in the
// Entry of a CallID.
const submissionSeparator = "#"

// admit registers a request and starts its first stage, or ends it at once if
// it cannot run.
func (t *transition) admit(a Admit) {
	if !t.register(a, api.ReasonOverloaded, "too many requests in flight", 0) {
		return
	}
	if len(a.Pipeline.Stages) == 0 {
		t.giveUp(cause{reason: api.ReasonInternal, detail: "the pipeline has no stages"})
		return
	}
	if !t.now.Before(t.r.giveUpAt) {
		t.giveUp(cause{reason: api.ReasonDeadline, detail: "the deadline had passed on arrival"})
		return
	}
	t.record(ledger.Record{Kind: ledger.KindAdmitted})
	t.setTimer(TimerDeadline, t.r.Deadline)
	t.setTimer(TimerGiveUp, t.r.giveUpAt)
	t.startStage()
}

// refuse ends a request that the shell rejected. This submission made no call,
// so the outcome depends only on whether an earlier submission ran.
func (t *transition) refuse(e Refuse) {
	if t.register(e.Admit, e.Reason, e.Detail, e.RetryAfter) {
		t.giveUp(cause{reason: e.Reason, detail: e.Detail, retryAfter: e.RetryAfter})
	}
}

// register adds the request to the shard. If the request is already in flight
// or the table is full, it replies at once and returns false. reason, detail
// and retryAfter describe the refusal if the table is full.
func (t *transition) register(a Admit, reason api.Reason, detail string, retryAfter time.Duration) bool {
	lead := min(giveUpLead, a.Deadline.Sub(t.now)/giveUpDivisor)
	r := &request{Admit: a, admitted: t.now, giveUpAt: a.Deadline.Add(-lead),
		winners: make([]*attempt, len(a.Pipeline.Stages))}
	if t.r != nil {
		t.replyInFlight(r)
		return false
	}
	t.r = r
	if t.core.inFlight.Add(1) > int64(t.core.cfg.MaxInFlight) {
		// The size of the table bounds memory, so this request cannot be kept
		// while owners are queried: if an earlier submission is possible, the
		// outcome is unknown.
		t.finish(r.outcome(false), cause{reason: reason, detail: detail, retryAfter: retryAfter})
		return false
	}
	r.entry = t.core.entryOf(r)
	t.shard.requests[r.RequestID] = r
	return true
}

// entryOf returns the Entry of the request's CallIDs. A held ID, which the
// caller fetched beforehand, may be submitted several times through this entry.
// The submission number prevents a late reply to one submission from being
// accepted as a reply to another, and an agent's tombstone for one from
// blocking another.
func (c *Core) entryOf(r *request) string {
	if r.Identity.Kind != wire.IdentityHeld {
		return c.cfg.Entry
	}
	return c.cfg.Entry + submissionSeparator + strconv.FormatUint(c.submissions.Add(1), 10)
}

// replyInFlight answers a second submission of a held ID while the first is
// still running here. Running both would mix up their calls, and the outcome of
// the first is not known yet.
func (t *transition) replyInFlight(second *request) {
	first := t.r
	c := cause{reason: api.ReasonEarlierAttempt, detail: "an earlier sending is still running",
		retryAfter: max(first.Deadline.Sub(t.now), time.Millisecond)}
	t.emit(Reply{RequestID: second.RequestID, Ref: second.Ref, Final: problem(second, api.OutcomeUnknown, c)})
	t.record(ledger.Record{Kind: ledger.KindRefused, Outcome: api.OutcomeUnknown, Reason: c.reason, Detail: c.detail})
}

// setTimer sets the request's timer of the given kind and replaces the previous
// one of that kind.
func (t *transition) setTimer(kind TimerKind, at time.Time) {
	t.shard.seq++
	t.r.timers[kind] = t.shard.seq
	t.emit(SetTimer{RequestID: t.r.RequestID, Kind: kind, Seq: t.shard.seq, At: at})
}

// onTimer handles a timer that has fired; one that was replaced or cleared is
// ignored.
func (t *transition) onTimer(e Timer) {
	if int(e.Kind) >= timerKinds || t.r.timers[e.Kind] != e.Seq {
		return
	}
	t.r.timers[e.Kind] = 0
	switch e.Kind {
	case TimerDeadline:
		t.expire()
	case TimerOutcome:
		t.end()
	case TimerGiveUp:
		if t.r.phase == running {
			t.giveUp(cause{reason: api.ReasonDeadline, detail: "the deadline is too near"})
		}
	case TimerHedge:
		t.startHedge(t.hasFreeSlot)
	case TimerWait:
		t.onWaitTimeout()
	}
}

// expire ends the request at its deadline with the outcome known at that time.
func (t *transition) expire() {
	if t.r.phase == running {
		t.r.cause = cause{reason: api.ReasonDeadline, detail: "the deadline has passed"}
	}
	t.end()
}

// onCallerGone gives the request up, because no caller is left to deliver a
// result to.
func (t *transition) onCallerGone(ref uint64) {
	if ref != t.r.Ref || t.r.phase == peeking || t.r.abandoned {
		return
	}
	t.r.abandoned = true
	t.giveUp(cause{reason: api.ReasonCallerGone, detail: "the caller has gone"})
}

// record emits a ledger record about the request.
func (t *transition) record(rec ledger.Record) {
	rec.Request = t.r.RequestID
	rec.At = t.now
	rec.Process = t.core.cfg.Entry
	rec.Account = t.r.Account.Name
	rec.Pipeline = t.r.Pipeline.Name
	t.emit(Record{rec})
}

// recordAttempt emits a ledger record about one attempt.
func (t *transition) recordAttempt(a *attempt, rec ledger.Record) {
	rec.Stage = a.id.Stage
	rec.Endpoint = a.endpoint
	rec.Entry = a.id.Entry
	rec.Attempt = a.id.Attempt
	t.record(rec)
}
