package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangostage/mangostage/bundle"
)

// defaultServiceTime is the service time assumed for a request if none is
// known.
const defaultServiceTime = 100 * time.Millisecond

// accountLimit enforces one entry's part of one account's limit.
type accountLimit struct {
	bucket        *rate.Limiter
	inFlight      int
	retrySchedule retrySchedule
}

func newAccountLimit(limit bundle.Limit, liveEntries int) *accountLimit {
	return &accountLimit{bucket: rate.NewLimiter(perSecond(limit, liveEntries), burst(limit, liveEntries))}
}

// adjust applies a change of the limit or of the number of live entries. The
// tokens in the bucket stay as they are, so that a change does not refill it.
func (l *accountLimit) adjust(now time.Time, limit bundle.Limit, liveEntries int) {
	if r := perSecond(limit, liveEntries); l.bucket.Limit() != r {
		l.bucket.SetLimitAt(now, r)
	}
	if b := burst(limit, liveEntries); l.bucket.Burst() != b {
		l.bucket.SetBurstAt(now, b)
	}
}

// perSecond returns one entry's part of the rate; an account without a rate is
// unlimited.
func perSecond(limit bundle.Limit, liveEntries int) rate.Limit {
	if limit.RequestsPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(limit.RequestsPerSecond / float64(max(1, liveEntries)))
}

// burst returns one entry's part of the burst.
func burst(limit bundle.Limit, liveEntries int) int {
	return entryPart(max(1, limit.Burst), liveEntries)
}

// entryPart returns one entry's part of a whole number, rounded up.
func entryPart(whole, liveEntries int) int {
	n := max(1, liveEntries)
	return (whole + n - 1) / n
}

// acquire takes a token and a place in flight and returns true, or returns how
// long the caller should wait before it retries.
func (l *accountLimit) acquire(now time.Time, limit bundle.Limit, liveEntries int, serviceTime time.Duration) (time.Duration, bool) {
	l.adjust(now, limit, liveEntries)
	if maxInFlight := entryPart(limit.InFlight, liveEntries); limit.InFlight > 0 && l.inFlight >= maxInFlight {
		if serviceTime <= 0 {
			serviceTime = defaultServiceTime
		}
		gap := serviceTime / time.Duration(maxInFlight)
		return l.retrySchedule.reserve(now, gap, gap), false
	}
	reservation := l.bucket.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return l.retrySchedule.reserve(now, wait, tokenInterval(l.bucket.Limit())), false
	}
	l.inFlight++
	return 0, true
}

// tokenInterval returns the time in which one token is added, at most
// maxRetrySpread; zero for an unlimited rate.
func tokenInterval(limit rate.Limit) time.Duration {
	if limit == rate.Inf || limit <= 0 {
		return 0
	}
	return time.Duration(math.Min(float64(time.Second)/float64(limit), float64(maxRetrySpread)))
}

// maxRetrySpread bounds how far the retries of refused callers are spread out.
const maxRetrySpread = 5 * time.Second

// retrySchedule spreads the retries of refused callers over time. If all were
// told the same time, they would all return at once and all but one be refused
// again.
type retrySchedule struct {
	// nextFree is the earliest time not yet given to a caller.
	nextFree time.Time
}

// reserve gives out the next free time and returns how long the caller should
// wait for it: at least wait, and until one gap after the time given out
// before. Callers that never return leave their times unused, so no wait is
// longer than wait plus maxRetrySpread.
func (t *retrySchedule) reserve(now time.Time, wait, gap time.Duration) time.Duration {
	at := now.Add(wait)
	if t.nextFree.After(at) {
		at = t.nextFree
	}
	if latest := now.Add(wait + maxRetrySpread); at.After(latest) {
		at = latest
	}
	t.nextFree = at.Add(gap)
	return at.Sub(now)
}
