package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/platform"
)

const (
	// minRate is the lowest rate per second at which an endpoint is sent requests: one
	// that is sent none can never say that its quota has ended.
	minRate = 0.25
	// maxEntries bounds the endpoints in a table.
	maxEntries = 1 << 14
	// announceChange is the relative change of a rate that is told to others.
	announceChange = 0.05
	// recoveryDoubling is the time in which the rate doubles once an endpoint names none
	// any more; after recoveryPeriod it is unlimited. Otherwise all members would
	// take an endpoint that has just recovered for idle at the same moment.
	recoveryDoubling = 500 * time.Millisecond
	recoveryPeriod   = 3 * time.Second
	// allowanceTTL is how long an Allowance is used.
	allowanceTTL = 20 * time.Millisecond
	// ownerlessRetry is when to ask again if nobody spends the quotas now: about the
	// time until a lost owner of the queue is replaced.
	ownerlessRetry = 300 * time.Millisecond
	// maxRetryIn bounds the time after which a refused request is told to come back.
	maxRetryIn = 2 * time.Second
	// ProbeInterval is how long an endpoint with a quota may go without a request: only
	// its answers tell that the quota has ended.
	ProbeInterval = time.Second
	// unlistedTTL is how long the quota of an endpoint that is not listed is kept.
	unlistedTTL = time.Minute
)

// Update is a change of the quota of one endpoint.
type Update struct {
	// Endpoint is the endpoint's Key.
	Endpoint string `json:"endpoint"`
	// Rate is in requests per second; it is 0 once the endpoint names no quota.
	Rate float64 `json:"rate,omitempty"`
	// Request is the request whose answer showed the change.
	Request string `json:"request,omitempty"`
}

// Lifted reports whether the endpoint no longer names a quota.
func (u Update) Lifted() bool { return u.Rate <= 0 }

// entry is the quota of one endpoint.
type entry struct {
	// rate is the rate per second that the endpoint named last, announced the one that
	// was last told to others.
	rate, announced float64
	// namedAt is when this process last heard that the endpoint names the quota.
	namedAt time.Time
	// liftedAt is when it heard that the endpoint names none any more, or zero.
	liftedAt time.Time
	bucket   bucket
	// refused estimates how many requests that were refused for lack of tokens will
	// come back; they take the tokens before later ones.
	refused   float64
	refusedAt time.Time
	// spentAt is when this process last spent or asked for a token.
	spentAt time.Time
	// nextToken is when the owner expects the next token, by its latest refusal, and
	// retryAt when a request that was refused should come back.
	nextToken, retryAt time.Time
	// listedAt is when the endpoint was last seen listed.
	listedAt time.Time
}

// Table holds the quotas that a process knows of, and the tokens that it may spend.
// It is safe for concurrent use and does no I/O. A nil Table holds no quotas.
type Table struct {
	allowance func() Allowance
	// size is the number of entries; it is read without mu.
	size atomic.Int64

	mu sync.Mutex
	// entries is keyed by the endpoint's Key.
	entries map[string]*entry
	// current is the allowance as of currentAt.
	current   Allowance
	currentAt time.Time
}

// NewTable returns an empty table. allowance returns what this process may spend now;
// it must not call the table.
func NewTable(allowance func() Allowance) *Table {
	return &Table{allowance: allowance, entries: make(map[string]*entry)}
}

// Empty reports whether no endpoint has a quota.
func (t *Table) Empty() bool { return t == nil || t.size.Load() == 0 }

// Observe processes the rate in an answer that this process got from the endpoint
// to a request sent at sent. It returns the change, if there is one that others
// need to know.
//
// Only an answer to a request that was sent after the quota was last named can end
// it: answers of different connections overtake each other.
func (t *Table) Observe(now, sent time.Time, endpoint string, rate platform.RequestRate) (Update, bool) {
	if !rate.Known || !rate.Limited && t.Empty() {
		return Update{}, false
	}
	u := Update{Endpoint: endpoint}
	if rate.Limited {
		u.Rate = max(minRate, rate.PerSecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	if u.Lifted() && (e == nil || !sent.After(e.namedAt)) {
		return Update{}, false
	}
	return u, t.applyLocked(now, u)
}

// Apply records a change that another member reported, and reports whether it was
// unknown here.
func (t *Table) Apply(now time.Time, u Update) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyLocked(now, u)
}

func (t *Table) applyLocked(now time.Time, u Update) bool {
	if u.Lifted() {
		return t.liftLocked(now, u.Endpoint)
	}
	return t.nameLocked(now, u)
}

// nameLocked records that an endpoint names a quota and reports whether that is new.
func (t *Table) nameLocked(now time.Time, u Update) bool {
	e := t.entries[u.Endpoint]
	if e == nil {
		if len(t.entries) >= maxEntries || u.Endpoint == "" {
			return false
		}
		e = &entry{bucket: bucket{at: now}, listedAt: now, spentAt: now}
		t.entries[u.Endpoint] = e
		t.size.Store(int64(len(t.entries)))
	}
	again := e.liftedAt.IsZero() && math.Abs(u.Rate-e.announced) <= announceChange*e.announced
	e.rate, e.namedAt, e.liftedAt = u.Rate, now, time.Time{}
	if again {
		return false
	}
	e.announced = u.Rate
	return true
}

// liftLocked records that an endpoint no longer names a quota and reports whether
// that is new.
func (t *Table) liftLocked(now time.Time, endpoint string) bool {
	e := t.entries[endpoint]
	if e == nil || !e.liftedAt.IsZero() {
		return false
	}
	e.liftedAt = now
	return true
}

func (t *Table) removeLocked(endpoint string) {
	delete(t.entries, endpoint)
	t.size.Store(int64(len(t.entries)))
}

// SetListed drops the quotas of endpoints that have not been listed for a while.
func (t *Table) SetListed(now time.Time, listed func(endpoint string) bool) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, e := range t.entries {
		if listed(endpoint) {
			e.listedAt = now
		}
		if now.Sub(e.listedAt) > unlistedTTL || e.recovered(now) {
			t.removeLocked(endpoint)
		}
	}
}

// recovered reports whether the quota has ended and its recovery is over.
func (e *entry) recovered(now time.Time) bool {
	return !e.liftedAt.IsZero() && now.Sub(e.liftedAt) >= recoveryPeriod
}

// effectiveRate returns the rate per second that the fleet may send.
func (e *entry) effectiveRate(now time.Time) float64 {
	if e.liftedAt.IsZero() {
		return e.rate
	}
	return e.rate * math.Exp2(now.Sub(e.liftedAt).Seconds()/recoveryDoubling.Seconds())
}

// entryLocked returns the entry of an endpoint with a quota, or nil.
func (t *Table) entryLocked(now time.Time, endpoint string) *entry {
	e := t.entries[endpoint]
	if e != nil && e.recovered(now) {
		t.removeLocked(endpoint)
		return nil
	}
	return e
}

// Limited reports whether the endpoint has a quota.
func (t *Table) Limited(now time.Time, endpoint string) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entryLocked(now, endpoint) != nil
}

// Updates returns up to most of the quotas that are named, as updates for others.
func (t *Table) Updates(most int) []Update {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Update
	for endpoint, e := range t.entries {
		if len(updates) == most {
			break
		}
		if e.liftedAt.IsZero() {
			updates = append(updates, Update{Endpoint: endpoint, Rate: e.rate})
		}
	}
	return updates
}

// updatesFor returns the quotas of the given endpoints as updates.
func (t *Table) updatesFor(now time.Time, endpoints []string) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	updates := make([]Update, 0, len(endpoints))
	for _, endpoint := range endpoints {
		u := Update{Endpoint: endpoint}
		if e := t.entryLocked(now, endpoint); e != nil {
			u.Rate = e.rate
		}
		updates = append(updates, u)
	}
	return updates
}
