package quota

import (
	"math"
	"time"
)

// Allowance is what a process may spend of each quota.
type Allowance struct {
	// Share is the fraction of the rate; 0 unless the process owns the queue.
	Share float64
	// Since is when the process became the owner.
	Since time.Time
}

// allowanceLocked returns what this process may spend.
func (t *Table) allowanceLocked(now time.Time) Allowance {
	if age := now.Sub(t.currentAt); age < 0 || age >= allowanceTTL {
		t.current, t.currentAt = t.allowance(), now
	}
	return t.current
}

// Spends reports whether this process may spend tokens at all.
func (t *Table) Spends(now time.Time) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allowanceLocked(now).Share > 0
}

// refillLocked refills the bucket of an entry and returns the rate at which this
// process may spend its tokens.
func (t *Table) refillLocked(now time.Time, e *entry) float64 {
	a := t.allowanceLocked(now)
	rate := a.Share * e.effectiveRate(now)
	e.bucket.refill(now, rate, a.Since)
	return rate
}

// Available returns how many requests this process may send to the endpoint now;
// math.MaxInt if the endpoint has no quota.
func (t *Table) Available(now time.Time, endpoint string) int {
	if t.Empty() {
		return math.MaxInt
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryLocked(now, endpoint)
	if e == nil {
		return math.MaxInt
	}
	if t.refillLocked(now, e) <= 0 {
		return 0
	}
	return max(0, int(e.bucket.tokens))
}

// Take spends n tokens of the endpoint's quota. It reports false if the endpoint has
// no quota or its tokens do not suffice.
func (t *Table) Take(now time.Time, endpoint string, n int) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryLocked(now, endpoint)
	if e == nil || t.refillLocked(now, e) <= 0 || e.bucket.tokens < float64(n) {
		return false
	}
	e.bucket.tokens -= float64(n)
	e.spentAt = now
	return true
}

// Rate returns the rate per second that this process may send to the endpoint;
// limited is false if the endpoint has no quota.
func (t *Table) Rate(now time.Time, endpoint string) (rate float64, limited bool) {
	if t.Empty() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryLocked(now, endpoint)
	if e == nil {
		return 0, false
	}
	return t.allowanceLocked(now).Share * e.effectiveRate(now), true
}

// Reservation is the permission to send one request to an endpoint.
type Reservation struct {
	// Endpoint is the endpoint's Key; it is empty if there is no permission.
	Endpoint string `json:"endpoint,omitempty"`
	// Wait is the time until the request may be sent or, without a permission, until
	// the next token.
	Wait time.Duration `json:"wait,omitempty"`
	// RetryIn is, without a permission, when a request that comes back may get one.
	RetryIn time.Duration `json:"retry_in,omitempty"`
}

// OK reports whether the request may be sent.
func (r Reservation) OK() bool { return r.Endpoint != "" }

// Reserve reserves a token of the endpoint that has one soonest, at most maxWait from
// now. An endpoint without a quota needs none.
func (t *Table) Reserve(now time.Time, endpoints []string, maxWait time.Duration) Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *entry
	r := Reservation{Wait: ownerlessRetry, RetryIn: ownerlessRetry}
	soonest := time.Duration(math.MaxInt64)
	for _, endpoint := range endpoints {
		e := t.entryLocked(now, endpoint)
		if e == nil {
			return Reservation{Endpoint: endpoint}
		}
		rate := t.refillLocked(now, e)
		if rate <= 0 {
			continue
		}
		if wait := e.bucket.wait(1, rate); best == nil || wait < soonest {
			best, soonest = e, wait
			r.Endpoint = endpoint
		}
	}
	switch {
	case best == nil:
		return r
	case soonest <= maxWait:
		best.bucket.tokens--
		best.spentAt = now
		return Reservation{Endpoint: r.Endpoint, Wait: soonest}
	}
	return Reservation{Wait: soonest, RetryIn: best.countRefused(now, soonest, t.refillLocked(now, best))}
}

// countRefused counts a refused request and returns when it should come back, after
// those that were refused before it; rate must be positive.
func (e *entry) countRefused(now time.Time, wait time.Duration, rate float64) time.Duration {
	e.refused = max(0, e.refused-rate*now.Sub(e.refusedAt).Seconds())
	e.refusedAt = now
	after := min(maxRetryIn, wait+time.Duration(e.refused/rate*float64(time.Second)))
	e.refused = min(e.refused+1, rate*maxRetryIn.Seconds())
	return after
}

// recordRefused records that the owner refused a token of the endpoints.
func (t *Table) recordRefused(now time.Time, endpoints []string, r Reservation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, endpoint := range endpoints {
		if e := t.entries[endpoint]; e != nil {
			e.nextToken, e.retryAt = now.Add(r.Wait), now.Add(r.RetryIn)
		}
	}
}

// RecordProbe records that this process asks for a token of the endpoint.
func (t *Table) RecordProbe(now time.Time, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[endpoint]; e != nil {
		e.spentAt = now
	}
}

// ProbeDue reports whether the endpoint has a quota of which this process has spent
// nothing for the interval.
func (t *Table) ProbeDue(now time.Time, endpoint string, interval time.Duration) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryLocked(now, endpoint)
	return e != nil && now.Sub(e.spentAt) >= interval
}

// Blocked reports whether, by a refusal of the owner, the endpoint has no token at
// the time at, and when a request that is refused should come back.
func (t *Table) Blocked(at time.Time, endpoint string) (retryAt time.Time, blocked bool) {
	if t.Empty() {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	if e == nil || !at.Before(e.nextToken) {
		return time.Time{}, false
	}
	return e.retryAt, true
}
