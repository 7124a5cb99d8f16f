package pipeline

import (
	"encoding/json"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// phase is the progress of a request.
type phase uint8

const (
	// running means that a stage is being attempted.
	running phase = iota
	// revoking means that no further call is made; replies to revocations may
	// still show what ran.
	revoking
	// peeking means that no call of this submission ran and the owners are
	// asked about earlier ones.
	peeking
)

const timerKinds = int(TimerWait) + 1

// request is one submission of a request.
type request struct {
	Admit
	// entry is the Entry of all CallIDs of this submission.
	entry    string
	admitted time.Time
	giveUpAt time.Time
	phase    phase
	replied  bool

	// stage is the index of the current stage; prevOutput is the output of the
	// stage before it. replayed is true when some stage returned the stored
	// result of an earlier run.
	stage      int
	prevOutput json.RawMessage
	replayed   bool
	attempts   []*attempt
	// winners holds, by stage, the attempt whose result was used.
	winners []*attempt

	// waiter is set while the request waits for an endpoint; waitCause is the
	// cause with which the request ends if none becomes available.
	waiter    *waiter
	waitCause cause
	// reportedSince restricts the last attempt to endpoints that have reported
	// after this time; zero means no restriction.
	reportedSince time.Time

	// timers holds the sequence number of each running timer.
	timers [timerKinds]uint64

	cause cause
	// abandoned is true when even a complete result would not be delivered.
	abandoned bool

	// forwarded is the part of the last stage's output that the caller has
	// received.
	forwarded []byte
	nextChunk int

	// peekSeq numbers the round of peeks; peeks holds the stages whose owners
	// have not replied.
	peekSeq uint64
	peeks   map[string]struct{}
}

func (r *request) stageAt(i int) *bundle.Stage { return &r.Pipeline.Stages[i] }

// contentKey returns the key under which crashes at a stage are counted.
func (r *request) contentKey(stage int) string {
	return suspect.Key(r.Identity.BodyHash, r.stageAt(stage).Name)
}

func (r *request) lastStage() int { return len(r.Pipeline.Stages) - 1 }

// attemptsOf returns the number of attempts of a stage.
func (r *request) attemptsOf(stage int) int {
	n := 0
	for _, a := range r.attempts {
		if a.stage == stage {
			n++
		}
	}
	return n
}

// reachedAttempts returns the number of attempts of a stage that reached an
// endpoint or may have.
func (r *request) reachedAttempts(stage int) int {
	n := 0
	for _, a := range r.attempts {
		if a.stage == stage && !a.notReached() {
			n++
		}
	}
	return n
}

// countedAttempts returns the number of attempts of a stage that count against
// the policy's maximum. Once the request has started, attempts that reached no
// endpoint do not count: if it failed, its caller would have to run the first
// stages again. A request of which nothing has run loses nothing when its
// caller tries again later.
func (r *request) countedAttempts(stage int) int {
	if !r.started() {
		return r.attemptsOf(stage)
	}
	return r.reachedAttempts(stage)
}

// attemptsExhausted reports whether the current stage may not be attempted
// again.
func (r *request) attemptsExhausted() bool {
	notReached := r.attemptsOf(r.stage) - r.reachedAttempts(r.stage)
	return r.countedAttempts(r.stage) >= r.maxAttempts() || notReached >= maxNotReached
}

// find returns the attempt with exactly that ID, or nil.
func (r *request) find(id wire.CallID) *attempt {
	for _, a := range r.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// binding returns the only agent run that may execute a stage; nil if the stage
// is not bound.
func (r *request) binding(stage int) *wire.Binding {
	s := r.stageAt(stage)
	b, ok := r.Bindings[s.Name]
	if !s.Unrepeatable || !ok {
		return nil
	}
	return &b
}

func (r *request) hasUnrepeatable() bool {
	for i := range r.Pipeline.Stages {
		if r.Pipeline.Stages[i].Unrepeatable {
			return true
		}
	}
	return false
}

// allBound reports whether every stage has an owner.
func (r *request) allBound() bool {
	if len(r.Pipeline.Stages) == 0 {
		return false
	}
	for i := range r.Pipeline.Stages {
		if r.binding(i) == nil {
			return false
		}
	}
	return true
}

// earlierMayHaveRun reports whether another submission of the same request may
// have run. An idempotency key matters only to unrepeatable stages: in a
// pipeline without any, each submission is a separate request with its own ID.
func (r *request) earlierMayHaveRun() bool {
	if r.Identity.Kind == wire.IdentityKey && !r.hasUnrepeatable() {
		return false
	}
	return r.PossibleResubmission
}

// hasAttemptIn reports whether some attempt is in state s.
func (r *request) hasAttemptIn(s execState) bool {
	for _, a := range r.attempts {
		if a.execState == s {
			return true
		}
	}
	return false
}

// mayBeAnswered reports whether a complete answer may still arrive without
// another call.
func (r *request) mayBeAnswered() bool {
	if r.abandoned || r.stage != r.lastStage() {
		return false
	}
	for _, a := range r.attempts {
		if a.stage == r.stage && a.mayComplete() {
			return true
		}
	}
	return false
}

// outcome returns the outcome of a request that is not answered. It is
// "refused" only if every call is proved not to have run and no earlier
// submission can have run; a missing reply proves nothing. neverEarlier is true
// when owners have proved that no earlier submission ran.
func (r *request) outcome(neverEarlier bool) api.Outcome {
	switch {
	case r.hasAttemptIn(ran):
		return api.OutcomeCutShort
	case r.hasAttemptIn(pending), r.hasAttemptIn(unanswered), r.hasAttemptIn(mayHaveRun):
		return api.OutcomeUnknown
	case r.earlierMayHaveRun() && !neverEarlier:
		return api.OutcomeUnknown
	}
	return api.OutcomeRefused
}

// stageRuns lists the attempts for the reply.
func (r *request) stageRuns() []api.StageRun {
	runs := make([]api.StageRun, 0, len(r.attempts))
	for _, a := range r.attempts {
		runs = append(runs, api.StageRun{
			Stage: a.id.Stage, Endpoint: a.endpoint, Attempt: a.id.Attempt, State: a.state(), Elapsed: a.elapsed,
		})
	}
	return runs
}
