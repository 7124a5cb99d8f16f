package part

import (
	"slices"
	"time"
)

const (
	// trialDelay is the time from the latest crash to the first trial. It doubles with each trial
	// that crashes an endpoint; after maxTrials the part is tried once in a lateTrialDelay.
	trialDelay     = time.Minute
	maxTrials      = 3
	lateTrialDelay = time.Hour
)

// blamedLocked reports whether a part is blamed.
func (t *Table) blamedLocked(id ID, s *state) bool {
	if len(s.crashes) < crashLimit {
		return false
	}
	f := t.findingsLocked(id, s)
	if !f.enough {
		return false
	}
	seen := map[ID]bool{id: true}
	for _, e := range f.counted {
		for _, r := range e.runs {
			for _, other := range r.parts {
				if seen[other] {
					continue
				}
				seen[other] = true
				if t.explainsLocked(other, f) {
					return false
				}
			}
		}
	}
	return true
}

// explainsLocked reports whether another part explains the findings on a part better: it is
// suspected itself, nearly all of the crashes are its own, and it was never answered while the
// part was, or has more crashes.
func (t *Table) explainsLocked(other ID, f *findings) bool {
	s := t.parts[other]
	if s == nil || len(s.crashes) < crashLimit {
		return false
	}
	o := t.findingsLocked(other, s)
	if !o.enough || o.answeredBefore && !f.answeredBefore {
		return false
	}
	if o.answeredBefore == f.answeredBefore && len(o.left) <= len(f.left) {
		return false
	}
	unexplained := 0
	for _, e := range f.counted {
		if s.crashes[e.key] == nil {
			unexplained++
		}
	}
	return unexplained < crashLimit
}

// blamedAmongLocked returns the parts that are blamed.
func (t *Table) blamedAmongLocked(parts []ID) []ID {
	var blamed []ID
	for _, id := range parts {
		if s := t.parts[id]; s != nil && t.blamedLocked(id, s) {
			blamed = append(blamed, id)
		}
	}
	return blamed
}

// blamedForLocked returns the parts that are blamed at a service. A part that the service
// answers, and under which it lost nothing since, is not blamed there.
func (t *Table) blamedForLocked(service string, parts []ID) []ID {
	return slices.DeleteFunc(t.blamedAmongLocked(parts), func(id ID) bool {
		s := t.parts[id]
		return !s.answered[service].IsZero() &&
			!slices.ContainsFunc(s.findings.left, func(e *lostEndpoint) bool { return e.service == service })
	})
}

// trialAtLocked returns when the next trial of a blamed part is due.
func (t *Table) trialAtLocked(id ID, s *state) time.Time {
	f := t.findingsLocked(id, s)
	latest := f.left[len(f.left)-1].at
	failed := f.failedTrials(id)
	if failed >= maxTrials {
		return latest.Add(lateTrialDelay)
	}
	return latest.Add(trialDelay << failed)
}

// failedTrials returns the number of trials of the part that crashed their endpoints.
func (f *findings) failedTrials(id ID) int {
	n := 0
	for _, e := range f.left {
		for _, r := range e.runs {
			if r.trial && slices.Contains(r.parts, id) {
				n++
				break
			}
		}
	}
	return n
}

// separableLocked reports whether a request with these blamed parts can tell them from another
// blamed part with which they came in all of their crashes.
func (t *Table) separableLocked(blamed []ID) bool {
	for other := range t.blamed {
		s := t.parts[other]
		if s == nil || slices.Contains(blamed, other) || !t.blamedLocked(other, s) {
			continue
		}
		if !slices.ContainsFunc(blamed, func(id ID) bool { return !t.coveredLocked(id, s) }) {
			return true
		}
	}
	return false
}

// coveredLocked reports whether all crashes of a part are also those of another one.
func (t *Table) coveredLocked(id ID, other *state) bool {
	s := t.parts[id]
	return !slices.ContainsFunc(t.findingsLocked(id, s).left, func(e *lostEndpoint) bool { return other.crashes[e.key] == nil })
}
