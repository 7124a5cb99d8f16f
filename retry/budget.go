package retry

import (
	"sync"
	"time"
)

const (
	// reserve is how many tokens a pool holds at the start and regains in
	// time without any success, so that a quiet pool can retry too.
	reserve = 10
	// reserveEvery is the time in which one token of the reserve comes back.
	reserveEvery = time.Second
	// budgetMax is the most tokens saved up. It lets the calls that are lost
	// all at once when a failure domain is cut off be tried again elsewhere.
	budgetMax = 100
)

// Budget bounds the retries and hedges of each pool by its successes.
//
// The failure that it guards against: a pool is overloaded, calls fail or
// come late, each is sent again, and the load is multiplied by the number of
// attempts just when there is least room for it; the pool stays down after
// the cause is gone. With a budget, extra attempts follow the successes: over
// any time there are at most share times the successes, one a reserveEvery,
// and the budgetMax saved up before. In a pool where nothing succeeds, load
// grows by no more than the saved tokens and one attempt a reserveEvery.
type Budget struct {
	share float64
	mu    sync.RWMutex
	pools map[string]*tokens
}

// NewBudget returns a budget of retries as a share of successes.
func NewBudget(share float64) *Budget {
	return &Budget{share: max(0, share), pools: make(map[string]*tokens)}
}

// Success adds the share of one success.
func (b *Budget) Success(pool string, now time.Time) {
	t := b.pool(pool, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	t.count = min(budgetMax, t.count+b.share)
}

// Take takes a token for one retry, if there is one.
func (b *Budget) Take(pool string, now time.Time) bool {
	return b.pool(pool, now).take(1, now)
}

// TakeSpare takes a token for one hedge, but leaves the reserve: a hedge
// improves an answer that may come anyway, a retry is the last chance of one.
func (b *Budget) TakeSpare(pool string, now time.Time) bool {
	return b.pool(pool, now).take(reserve+1, now)
}

func (b *Budget) pool(name string, now time.Time) *tokens {
	b.mu.RLock()
	t := b.pools[name]
	b.mu.RUnlock()
	if t != nil {
		return t
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if t = b.pools[name]; t == nil {
		t = &tokens{count: reserve, at: now}
		b.pools[name] = t
	}
	return t
}

// tokens is the budget of one pool.
type tokens struct {
	mu    sync.Mutex
	count float64
	// at is the time up to which the reserve has been refilled.
	at time.Time
}

// take takes one token if there are at least so many.
func (t *tokens) take(atLeast float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	if t.count < atLeast {
		return false
	}
	t.count--
	return true
}

// refill brings the reserve back in time.
func (t *tokens) refill(now time.Time) {
	passed := now.Sub(t.at)
	if passed <= 0 {
		return
	}
	t.at = now
	if t.count < reserve {
		t.count = min(reserve, t.count+float64(passed)/float64(reserveEvery))
	}
}
