package discovery

import "time"

// AsOf returns the latest time of which this process is known to have all changes; zero if
// there is none. It lags behind by the watches of the store and of the reader that this process
// follows, and while the store does not answer it stands still.
func (f *Follower) AsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf
}

// advanceAsOf notes that the state has all changes as of a time. f.mu must be held.
func (f *Follower) advanceAsOf(t time.Time) {
	if t.After(f.asOf) {
		f.asOf = t
		f.unconfirmed.Store(0)
		f.silentUntil.Store(0)
	}
}

// asOfSince returns how long after a time AsOf is; 0 if that is not known.
func (b Batch) asOfSince(t time.Time) time.Duration {
	if b.AsOf.IsZero() {
		return 0
	}
	return b.AsOf.Sub(t)
}

// watchedUntil returns the time as of which an answer to a watch is complete that began at
// the time given. The store answers with nothing only at the end of the wait.
func watchedUntil(began time.Time, wait time.Duration, events int) time.Time {
	if events > 0 || suspendedSince(began) {
		return began
	}
	return began.Add(min(wait, time.Since(began)))
}

// asOf returns the time as of which the whole answer to a call that began at the time given is
// complete; zero if that is not known.
func (r changesReply) asOf(began time.Time) time.Time {
	if r.AsOf == 0 || r.More {
		return time.Time{}
	}
	if suspendedSince(began) {
		return began.Add(min(r.AsOf, 0))
	}
	return began.Add(r.AsOf)
}

// maxClockDrift is the difference between the two clocks, since a call began, that is no
// suspension.
const maxClockDrift = 20 * time.Millisecond

// suspendedSince reports whether the VM may have been suspended since t: its monotonic clock
// stands still meanwhile, and what an answer says of the time after t is not known. A step of
// the wall clock looks the same and costs nothing.
func suspendedSince(t time.Time) bool {
	now := time.Now()
	return now.Round(0).Sub(t.Round(0))-now.Sub(t) > maxClockDrift
}
