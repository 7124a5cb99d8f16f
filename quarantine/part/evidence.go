package part

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"
)

const (
	// crashLimit is the number of crashes from which a part is blamed.
	crashLimit = 5
	// maxCrashesPerContent is how many crashes of one content count for its parts.
	maxCrashesPerContent = 2
	// atOnceTime is the time within which crashes of one part do not suffice alone: a loss of
	// power looks like that.
	atOnceTime = 50 * time.Millisecond
	// outageWindow is the time between crashes that may have one cause, outageOthers the
	// number of endpoints without the part that show such a cause.
	outageWindow = 100 * time.Millisecond
	outageOthers = 2
	// outageTime is how long after a crash in an outage no other one in an outage counts.
	outageTime = time.Second
	// spreadTime is the time between crashes that count for a part which had been answered.
	spreadTime = 200 * time.Millisecond
)

// findings are what the evidence says of a part.
type findings struct {
	// left are the crashes that no answer clears, counted those of them that count, both the
	// earliest first.
	left, counted []*lostEndpoint
	// answeredBefore is true if the part had been answered.
	answeredBefore bool
	// enough is true if the crashes suffice to blame the part, unless another one explains
	// them.
	enough bool
}

// left returns the crashes that no answer clears, the earliest first.
func (s *state) left() []*lostEndpoint {
	var left []*lostEndpoint
	for _, e := range s.crashes {
		if e.at.After(s.answered[e.service]) {
			left = append(left, e)
		}
	}
	slices.SortFunc(left, func(a, b *lostEndpoint) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key, b.key)) })
	return left
}

// countLeft returns the number of crashes that no answer clears.
func (s *state) countLeft() int {
	n := 0
	for _, e := range s.crashes {
		if e.at.After(s.answered[e.service]) {
			n++
		}
	}
	return n
}

// answeredBefore reports whether a service under which the part was lost had answered it.
func (s *state) answeredBefore() bool {
	for _, e := range s.crashes {
		if !s.answered[e.service].IsZero() {
			return true
		}
	}
	return false
}

// findingsLocked returns the findings on a part at the current revision.
func (t *Table) findingsLocked(id ID, s *state) *findings {
	if s.revision == t.revision {
		return &s.findings
	}
	f := findings{left: s.left(), answeredBefore: s.answeredBefore()}
	f.counted = f.left
	if len(f.left) >= limitedFrom {
		f.counted = withoutRepeats(id, f.left)
	}
	if f.enough = t.sufficeLocked(f); f.enough {
		f.counted = t.withoutOutagesLocked(id, f.counted)
		f.enough = t.sufficeLocked(f)
	}
	s.findings, s.revision = f, t.revision
	return &s.findings
}

// sufficeLocked reports whether the crashes that count suffice to blame a part.
func (t *Table) sufficeLocked(f findings) bool {
	n := len(f.counted)
	switch {
	case n < crashLimit, f.counted[n-1].at.Sub(f.counted[0].at) < atOnceTime:
		return false
	case f.answeredBefore:
		return t.spreadLocked(f.counted)
	}
	return true
}

// withoutRepeats returns the crashes that count although a content counts for only
// maxCrashesPerContent of them: content that crashes endpoints by itself does not accuse its
// parts.
func withoutRepeats(id ID, left []*lostEndpoint) []*lostEndpoint {
	var counted []*lostEndpoint
	used := make(map[uint64]int)
	for _, e := range left {
		for _, content := range slices.Sorted(maps.Keys(e.runs)) {
			if used[content] < maxCrashesPerContent && slices.Contains(e.runs[content].parts, id) {
				used[content]++
				counted = append(counted, e)
				break
			}
		}
	}
	return counted
}

// withoutOutagesLocked returns the crashes that count although those in an outage, at the same
// time as others without the part, count as one.
func (t *Table) withoutOutagesLocked(id ID, left []*lostEndpoint) []*lostEndpoint {
	var counted []*lostEndpoint
	var outage time.Time
	for _, e := range left {
		if t.inOutageLocked(id, e) {
			if !outage.IsZero() && e.at.Sub(outage) < outageTime {
				continue
			}
			outage = e.at
		}
		counted = append(counted, e)
	}
	return counted
}

// inOutageLocked reports whether endpoints of the same service were lost at the time of a crash
// that neither the part nor another suspect explains.
func (t *Table) inOutageLocked(id ID, e *lostEndpoint) bool {
	own, others := t.parts[id].crashes, 0
	for _, other := range t.lostAroundLocked(e.at) {
		if own[other.key] == nil && other.service == e.service && !t.suspectedLocked(id, other) {
			if others++; others >= outageOthers {
				return true
			}
		}
	}
	return false
}

// lostAroundLocked returns the endpoints that were lost within outageWindow of a time.
func (t *Table) lostAroundLocked(at time.Time) []*lostEndpoint {
	from := sort.Search(len(t.byTime), func(i int) bool { return !t.byTime[i].at.Before(at.Add(-outageWindow)) })
	to := sort.Search(len(t.byTime), func(i int) bool { return t.byTime[i].at.After(at.Add(outageWindow)) })
	return t.byTime[from:to]
}

// suspectedLocked reports whether an endpoint was lost under another part that was never
// answered and has crashLimit crashes.
func (t *Table) suspectedLocked(id ID, e *lostEndpoint) bool {
	for _, r := range e.runs {
		for _, other := range r.parts {
			s := t.parts[other]
			if other != id && s != nil && s.countLeft() >= crashLimit && !s.answeredBefore() {
				return true
			}
		}
	}
	return false
}

// spreadLocked reports whether crashLimit crashes are spread over time, and the service answered
// other requests in between: no outage and no software that crashes on everything.
func (t *Table) spreadLocked(counted []*lostEndpoint) bool {
	spread := 0
	var last time.Time
	for _, e := range counted {
		if last.IsZero() || e.at.Sub(last) >= spreadTime {
			spread++
			last = e.at
		}
	}
	middle := counted[crashLimit/2]
	return spread >= crashLimit && t.serviceAnswered[middle.service].After(middle.at)
}
