package part

import (
	"cmp"
	"slices"
	"time"
)

const (
	// clearedTime is how long a part is remembered of which no crash is left: messages that are
	// older than its answers may still arrive. suspectTime is how long one is remembered after
	// its latest crash, blamedTime how long one that is blamed: longer than the longest wait for
	// a trial.
	clearedTime = 2 * time.Minute
	suspectTime = 20 * time.Minute
	blamedTime  = 2 * lateTrialDelay
	// expireInterval is the interval at which old parts are looked for.
	expireInterval = time.Second
	// evictShare is the part of a full table that is forgotten at once, as a divisor.
	evictShare = 8
)

// dropOldest forgets the part's oldest crash.
func (s *state) dropOldest() {
	var oldest *lostEndpoint
	for _, e := range s.crashes {
		if oldest == nil || e.at.Before(oldest.at) {
			oldest = e
		}
	}
	delete(s.crashes, oldest.key)
}

// latest returns the time of the latest crash.
func (s *state) latest() time.Time {
	var latest time.Time
	for _, e := range s.crashes {
		if e.at.After(latest) {
			latest = e.at
		}
	}
	return latest
}

// expireLocked forgets parts whose crashes are old.
func (t *Table) expireLocked(now time.Time) {
	if now.Sub(t.expiredAt) < expireInterval {
		return
	}
	t.expiredAt = now
	for id, s := range t.parts {
		keep := suspectTime
		switch {
		case t.blamed[id]:
			keep = blamedTime
		case s.countLeft() == 0:
			keep = clearedTime
		}
		if now.Sub(s.latest()) > keep {
			t.forgetLocked(id)
		}
	}
	for len(t.byTime) > 0 && now.Sub(t.byTime[0].at) > blamedTime {
		t.forgetLostLocked(t.byTime[0])
	}
}

// evictLocked forgets the parts that count least, evictShare of all: those with few crashes, the
// oldest first.
func (t *Table) evictLocked() {
	type rank struct {
		id     ID
		left   int
		latest time.Time
	}
	ranks := make([]rank, 0, len(t.parts))
	for id, s := range t.parts {
		ranks = append(ranks, rank{id: id, left: s.countLeft(), latest: s.latest()})
	}
	slices.SortFunc(ranks, func(a, b rank) int { return cmp.Or(cmp.Compare(a.left, b.left), a.latest.Compare(b.latest)) })
	for _, r := range ranks[:len(ranks)/evictShare] {
		t.forgetLocked(r.id)
	}
}

// forgetLocked forgets a part.
func (t *Table) forgetLocked(id ID) {
	delete(t.parts, id)
	delete(t.blamed, id)
	t.revision++
	t.size.Store(int64(len(t.parts)))
}

// forgetLostLocked forgets a lost endpoint.
func (t *Table) forgetLostLocked(e *lostEndpoint) {
	delete(t.lost, e.key)
	t.byTime = slices.DeleteFunc(t.byTime, func(other *lostEndpoint) bool { return other == e })
	for _, r := range e.runs {
		for _, id := range r.parts {
			if s := t.parts[id]; s != nil {
				delete(s.crashes, e.key)
			}
		}
	}
	t.revision++
}
