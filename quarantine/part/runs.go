package part

import (
	"slices"
	"time"
)

const (
	// verdictTime is how long after a run without an answer its place is kept: the crash may
	// not be known yet.
	verdictTime = 300 * time.Millisecond
	// minRunTime is how long a run counts at least. One that has lasted twice as long as any
	// before its crash leaves its place to the next.
	minRunTime = 500 * time.Millisecond
	// limitedFrom is the number of crashes of a part from which few requests with it run at a
	// time, if it was never answered.
	limitedFrom = 2
	// besideTrialDelay is the time after which a request that came beside a trial may come
	// again.
	besideTrialDelay = time.Second
)

// Ruling says what may be done with a request.
type Ruling struct {
	// Blamed are the parts for which the request is refused, or tried if RefusedFor is 0.
	Blamed     []ID
	RefusedFor time.Duration
	// Limited is true if few requests with a part of this one may run at a time.
	Limited bool
}

// Judge returns what may be done with a request to a service.
func (t *Table) Judge(now time.Time, service string, parts []ID) Ruling {
	if t.Empty() || len(parts) == 0 {
		return Ruling{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	return t.judgeLocked(now, service, parts)
}

func (t *Table) judgeLocked(now time.Time, service string, parts []ID) Ruling {
	r := Ruling{Blamed: t.blamedForLocked(service, parts)}
	if len(r.Blamed) == 0 {
		r.Limited = slices.ContainsFunc(parts, func(id ID) bool { return t.maxRunsLocked(id) > 0 })
		return r
	}
	if t.separableLocked(r.Blamed) {
		return r
	}
	for _, id := range r.Blamed {
		s := t.parts[id]
		r.RefusedFor = max(r.RefusedFor, t.trialAtLocked(id, s).Sub(now))
		if now.Before(s.trialUntil) {
			r.RefusedFor = max(r.RefusedFor, besideTrialDelay)
		}
	}
	return r
}

// maxRunsLocked returns how many requests with a part may run at a time: as many as may crash
// before it is blamed. 0 means no limit.
func (t *Table) maxRunsLocked(id ID) int {
	s := t.parts[id]
	if s == nil || len(s.crashes) < limitedFrom {
		return 0
	}
	f := t.findingsLocked(id, s)
	if f.answeredBefore || len(f.counted) < limitedFrom {
		return 0
	}
	return max(1, crashLimit-len(f.counted))
}

// Outcome is the outcome of asking for a run.
type Outcome int

// The outcomes.
const (
	// Granted runs may begin; they have to be ended.
	Granted Outcome = iota
	// Waiting means that as many requests run as may.
	Waiting
	// Refused means that a part is blamed.
	Refused
)

// Permission says whether a run may begin.
type Permission struct {
	Outcome Outcome
	// Trial are the blamed parts of which the run is a trial.
	Trial []ID
	// RetryAfter is the time to the next trial of parts that are refused.
	RetryAfter time.Duration
}

// Begin asks for a run of a request, which ends with End and at the latest at a time.
func (t *Table) Begin(now time.Time, service string, parts []ID, run string, latest time.Time) Permission {
	if t.Empty() || len(parts) == 0 {
		return Permission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.judgeLocked(now, service, parts)
	switch {
	case r.RefusedFor > 0:
		return Permission{Outcome: Refused, RetryAfter: r.RefusedFor}
	case len(r.Blamed) > 0:
		return t.beginTrialLocked(now, r.Blamed, run, latest)
	}
	limited := make(map[ID]*state)
	for _, id := range parts {
		most := t.maxRunsLocked(id)
		if most == 0 {
			continue
		}
		s := t.parts[id]
		if s.running(now) >= most {
			return Permission{Outcome: Waiting}
		}
		limited[id] = s
	}
	for id, s := range limited {
		until := now.Add(s.runTime(id))
		if latest.Before(until) {
			until = latest
		}
		s.runs[run] = until
	}
	return Permission{}
}

// beginTrialLocked grants a trial of blamed parts unless there is one. Requests that are refused
// beside it do not come here.
func (t *Table) beginTrialLocked(now time.Time, blamed []ID, run string, latest time.Time) Permission {
	for _, id := range blamed {
		if now.Before(t.parts[id].trialUntil) {
			// The request may be innocent and waits for the end of the trial.
			return Permission{Outcome: Waiting}
		}
	}
	for _, id := range blamed {
		s := t.parts[id]
		s.trial, s.trialUntil, s.trialTold = run, latest, false
	}
	return Permission{Trial: blamed}
}

// NoteTrial records a trial that a member makes for a time, and reports whether others have to be
// told of it.
func (t *Table) NoteTrial(now time.Time, id ID, run string, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.parts[id]
	switch {
	case s == nil || left <= 0 || s.trial == run && s.trialTold:
		return false
	case s.trial != run:
		s.trial, s.trialUntil = run, now.Add(left)
	}
	s.trialTold = true
	return true
}

// End ends a run that Begin granted. answered is true if it gave a complete answer.
func (t *Table) End(now time.Time, parts []ID, run string, answered bool) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now
	if !answered {
		until = now.Add(verdictTime)
	}
	ended := false
	for _, id := range parts {
		s := t.parts[id]
		if s == nil {
			continue
		}
		if at, ok := s.runs[run]; ok && until.Before(at) {
			s.runs[run] = until
			ended = true
		}
		if s.trial == run && until.Before(s.trialUntil) {
			s.trialUntil = until
			ended = true
		}
	}
	if ended {
		t.notifyLocked()
	}
}

// Cancel ends a run that Begin granted and that did not begin.
func (t *Table) Cancel(parts []ID, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		s := t.parts[id]
		if s == nil {
			continue
		}
		delete(s.runs, run)
		if s.trial == run {
			s.trialUntil = time.Time{}
		}
	}
}

// running returns the number of granted runs that have neither ended nor lasted long enough.
func (s *state) running(now time.Time) int {
	for run, until := range s.runs {
		if !now.Before(until) {
			delete(s.runs, run)
		}
	}
	return len(s.runs)
}

// runTime returns how long a run with the part that begins now may yet crash its endpoint, as far
// as the runs with it that were lost so far tell.
func (s *state) runTime(id ID) time.Duration {
	longest := minRunTime
	for _, e := range s.crashes {
		for _, r := range e.runs {
			if slices.Contains(r.parts, id) {
				longest = max(longest, 2*r.ranFor)
			}
		}
	}
	return longest
}
