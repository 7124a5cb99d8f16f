package pipeline

import (
	"encoding/json"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// phase is how far a request has come.
type phase uint8

const (
	// running: a stage is being tried.
	running phase = iota
	// proving: no further call will be made; revocations may still tell what ran.
	proving
	// peeking: no call of this sending ran; owners are asked for earlier ones.
	peeking
)

const timerKinds = int(TimerWait) + 1

// request is one sending of a request.
type request struct {
	Admit
	// entry is the Entry of all its CallIDs.
	entry    string
	admitted time.Time
	giveUpAt time.Time
	phase    phase
	ended    bool

	// stage is the index of the current one, previous the output before it.
	stage    int
	previous json.RawMessage
	replayed bool
	attempts []*attempt
	// winners holds, by stage, the attempt whose result was used.
	winners []*attempt

	// ticket is held while the request waits for an endpoint; unserved is why it
	// ends if none comes back.
	ticket   *ticket
	unserved cause
	// heardSince keeps the last attempt for an endpoint that has reported after it.
	heardSince time.Time

	// timers holds the sequence number of each running timer.
	timers [timerKinds]uint64

	cause cause
	// abandoned: even a complete result would not be delivered.
	abandoned bool

	// forwarded is what the caller has been sent of the last stage's output.
	forwarded []byte
	nextChunk int

	// peekSeq numbers the round of peeks, peeks holds the stages not heard from.
	peekSeq uint64
	peeks   map[string]struct{}
}

func (r *request) stageAt(i int) *bundle.Stage { return &r.Pipeline.Stages[i] }

// content is the key by which crashes at a stage are counted.
func (r *request) content(stage int) string {
	return suspect.Key(r.Identity.BodyHash, r.stageAt(stage).Name)
}

func (r *request) lastStage() int { return len(r.Pipeline.Stages) - 1 }

func (r *request) attemptsOf(stage int) int {
	n := 0
	for _, a := range r.attempts {
		if a.stage == stage {
			n++
		}
	}
	return n
}

// reached counts the attempts of a stage that got to an endpoint or may have.
func (r *request) reached(stage int) int {
	n := 0
	for _, a := range r.attempts {
		if a.stage == stage && !a.notReached() {
			n++
		}
	}
	return n
}

// counted is the number of attempts of a stage that count against the policy's
// maximum. Those that reached no endpoint do not once the request has begun: its
// caller would have to run the first stages again, while one that has not run
// loses nothing by coming back.
func (r *request) counted(stage int) int {
	if !r.begun() {
		return r.attemptsOf(stage)
	}
	return r.reached(stage)
}

// attemptsUsed tells whether the current stage may not be attempted again.
func (r *request) attemptsUsed() bool {
	notReached := r.attemptsOf(r.stage) - r.reached(r.stage)
	return r.counted(r.stage) >= r.maxAttempts() || notReached >= maxNotReached
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

// binding returns the only agent run that may execute a stage, if there is one.
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

// allBound tells whether every stage has an owner.
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

// earlier tells whether another sending of the same request may have run. An
// idempotency key matters only to unrepeatable stages: without one, each
// sending is a request of its own, with an ID of its own.
func (r *request) earlier() bool {
	if r.Identity.Kind == wire.IdentityKey && !r.hasUnrepeatable() {
		return false
	}
	return r.MayHaveEarlier
}

// knows tells whether some attempt is in state k.
func (r *request) knows(k knowledge) bool {
	for _, a := range r.attempts {
		if a.knowledge == k {
			return true
		}
	}
	return false
}

// hopeful tells whether a complete answer may still come without another call.
func (r *request) hopeful() bool {
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

// outcome is what can be said of a request that isn't answered. It is
// "refused" only if each call ever made is proved not to have run and no
// earlier sending can have run either; silence proves nothing.
func (r *request) outcome(neverEarlier bool) api.Outcome {
	switch {
	case r.knows(ran):
		return api.OutcomeCutShort
	case r.knows(pending), r.knows(silent), r.knows(mayHaveRun):
		return api.OutcomeUnknown
	case r.earlier() && !neverEarlier:
		return api.OutcomeUnknown
	}
	return api.OutcomeRefused
}

func (r *request) stageRuns() []api.StageRun {
	runs := make([]api.StageRun, 0, len(r.attempts))
	for _, a := range r.attempts {
		runs = append(runs, api.StageRun{
			Stage: a.id.Stage, Endpoint: a.endpoint, Attempt: a.id.Attempt, State: a.state(), Took: a.took,
		})
	}
	return runs
}
