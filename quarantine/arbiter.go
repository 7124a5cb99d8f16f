package quarantine

import (
	"time"

	"github.com/mangostage/mangostage/quarantine/part"
)

// Permission says whether a run may begin.
type Permission struct {
	Outcome Outcome `json:"outcome"`
	// Trial is true if the run is a trial of quarantined content.
	Trial bool `json:"trial,omitempty"`
	// Parts are the blamed parts for which the run is refused or of which it is a trial.
	Parts []part.ID `json:"parts,omitempty"`
	// RetryAfter is the time to the next trial of content that is refused.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Outcome is the outcome of asking for a run.
type Outcome int

// The outcomes.
const (
	// Granted runs may begin; they have to be ended.
	Granted Outcome = iota
	// Waiting means that as many copies run as may, or that verdicts are awaited.
	Waiting
	// Refused means that the content is quarantined.
	Refused
)

// Begin asks for a run of a content, which ends with End and at the latest at a time.
func (t *Table) Begin(now time.Time, content Content, run string, latest time.Time) Permission {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[content]
	if c == nil {
		return Permission{}
	}
	s := t.stateLocked(now, content, c)
	most := s.MaxRuns
	switch {
	case s.Standing == Clear:
		return Permission{}
	case s.Standing == Quarantined && s.RefusedFor > 0:
		return Permission{Outcome: Refused, RetryAfter: s.RefusedFor}
	case s.Standing == Quarantined && c.awaitsVerdict(now):
		return Permission{Outcome: Waiting}
	case s.Standing == Quarantined:
		most = 1
	}
	if c.running(now) >= most {
		return Permission{Outcome: Waiting}
	}
	until := now.Add(c.runTime())
	if latest.Before(until) {
		until = latest
	}
	c.runs[run] = until
	return Permission{Trial: s.Standing == Quarantined}
}

// End ends a run that Begin granted.
func (t *Table) End(content Content, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[content]
	if c == nil {
		return
	}
	if _, ok := c.runs[run]; ok {
		delete(c.runs, run)
		t.notifyLocked(content)
	}
}
