package part

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxTracked bounds the parts with crashes that are remembered, maxLost the endpoints.
	maxTracked = 1 << 12
	maxLost    = 1 << 12
	// maxCrashesPerPart bounds the crashes of one part that are remembered.
	maxCrashesPerPart = 32
	// maxRunsPerCrash bounds the requests that are remembered of one endpoint.
	maxRunsPerCrash = 64
	// tellInterval is the interval at which the other members are told of answers to one part.
	tellInterval = 200 * time.Millisecond
	// answersToldFrom is the number of crashes of a part from which members tell that they have
	// answered it before.
	answersToldFrom = 2
)

// Crash is an endpoint that crashed while a request ran on it.
type Crash struct {
	// Endpoint identifies the process.
	Endpoint, Service string
	// Content is the hash of the whole request.
	Content uint64
	Request string
	Parts   []ID
	// Answered are those of the parts that were answered, and ServiceAnswered is how long before
	// the crash the service had last given a complete answer; 0 if that is not known.
	Answered        []Answered
	ServiceAnswered time.Duration
	// Trial is true if the request ran as a trial.
	Trial bool
	// RanFor is how long the request had run.
	RanFor time.Duration
	At     time.Time
}

// Answered says how long before a crash a part was last answered.
type Answered struct {
	Part ID `json:"part"`
	// Before is negative if the answer came after the crash.
	Before time.Duration `json:"before_ns"`
}

// Answer is a complete answer to a request with a part.
type Answer struct {
	Part    ID
	Service string
	At      time.Time
}

// Table is what a member knows of the parts that were lost with endpoints. It does no I/O and is
// safe for concurrent use.
type Table struct {
	// size is the number of tracked parts; it is read without mu.
	size atomic.Int64

	mu    sync.Mutex
	parts map[ID]*state
	lost  map[string]*lostEndpoint
	// byTime holds the lost endpoints, the earliest first.
	byTime []*lostEndpoint
	// blamed holds the parts that were blamed when the table last changed.
	blamed map[ID]bool
	// serviceAnswered is when services last gave a complete answer.
	serviceAnswered map[string]time.Time
	answers         answerMemory
	// revision counts the changes of evidence.
	revision  uint64
	changes   []Change
	changed   chan struct{}
	expiredAt time.Time
}

// state is what is known of one part.
type state struct {
	// crashes holds the endpoints lost under the part.
	crashes map[string]*lostEndpoint
	// answered is when services last answered the part, told the latest of these answers that
	// all members know.
	answered, told map[string]time.Time
	// toldAt is when this member last told the others of an answer.
	toldAt time.Time
	// runs holds the ends of the runs that were granted here, by run.
	runs map[string]time.Time
	// trial is the run of the current trial, trialUntil its end, trialTold whether all members
	// are told of it.
	trial      string
	trialUntil time.Time
	trialTold  bool
	// findings were made at a revision.
	findings findings
	revision uint64
}

// lostEndpoint is an endpoint that has crashed.
type lostEndpoint struct {
	key, service string
	at           time.Time
	// runs holds the requests that ran there, by content.
	runs map[uint64]lostRun
}

// lostRun is a request that was lost with an endpoint.
type lostRun struct {
	request string
	parts   []ID
	trial   bool
	ranFor  time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		parts: make(map[ID]*state), lost: make(map[string]*lostEndpoint), blamed: make(map[ID]bool),
		serviceAnswered: make(map[string]time.Time), changed: make(chan struct{}),
	}
}

// Empty reports whether no part is tracked.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// LastAnswers returns which of the parts this member has answered, and how long ago the service last
// gave a complete answer, as a Crash at that time says it.
func (t *Table) LastAnswers(now time.Time, service string, parts []ID) (answered []Answered, serviceAnswered time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		if at := t.answers.at(now, answerKey{service, id}); !at.IsZero() {
			answered = append(answered, Answered{Part: id, Before: max(1, now.Sub(at))})
		}
	}
	if at := t.serviceAnswered[service]; !at.IsZero() {
		serviceAnswered = max(1, now.Sub(at))
	}
	return answered, serviceAnswered
}

// RecordCrash records a crash and reports whether it was news. tell are answers that the other
// members have to be told of.
func (t *Table) RecordCrash(now time.Time, c Crash) (isNew bool, tell []Answer) {
	if len(c.Parts) == 0 || c.Endpoint == "" || now.Sub(c.At) > blamedTime {
		return false, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	c.Parts = c.Parts[:min(len(c.Parts), maxParts)]
	e := t.lostLocked(c)
	isNew = t.addRunLocked(e, c)
	if !isNew {
		return false, nil
	}
	t.revision++
	t.mergeAnswersLocked(c)
	for _, id := range c.Parts {
		if a, ok := t.ownAnswerLocked(now, id, c.Service); ok {
			tell = append(tell, a)
		}
	}
	t.reportLocked(now, c.Parts)
	return true, tell
}

// lostLocked returns the record of a lost endpoint, a new one if there is none.
func (t *Table) lostLocked(c Crash) *lostEndpoint {
	e := t.lost[c.Endpoint]
	switch {
	case e == nil:
		if len(t.byTime) >= maxLost {
			t.forgetLostLocked(t.byTime[0])
		}
		e = &lostEndpoint{key: c.Endpoint, service: c.Service, at: c.At, runs: make(map[uint64]lostRun)}
		t.lost[c.Endpoint] = e
	case !c.At.Before(e.at):
		return e
	default:
		// Each message adds its delay, so that the earliest time is the best.
		t.byTime = slices.DeleteFunc(t.byTime, func(other *lostEndpoint) bool { return other == e })
		e.at = c.At
		t.revision++
	}
	at, _ := slices.BinarySearchFunc(t.byTime, e.at, func(other *lostEndpoint, at time.Time) int { return other.at.Compare(at) })
	t.byTime = slices.Insert(t.byTime, at, e)
	return e
}

// addRunLocked adds a request to a lost endpoint and reports whether it was news.
func (t *Table) addRunLocked(e *lostEndpoint, c Crash) bool {
	known, ok := e.runs[c.Content]
	if ok && (known.trial || !c.Trial) || !ok && len(e.runs) >= maxRunsPerCrash {
		return false
	}
	e.runs[c.Content] = lostRun{request: c.Request, parts: c.Parts, trial: c.Trial, ranFor: c.RanFor}
	for _, id := range c.Parts {
		s := t.stateLocked(id)
		if s.crashes[e.key] == nil && len(s.crashes) >= maxCrashesPerPart {
			s.dropOldest()
		}
		s.crashes[e.key] = e
	}
	return true
}

// stateLocked returns the state of a part, a new one if there is none.
func (t *Table) stateLocked(id ID) *state {
	s := t.parts[id]
	if s != nil {
		return s
	}
	if len(t.parts) >= maxTracked {
		t.evictLocked()
	}
	s = &state{
		crashes: make(map[string]*lostEndpoint), answered: make(map[string]time.Time), told: make(map[string]time.Time),
		runs: make(map[string]time.Time),
	}
	t.parts[id] = s
	t.size.Store(int64(len(t.parts)))
	return s
}

// mergeAnswersLocked merges what the member that saw a crash had answered before.
func (t *Table) mergeAnswersLocked(c Crash) {
	for _, a := range c.Answered {
		if s := t.parts[a.Part]; s != nil {
			s.merge(c.Service, c.At.Add(-a.Before))
		}
	}
	if c.ServiceAnswered <= 0 {
		return
	}
	if at := c.At.Add(-c.ServiceAnswered); at.After(t.serviceAnswered[c.Service]) {
		t.serviceAnswered[c.Service] = at
	}
}

// merge merges an answer that all members know and reports whether it was news.
func (s *state) merge(service string, at time.Time) bool {
	if at.After(s.told[service]) {
		s.told[service] = at
	}
	if !at.After(s.answered[service]) {
		return false
	}
	s.answered[service] = at
	return true
}

// ownAnswerLocked returns this member's latest answer to a part with several crashes, if no
// member has told of one.
func (t *Table) ownAnswerLocked(now time.Time, id ID, service string) (Answer, bool) {
	s := t.parts[id]
	if s == nil || len(s.crashes) < answersToldFrom || !s.told[service].IsZero() {
		return Answer{}, false
	}
	at := t.answers.at(now, answerKey{service, id})
	if at.IsZero() {
		return Answer{}, false
	}
	s.merge(service, at)
	return Answer{Part: id, Service: service, At: at}, true
}

// RecordAnswer records a complete answer of a service to a request with the parts, and returns
// the answers that the other members have to be told of.
func (t *Table) RecordAnswer(now time.Time, service string, parts []ID) (tell []Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceAnswered[service] = now
	for _, id := range parts {
		t.answers.add(now, answerKey{service, id})
	}
	if len(t.parts) == 0 {
		return nil
	}
	cleared := false
	for _, id := range parts {
		s := t.parts[id]
		if s == nil {
			continue
		}
		cleared = cleared || s.countLeft() > 0
		s.answered[service] = now
		if s.hasToTell(now, service) {
			tell = append(tell, Answer{Part: id, Service: service, At: now})
		}
	}
	if cleared {
		t.revision++
		t.reportLocked(now, parts)
	}
	return tell
}

// hasToTell reports whether the other members have to be told of an answer now: they may count a
// crash that it clears.
func (s *state) hasToTell(now time.Time, service string) bool {
	if now.Sub(s.toldAt) < tellInterval {
		return false
	}
	for _, e := range s.crashes {
		if e.service == service && e.at.After(s.told[service]) {
			s.toldAt, s.told[service] = now, now
			return true
		}
	}
	return false
}

// Merge merges an answer that another member has told of and reports whether it was news, here or
// for others.
func (t *Table) Merge(now time.Time, a Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.At.After(now) {
		a.At = now
	}
	if a.At.After(t.serviceAnswered[a.Service]) {
		t.serviceAnswered[a.Service] = a.At
	}
	s := t.parts[a.Part]
	if s == nil {
		// The crash that the answer clears may come later.
		t.answers.addAt(now, answerKey{a.Service, a.Part}, a.At)
		return false
	}
	before := s.told[a.Service]
	if !s.merge(a.Service, a.At) {
		// This member has a later answer itself, but the others may not know of any.
		return s.crashedBetween(a.Service, before, a.At)
	}
	t.revision++
	t.reportLocked(now, []ID{a.Part})
	return true
}

// crashedBetween reports whether a service lost an endpoint under the part between two times.
func (s *state) crashedBetween(service string, from, to time.Time) bool {
	for _, e := range s.crashes {
		if e.service == service && e.at.After(from) && e.at.Before(to) {
			return true
		}
	}
	return false
}
