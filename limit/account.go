package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangostage/mangostage/bundle"
)

// holdUnknown stands for the time a request is in flight, if nothing is known.
const holdUnknown = 100 * time.Millisecond

// accountLimit is one entry's part of one account's limit.
type accountLimit struct {
	bucket   *rate.Limiter
	inFlight int
	turns    turns
}

func newAccountLimit(limit bundle.Limit, liveEntries int) *accountLimit {
	return &accountLimit{bucket: rate.NewLimiter(perSecond(limit, liveEntries), burst(limit, liveEntries))}
}

// adjust follows a change of the limit or of the number of live entries. The
// tokens in the bucket stay, so that a change fills no bucket.
func (l *accountLimit) adjust(now time.Time, limit bundle.Limit, liveEntries int) {
	if r := perSecond(limit, liveEntries); l.bucket.Limit() != r {
		l.bucket.SetLimitAt(now, r)
	}
	if b := burst(limit, liveEntries); l.bucket.Burst() != b {
		l.bucket.SetBurstAt(now, b)
	}
}

// perSecond is one entry's part of the rate; an account without one is unlimited.
func perSecond(limit bundle.Limit, liveEntries int) rate.Limit {
	if limit.RequestsPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(limit.RequestsPerSecond / float64(max(1, liveEntries)))
}

func burst(limit bundle.Limit, liveEntries int) int {
	return part(max(1, limit.Burst), liveEntries)
}

// part is one entry's part of a whole number, rounded up.
func part(whole, liveEntries int) int {
	n := max(1, liveEntries)
	return (whole + n - 1) / n
}

// take takes a token and a place, or tells when to come back.
func (l *accountLimit) take(now time.Time, limit bundle.Limit, liveEntries int, hold time.Duration) (time.Duration, bool) {
	l.adjust(now, limit, liveEntries)
	if places := part(limit.InFlight, liveEntries); limit.InFlight > 0 && l.inFlight >= places {
		if hold <= 0 {
			hold = holdUnknown
		}
		gap := hold / time.Duration(places)
		return l.turns.next(now, gap, gap), false
	}
	reservation := l.bucket.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return l.turns.next(now, wait, interval(l.bucket.Limit())), false
	}
	l.inFlight++
	return 0, true
}

// interval is the time in which one token flows in.
func interval(limit rate.Limit) time.Duration {
	if limit == rate.Inf || limit <= 0 {
		return 0
	}
	return time.Duration(math.Min(float64(time.Second)/float64(limit), float64(maxTurn)))
}

// maxTurn bounds how far ahead turns are given out.
const maxTurn = 5 * time.Second

// turns spreads callers that are sent away over the time to come. Told the
// same time, they would all be back at once and all but one be refused again.
type turns struct {
	free time.Time
}

// next returns how long from now the next free turn is: not before wait, and
// one gap after the one given out before. Callers that never come back leave
// their turns unused, so no turn is further away than wait and maxTurn.
func (t *turns) next(now time.Time, wait, gap time.Duration) time.Duration {
	at := now.Add(wait)
	if t.free.After(at) {
		at = t.free
	}
	if latest := now.Add(wait + maxTurn); at.After(latest) {
		at = latest
	}
	t.free = at.Add(gap)
	return at.Sub(now)
}
