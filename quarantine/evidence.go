package quarantine

import (
	"time"

	"github.com/mangostage/mangostage/catalog"
)

const (
	// outageWindow is the time between losses of endpoints that may have one cause.
	outageWindow = time.Second
	// lapseTime is how long after its end an endpoint may still be listed.
	lapseTime = 8 * time.Second
	// lostTime is how long a lost endpoint is remembered.
	lostTime = 2 * maxTrialDelay
	// maxLost bounds the lost endpoints that are remembered.
	maxLost = 1 << 12
)

// lostEndpoint is an endpoint whose process has ended without having been leaving.
type lostEndpoint struct {
	// at is when its connections broke or, if unlisted, when it was no longer listed.
	at       time.Time
	unlisted bool
}

// mayShareCause reports whether the endpoint may have been lost by the same cause as one
// that was lost at the time.
func (e *lostEndpoint) mayShareCause(at time.Time) bool {
	passed := e.at.Sub(at)
	if e.unlisted {
		return passed >= -outageWindow && passed <= lapseTime
	}
	return passed >= -outageWindow && passed <= outageWindow
}

// lostLocked returns the record of a lost endpoint, a new one if there is none; nil if there
// are too many.
func (t *Table) lostLocked(now time.Time, endpoint string, at time.Time) *lostEndpoint {
	e := t.lost[endpoint]
	if e != nil {
		return e
	}
	if len(t.lost) >= maxLost {
		t.expireLostLocked(now)
	}
	if len(t.lost) >= maxLost {
		return nil
	}
	e = &lostEndpoint{at: at}
	t.lost[endpoint] = e
	return e
}

// recordCrashLocked records that an endpoint was lost under a content.
func (t *Table) recordCrashLocked(now time.Time, l *loss) {
	e := t.lostLocked(now, l.Endpoint, l.at)
	if e == nil {
		return
	}
	if e.unlisted {
		e.at, e.unlisted = l.at, false
	}
	l.ServiceLost = l.ServiceLost || t.serviceLostLocked(l.Service)
}

// serviceLostLocked reports whether all listed endpoints of a service that take work are
// lost.
func (t *Table) serviceLostLocked(service string) bool {
	if t.view == nil {
		return false
	}
	for _, e := range t.view.Endpoints(service) {
		if t.lost[e.Key()] == nil && e.TakesWork() {
			return false
		}
	}
	return true
}

// ambiguousLocked reports whether the latest crash of a content may have another cause.
func (t *Table) ambiguousLocked(now time.Time, content Content, c *contentState) bool {
	latest := c.latestCrash()
	if latest == nil {
		return false
	}
	failed := c.failedTrials() > 0
	for endpoint, e := range t.lost {
		if c.losses[endpoint] != nil || !e.mayShareCause(latest.at) {
			continue
		}
		// Once a trial has failed, an endpoint that other content crashed is no sign of an
		// outage: each of the two would give the other early trials without end.
		if !failed || !t.lostToOtherLocked(now, endpoint, content) {
			return true
		}
	}
	return t.lostToOtherLocked(now, latest.Endpoint, content)
}

// lostToOtherLocked reports whether an endpoint was lost under another content that is
// quarantined.
func (t *Table) lostToOtherLocked(now time.Time, endpoint string, content Content) bool {
	for other, l := range t.lossesAt[endpoint] {
		if other != content && l.Verdict == Crashed && t.contents[other].currentStanding(now) == Quarantined {
			return true
		}
	}
	return false
}

// expireLostLocked removes endpoints that were lost long ago.
func (t *Table) expireLostLocked(now time.Time) {
	for endpoint, e := range t.lost {
		if now.Sub(e.at) > lostTime {
			delete(t.lost, endpoint)
		}
	}
}

// recordUnlistedLocked records the endpoints of the former view that are no longer listed
// and were not leaving.
func (t *Table) recordUnlistedLocked(now time.Time, view *catalog.View) {
	if t.view == nil {
		return
	}
	for e := range t.view.All() {
		if view.Endpoint(e.Key()) != nil {
			continue
		}
		t.unlistedAt[e.Key()] = now
		if e.Leaving {
			continue
		}
		if known := t.lost[e.Key()]; known != nil {
			continue
		}
		if lost := t.lostLocked(now, e.Key(), now); lost != nil {
			lost.unlisted = true
		}
	}
}

// recordLeavingLocked records since when endpoints are leaving, and forgets that those were
// not which are listed as ready.
func (t *Table) recordLeavingLocked(now time.Time, view *catalog.View) {
	for e := range view.All() {
		key := e.Key()
		delete(t.unlistedAt, key)
		if lost := t.lost[key]; lost != nil && lost.unlisted {
			delete(t.lost, key)
		}
		switch _, known := t.leavingSince[key]; {
		case !e.Leaving:
			delete(t.leavingSince, key)
		case !known:
			t.leavingSince[key] = now
		}
	}
	for _, times := range []map[string]time.Time{t.leavingSince, t.unlistedAt} {
		for endpoint, at := range times {
			if view.Endpoint(endpoint) == nil && now.Sub(at) > lostTime {
				delete(times, endpoint)
			}
		}
	}
}

// endedAsPlannedLocked reports whether an endpoint whose connection broke at a time had then
// been leaving, or unlisted, for as long as it had to serve.
func (t *Table) endedAsPlannedLocked(broke time.Time, endpoint string) bool {
	for _, times := range []map[string]time.Time{t.leavingSince, t.unlistedAt} {
		if since, ok := times[endpoint]; ok && broke.Sub(since) >= t.drain {
			return true
		}
	}
	return false
}
