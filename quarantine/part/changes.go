package part

import (
	"maps"
	"slices"
	"time"
)

// Change is a change of what a part is blamed for.
type Change struct {
	Part   ID
	Blamed bool
	// Endpoints are those lost under the part that no answer clears; Others are the other parts
	// that are blamed for the same ones.
	Endpoints []string
	Others    []ID
	// Spread is the time from the first to the last of the crashes that count against the part.
	Spread time.Duration
	// AnsweredAgo is the time since the part was last answered; 0 if it never was, as far as is
	// known.
	AnsweredAgo time.Duration
	// TrialIn is the time to the next trial.
	TrialIn time.Duration
}

// reportLocked records which parts are blamed now and were not, or no longer. touched are the
// parts on which there is new evidence.
func (t *Table) reportLocked(now time.Time, touched []ID) {
	check := slices.Concat(touched, slices.Collect(maps.Keys(t.blamed)))
	for _, id := range touched {
		check = append(check, t.companionsLocked(id)...)
	}
	slices.Sort(check)
	var changed []ID
	for _, id := range slices.Compact(check) {
		s := t.parts[id]
		blamed := s != nil && t.blamedLocked(id, s)
		if blamed == t.blamed[id] {
			continue
		}
		changed = append(changed, id)
		if blamed {
			t.blamed[id] = true
			continue
		}
		delete(t.blamed, id)
	}
	for _, id := range changed {
		t.changes = append(t.changes, t.changeLocked(now, id))
	}
	if len(changed) > 0 {
		t.notifyLocked()
	}
}

// companionsLocked returns the parts that a part may explain: those that were lost with it often
// enough to be blamed, if it suffices itself or did.
func (t *Table) companionsLocked(id ID) []ID {
	s := t.parts[id]
	if s == nil || len(s.crashes) < crashLimit || !t.blamed[id] && !t.findingsLocked(id, s).enough {
		return nil
	}
	var companions []ID
	for _, e := range s.crashes {
		for _, r := range e.runs {
			for _, other := range r.parts {
				if o := t.parts[other]; o != nil && len(o.crashes) >= crashLimit {
					companions = append(companions, other)
				}
			}
		}
	}
	slices.Sort(companions)
	return slices.Compact(companions)
}

// changeLocked describes what a part is blamed for now.
func (t *Table) changeLocked(now time.Time, id ID) Change {
	c := Change{Part: id, Blamed: t.blamed[id]}
	s := t.parts[id]
	if s == nil {
		return c
	}
	f := t.findingsLocked(id, s)
	left := f.left
	if n := len(f.counted); n > 0 {
		c.Spread = f.counted[n-1].at.Sub(f.counted[0].at)
	}
	for _, e := range left {
		c.Endpoints = append(c.Endpoints, e.key)
	}
	for _, at := range s.answered {
		if ago := now.Sub(at); c.AnsweredAgo == 0 || ago < c.AnsweredAgo {
			c.AnsweredAgo = max(1, ago)
		}
	}
	if !c.Blamed {
		return c
	}
	for other := range t.blamed {
		if other != id && slices.ContainsFunc(left, func(e *lostEndpoint) bool { return t.parts[other].crashes[e.key] != nil }) {
			c.Others = append(c.Others, other)
		}
	}
	slices.Sort(c.Others)
	c.TrialIn = t.trialAtLocked(id, s).Sub(now)
	return c
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}

// Changed returns a channel that is closed when a part becomes blamed or is no longer, or a run
// ends.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Explains reports whether a blamed part explains why an endpoint was lost.
func (t *Table) Explains(endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lost[endpoint]
	if e == nil {
		return false
	}
	for id := range t.blamed {
		if s := t.parts[id]; s != nil && s.crashes[endpoint] != nil && e.at.After(s.answered[e.service]) {
			return true
		}
	}
	return false
}

// Evidence returns up to most crashes for which parts are blamed, the latest first. ids limits
// it to the crashes of these parts; nil means all.
func (t *Table) Evidence(ids []ID, most int) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []Crash
	for i := len(t.byTime) - 1; i >= 0 && len(crashes) < most; i-- {
		e := t.byTime[i]
		for content, r := range e.runs {
			if slices.ContainsFunc(r.parts, func(id ID) bool { return t.blamed[id] && (ids == nil || slices.Contains(ids, id)) }) {
				crashes = append(crashes, t.evidenceLocked(e, content, r))
			}
		}
	}
	return crashes[:min(most, len(crashes))]
}

// evidenceLocked describes a crash for another member.
func (t *Table) evidenceLocked(e *lostEndpoint, content uint64, r lostRun) Crash {
	c := Crash{
		Endpoint: e.key, Service: e.service, Content: content, Request: r.request, Parts: r.parts, Trial: r.trial, RanFor: r.ranFor, At: e.at,
	}
	for _, id := range r.parts {
		if s := t.parts[id]; s != nil && !s.answered[e.service].IsZero() {
			c.Answered = append(c.Answered, Answered{Part: id, Before: e.at.Sub(s.answered[e.service])})
		}
	}
	return c
}
