package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

// giveUp stops the request: no further call is made. Outstanding calls are
// revoked. The reply is sent as soon as the outcome can no longer change, or
// after revokeWait with what is known then; while a complete answer may still
// arrive, only the deadline bounds the wait.
func (t *transition) giveUp(c cause) {
	r := t.r
	t.stopWaiting()
	r.cause = c
	r.phase = revoking
	for _, a := range r.attempts {
		if a.execState == pending || (a.execState == ran && !a.ended()) {
			t.revoke(a)
		}
	}
	t.finishIfDecided()
	if r.replied || r.phase != revoking {
		return
	}
	// While a result may still overtake its revocation, the deadline timer ends
	// the wait.
	if !r.mayBeAnswered() {
		t.setTimer(TimerOutcome, earlierOf(t.now.Add(revokeWait), r.Deadline))
	}
}

// finishIfDecided ends a request in phase revoking once its outcome can no
// longer change, or peeks if only an earlier submission can still change it.
func (t *transition) finishIfDecided() {
	r := t.r
	switch {
	case r.mayBeAnswered():
		return
	case r.hasAttemptIn(ran), r.hasAttemptIn(mayHaveRun), r.hasAttemptIn(unanswered):
		t.end()
	case r.hasAttemptIn(pending):
		return
	case r.earlierMayHaveRun():
		t.peek()
	default:
		t.end()
	}
}

// end replies with the outcome known now.
func (t *transition) end() {
	t.finish(t.r.outcome(false), t.r.cause)
}

// peek asks the owners whether an earlier submission ran, but only if their
// replies can prove something. That requires every stage to be bound: a
// repeatable stage of an earlier submission may have run on any endpoint, and
// no single process knows. For pipelines with such a stage the outcome is
// unknown whenever an earlier submission is possible, whether or not there was
// one.
func (t *transition) peek() {
	r := t.r
	if !r.allBound() || !t.now.Before(r.Deadline) {
		t.end()
		return
	}
	r.phase = peeking
	t.shard.seq++
	r.peekSeq = t.shard.seq
	r.peeks = make(map[string]struct{}, len(r.Pipeline.Stages))
	for i := range r.Pipeline.Stages {
		stage := r.stageAt(i)
		b := r.binding(i)
		r.peeks[stage.Name] = struct{}{}
		t.emit(SendPeek{RequestID: r.RequestID, Seq: r.peekSeq, Endpoint: b.Agent,
			Peek: wire.Peek{Identity: r.Identity, Stage: stage.Name, Binding: *b}})
	}
	t.setTimer(TimerOutcome, earlierOf(t.now.Add(peekWait), r.Deadline))
}

// onPeek handles an owner's reply to a peek. The outcome is "refused" only if
// every owner proves that its stage never ran.
func (t *transition) onPeek(seq uint64, stage string, state wire.PeekState) {
	r := t.r
	if r.phase != peeking || seq != r.peekSeq {
		return
	}
	if _, asked := r.peeks[stage]; !asked {
		return
	}
	delete(r.peeks, stage)
	switch state {
	case wire.PeekNever:
		if len(r.peeks) == 0 {
			t.finish(r.outcome(true), r.cause)
		}
	case wire.PeekDone:
		t.finish(api.OutcomeCutShort, r.causeAfter("an earlier sending ran"))
	case wire.PeekRunning:
		t.finish(api.OutcomeUnknown, r.causeAfter("an earlier sending is running"))
	default:
		t.end()
	}
}

// causeAfter returns the cause of a request that ends because of an earlier
// submission. A key conflict keeps its reason: with "an earlier sending ran"
// alone, a caller that used one key for two bodies would take the first body's
// order for the second's.
func (r *request) causeAfter(detail string) cause {
	if r.cause.reason == api.ReasonKeyConflict {
		return cause{reason: r.cause.reason, detail: join(r.cause.detail, detail)}
	}
	return cause{reason: api.ReasonEarlierAttempt, detail: detail}
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
