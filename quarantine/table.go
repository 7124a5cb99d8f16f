package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/quarantine/part"
)

const (
	// maxContents bounds the contents that are remembered. A full table forgets those first
	// that count least: forgiven, then suspect, then quarantined, the oldest first.
	maxContents = 1 << 12
	// listWindow is how long after a broken connection the store's list may show that the
	// endpoint crashed: three heartbeats of the endpoint and a margin.
	listWindow = 6 * time.Second
	// probeTime is how long a verdict by a new connection takes at most.
	probeTime = time.Second
)

// Break is a connection that broke under a request.
type Break struct {
	Content Content
	// Parts are the parts of the request's prompt that other requests may share.
	Parts    []part.ID
	Endpoint Endpoint
	Request  string
	// RanFor is the time since the request was sent.
	RanFor time.Duration
	// Trial is true if the run was a trial of quarantined content, PartTrial if it was one of
	// blamed parts.
	Trial, PartTrial bool
	// Whole is true if the answer was complete, unless the endpoint crashed.
	Whole bool
	// Answered and ServiceAnswered are as in a Loss.
	Answered        []part.Answered
	ServiceAnswered time.Duration
	// TimedOut is true if the endpoint had been silent, so that no new connection tells
	// more.
	TimedOut bool
}

// Change is a change of a content's standing.
type Change struct {
	Content  Content
	From, To Standing
	// Crashes is the number of crashes that are not forgiven.
	Crashes int
	// TrialIn is the time to the next trial of quarantined content.
	TrialIn time.Duration
}

// Table is what a member knows of the content that was lost with endpoints, and of the runs
// of suspect content that it has granted. It does no I/O and is safe for concurrent use.
type Table struct {
	// drain is how long a leaving endpoint serves.
	drain time.Duration

	// size is the number of contents; it is read without mu.
	size atomic.Int64

	mu       sync.Mutex
	contents map[Content]*contentState
	// lossesAt holds the losses of each endpoint by content.
	lossesAt map[string]map[Content]*loss
	lost     map[string]*lostEndpoint
	view     *catalog.View
	// leavingSince and unlistedAt hold when endpoints began to leave and were no longer
	// listed.
	leavingSince, unlistedAt map[string]time.Time
	served                   servedMemory
	watchers                 map[Content]*watchers
	changes                  []Change
	expiredAt                time.Time
}

// NewTable returns an empty table. drain is how long a leaving endpoint serves.
func NewTable(drain time.Duration) *Table {
	return &Table{
		drain:        drain,
		contents:     make(map[Content]*contentState),
		lossesAt:     make(map[string]map[Content]*loss),
		lost:         make(map[string]*lostEndpoint),
		leavingSince: make(map[string]time.Time),
		unlistedAt:   make(map[string]time.Time),
		watchers:     make(map[Content]*watchers),
	}
}

// Empty reports whether nothing is remembered of any content.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// State is a content's standing.
type State struct {
	Standing Standing
	// RefusedFor is the time to the next trial of quarantined content; 0 if it is due.
	RefusedFor time.Duration
	// MaxRuns is how many copies of suspect content may run at the same time.
	MaxRuns int
}

// State returns the standing of a content.
func (t *Table) State(now time.Time, content Content) State {
	if t.Empty() {
		return State{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[content]
	if c == nil {
		return State{}
	}
	return t.stateLocked(now, content, c)
}

func (t *Table) stateLocked(now time.Time, content Content, c *contentState) State {
	s := State{Standing: c.currentStanding(now)}
	switch s.Standing {
	case Suspect:
		s.MaxRuns = c.maxRuns(now)
	case Quarantined:
		s.RefusedFor = max(0, c.trialAt(t.ambiguousLocked(now, content, c)).Sub(now))
	}
	return s
}

// RecordBreak records a broken connection. isNew is false if the loss was known. The verdict
// of the loss is Pending if it has to be found out.
func (t *Table) RecordBreak(now time.Time, b Break) (l Loss, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contentLocked(now, b.Content)
	if known := c.losses[b.Endpoint.Key]; known != nil {
		return known.Loss, false
	}
	added := &loss{at: now, whole: b.Whole, Loss: Loss{
		Content: b.Content, Endpoint: b.Endpoint.Key, Service: b.Endpoint.Service, Request: b.Request,
		RanFor: b.RanFor, Trial: b.Trial, Served: t.served.has(now, b.Content),
		Parts: b.Parts, PartTrial: b.PartTrial, Answered: b.Answered, ServiceAnswered: b.ServiceAnswered,
	}}
	if b.TimedOut {
		added.Verdict, added.Evidence = t.silentLocked(now, added.Endpoint, EvidenceTimeout)
	}
	if t.replacedLocked(added.Endpoint) {
		added.Verdict, added.Evidence = Crashed, EvidenceReplaced
	}
	t.addLocked(now, c, added)
	return added.Loss, true
}

// silentLocked returns the verdict on an endpoint that does not answer and whose connection
// broke at a time. The store's list may decide it.
func (t *Table) silentLocked(broke time.Time, endpoint string, evidence Evidence) (Verdict, Evidence) {
	switch {
	case t.view == nil || t.view.Endpoint(endpoint) != nil:
		return Silent, evidence
	case t.endedAsPlannedLocked(broke, endpoint):
		return Alive, EvidencePlanned
	}
	return Crashed, EvidenceUnlisted
}

// replacedLocked reports whether another process is listed under the endpoint's ID.
func (t *Table) replacedLocked(endpoint string) bool {
	return t.view != nil && t.view.Endpoint(endpoint) == nil && t.view.EndpointByID(catalog.IDOfKey(endpoint)) != nil
}

// addLocked adds a loss to a content.
func (t *Table) addLocked(now time.Time, c *contentState, l *loss) {
	if len(c.losses) >= maxLossesPerContent {
		t.forgetLossLocked(l.Content, c.dropOldest())
	}
	c.losses[l.Endpoint] = l
	if t.lossesAt[l.Endpoint] == nil {
		t.lossesAt[l.Endpoint] = make(map[Content]*loss)
	}
	t.lossesAt[l.Endpoint][l.Content] = l
	t.changedLocked(now, c, l)
}

// changedLocked handles a change of a loss.
func (t *Table) changedLocked(now time.Time, c *contentState, l *loss) {
	if l.Verdict == Crashed {
		t.recordCrashLocked(now, l)
	}
	t.reportLocked(now, l.Content, c)
}

// reportLocked records a change of the content's standing and wakes those who wait for it.
func (t *Table) reportLocked(now time.Time, content Content, c *contentState) {
	t.notifyLocked(content)
	s := t.stateLocked(now, content, c)
	if s.Standing == c.standing {
		return
	}
	crashed, _ := c.weights(now)
	t.changes = append(t.changes, Change{
		Content: content, From: c.standing, To: s.Standing,
		Crashes: (crashed + answersToForgive - 1) / answersToForgive, TrialIn: s.RefusedFor,
	})
	c.standing = s.Standing
}

// TakeChanges returns the changes of standings since the last call.
func (t *Table) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}

// Resolved is a loss that has got a verdict, and the time that it took.
type Resolved struct {
	Loss
	// Known is true if other members know the loss and have to be told.
	Known bool
	// Whole is true if the answer was complete, unless the endpoint crashed.
	Whole bool
}

// Resolve records what a new connection to an endpoint has shown that was opened at opened,
// and returns the losses without a verdict that it decides. more is true if connections have
// broken since.
func (t *Table) Resolve(now, opened time.Time, endpoint string, verdict Verdict, evidence Evidence) (resolved []Resolved, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	resolved = t.decideLocked(now, endpoint, func(l *loss) (Verdict, Evidence) {
		switch {
		case l.Verdict != Pending:
			return l.Verdict, l.Evidence
		case l.at.After(opened) && verdict != Crashed:
			more = true
			return l.Verdict, l.Evidence
		case verdict == Silent:
			return t.silentLocked(l.at, endpoint, evidence)
		case verdict == Crashed && t.endedAsPlannedLocked(l.at, endpoint):
			return Alive, EvidencePlanned
		}
		return verdict, evidence
	})
	return resolved, more
}

// decideLocked gives verdicts to the losses of an endpoint and returns those that changed.
func (t *Table) decideLocked(now time.Time, endpoint string, decide func(*loss) (Verdict, Evidence)) []Resolved {
	var resolved []Resolved
	for content, l := range t.lossesAt[endpoint] {
		verdict, evidence := decide(l)
		if verdict <= l.Verdict {
			continue
		}
		l.Verdict, l.Evidence = verdict, evidence
		known := l.shared
		t.changedLocked(now, t.contents[content], l)
		resolved = append(resolved, Resolved{Loss: l.export(now), Known: known, Whole: l.whole})
	}
	return resolved
}

// SetView records a new list of endpoints and returns the losses that it decides.
func (t *Table) SetView(now time.Time, view *catalog.View) []Resolved {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordUnlistedLocked(now, view)
	t.recordLeavingLocked(now, view)
	t.view = view
	var resolved []Resolved
	for endpoint := range t.lossesAt {
		if view.Endpoint(endpoint) != nil {
			continue
		}
		resolved = append(resolved, t.decideLocked(now, endpoint, func(l *loss) (Verdict, Evidence) {
			return t.listedVerdictLocked(now, l)
		})...)
	}
	return resolved
}

// listedVerdictLocked returns the verdict on a loss whose endpoint is not listed.
func (t *Table) listedVerdictLocked(now time.Time, l *loss) (Verdict, Evidence) {
	switch {
	case now.Sub(l.at) > listWindow:
		return l.Verdict, l.Evidence
	case t.replacedLocked(l.Endpoint):
		return Crashed, EvidenceReplaced
	case l.Verdict == Silent || l.Verdict == Pending && now.Sub(l.at) > probeTime:
		return t.silentLocked(l.at, l.Endpoint, l.Evidence)
	}
	return l.Verdict, l.Evidence
}

// RecordAnswer records a complete answer to content and returns the losses of which other
// members have to be told. trial is true if the run was a trial.
func (t *Table) RecordAnswer(now time.Time, content Content, trial bool) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.add(now, content)
	c := t.contents[content]
	if c == nil {
		return nil
	}
	var told []Loss
	for _, l := range c.answered(trial) {
		told = append(told, l.export(now))
	}
	if len(told) > 0 {
		t.reportLocked(now, content, c)
	}
	return told
}

// contentLocked returns the state of a content, a new one if there is none.
func (t *Table) contentLocked(now time.Time, content Content) *contentState {
	t.expireLocked(now)
	c := t.contents[content]
	if c != nil {
		return c
	}
	if len(t.contents) >= maxContents {
		t.evictLocked(now)
	}
	c = &contentState{losses: make(map[string]*loss), runs: make(map[string]time.Time)}
	t.contents[content] = c
	t.size.Store(int64(len(t.contents)))
	return c
}
