package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

// conclude gives the request up: no further call is made. Outstanding calls
// are revoked, and the reply goes out as soon as what they did is known, or
// can't become known within proofWait.
func (t *turn) conclude(c cause) {
	r := t.r
	t.stopWaiting()
	r.cause = c
	r.phase = proving
	for _, a := range r.attempts {
		if a.knowledge == pending || (a.knowledge == ran && !a.over()) {
			t.revoke(a)
		}
	}
	t.settle()
	if r.ended || r.phase != proving {
		return
	}
	// Near the deadline a result may still win the race with its revocation,
	// and the deadline timer ends the wait.
	if !r.hopeful() {
		t.setTimer(TimerProof, earlierOf(t.now.Add(proofWait), r.Deadline))
	}
}

// settle ends a request in the phase of proving once its outcome can't change
// any more.
func (t *turn) settle() {
	r := t.r
	switch {
	case r.hopeful():
		return
	case r.knows(ran), r.knows(mayHaveRun), r.knows(silent):
		t.end()
	case r.knows(pending):
		return
	case r.earlier():
		t.peek()
	default:
		t.end()
	}
}

// end replies with what is known now.
func (t *turn) end() {
	t.finish(t.r.outcome(false), t.r.cause)
}

// peek asks the owners whether an earlier sending ran, and only if the answer
// could prove anything. That takes a pipeline whose stages are all bound: a
// repeatable stage of an earlier sending may have run on any endpoint, and
// nobody can be asked who would know. For such pipelines the outcome of an
// unfinished sending is unknown, whether or not there was an earlier one.
func (t *turn) peek() {
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
	t.setTimer(TimerProof, earlierOf(t.now.Add(peekWait), r.Deadline))
}

// onPeek takes in an owner's word. Only when each of them can prove that the
// stage never ran is the request called refused.
func (t *turn) onPeek(seq uint64, stage string, state wire.PeekState) {
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

// causeAfter is why a request ends after an earlier sending. A caller that
// used a key for two bodies is told so: as "an earlier sending ran" it would
// take the other body's order for this one's.
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
