// Package retryafter records which endpoints asked this process, by a refusal with a
// Retry-After, to send them nothing for a while: a backoff. It concerns this process
// alone; other members get refusals of their own. It does no I/O.
package retryafter

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBackoff bounds a backoff. Endpoints ask for seconds; a value that is out of all
	// proportion must not keep requests from an endpoint for good.
	maxBackoff = 15 * time.Minute
	// jitterShare and maxJitter bound the random time that is added to a backoff: members
	// that were refused at the same moment would come back at the same moment.
	jitterShare = 0.1
	maxJitter   = 500 * time.Millisecond
	// probeTTL is how long after its end a backoff is kept for TakeProbe.
	probeTTL = 10 * time.Second
	// maxEntries bounds the endpoints in a table.
	maxEntries = 1 << 14
)

// Table holds the backoffs in effect and those that have just ended. It is safe for concurrent use. A nil Table holds
// none.
type Table struct {
	// size is the number of entries; it is read without mu.
	size atomic.Int64

	mu sync.Mutex
	// until holds the ends of backoffs by the endpoint's Key.
	until map[string]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{until: make(map[string]time.Time)} }

// Observe records that the endpoint asked for a backoff, and reports whether it had none.
func (t *Table) Observe(now time.Time, endpoint string, after time.Duration) bool {
	if after <= 0 || endpoint == "" {
		return false
	}
	after = min(after, maxBackoff)
	jitter := time.Duration(rand.Float64() * float64(min(maxJitter, time.Duration(jitterShare*float64(after)))))
	end := now.Add(after + jitter)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	known, ok := t.until[endpoint]
	if !ok && len(t.until) >= maxEntries {
		return false
	}
	if end.After(known) {
		t.until[endpoint] = end
	}
	t.size.Store(int64(len(t.until)))
	return !now.Before(known)
}

// Expire removes the backoffs that ended a while ago.
func (t *Table) Expire(now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
}

// expireLocked removes the backoffs that ended probeTTL ago.
func (t *Table) expireLocked(now time.Time) {
	maps.DeleteFunc(t.until, func(_ string, end time.Time) bool { return now.Sub(end) >= probeTTL })
	t.size.Store(int64(len(t.until)))
}

// TakeProbe reports, once, that a backoff of the endpoint has ended: the endpoint should
// then be tried, since what is known of its speed and load is out of date.
func (t *Table) TakeProbe(now time.Time, endpoint string) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	end, ok := t.until[endpoint]
	if !ok || now.Before(end) {
		return false
	}
	delete(t.until, endpoint)
	t.size.Store(int64(len(t.until)))
	return true
}

// Empty reports whether no backoff is in effect, as far as that is known without a look at
// the time.
func (t *Table) Empty() bool { return t == nil || t.size.Load() == 0 }

// Until returns when the endpoint's backoff ends; active is false if it has none.
func (t *Table) Until(now time.Time, endpoint string) (end time.Time, active bool) {
	if t.Empty() {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	end = t.until[endpoint]
	return end, now.Before(end)
}

// Active reports whether the endpoint has a backoff.
func (t *Table) Active(now time.Time, endpoint string) bool {
	_, active := t.Until(now, endpoint)
	return active
}

// Stats is one backoff, for metrics.
type Stats struct {
	// Endpoint is the endpoint's Key.
	Endpoint string        `json:"endpoint"`
	Left     time.Duration `json:"left"`
}

// Stats lists the backoffs in effect, sorted by endpoint.
func (t *Table) Stats(now time.Time) []Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Stats, 0, len(t.until))
	for _, endpoint := range slices.SortedFunc(maps.Keys(t.until), cmp.Compare) {
		if left := t.until[endpoint].Sub(now); left > 0 {
			all = append(all, Stats{Endpoint: endpoint, Left: left})
		}
	}
	return all
}
