package retry

import (
	"sync"
	"time"
)

const (
	// reserveTokens is the number of tokens that a pool has at the start and
	// that are refilled over time without any success, so that a pool with
	// little traffic can retry too.
	reserveTokens = 10
	// reserveInterval is the time in which one token of the reserve is
	// refilled.
	reserveInterval = time.Second
	// maxTokens is the largest number of tokens a pool can save up. It lets the
	// calls that are lost all at once when a failure domain is cut off be
	// retried elsewhere.
	maxTokens = 100
)

// Budget bounds the retries and hedges of each pool by its successes.
//
// It guards against retry storms: a pool is overloaded, calls fail or are late,
// each is retried, and the load is multiplied by the number of attempts just
// when capacity is lowest; the pool stays down after the cause is gone. With a
// budget, extra attempts follow the successes: over any period there are at
// most ratio times the successes, plus one per reserveInterval, plus the
// maxTokens saved up before. In a pool where nothing succeeds, load grows by no
// more than the saved tokens and one attempt per reserveInterval.
type Budget struct {
	ratio float64
	mu    sync.RWMutex
	pools map[string]*tokenBucket
}

// NewBudget returns a Budget; ratio is the number of retries allowed per
// success.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: max(0, ratio), pools: make(map[string]*tokenBucket)}
}

// Success adds the tokens earned by one success.
func (b *Budget) Success(pool string, now time.Time) {
	t := b.pool(pool, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	t.count = min(maxTokens, t.count+b.ratio)
}

// Take takes a token for one retry and reports whether there was one.
func (b *Budget) Take(pool string, now time.Time) bool {
	return b.pool(pool, now).take(1, now)
}

// TakeForHedge takes a token for one hedge and reports whether it could. It
// leaves the reserve to retries: a hedge improves an answer that may arrive
// anyway, while a retry is the last chance of one.
func (b *Budget) TakeForHedge(pool string, now time.Time) bool {
	return b.pool(pool, now).take(reserveTokens+1, now)
}

func (b *Budget) pool(name string, now time.Time) *tokenBucket {
	b.mu.RLock()
	t := b.pools[name]
	b.mu.RUnlock()
	if t != nil {
		return t
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if t = b.pools[name]; t == nil {
		t = &tokenBucket{count: reserveTokens, refilledAt: now}
		b.pools[name] = t
	}
	return t
}

// tokenBucket is the budget of one pool.
type tokenBucket struct {
	mu    sync.Mutex
	count float64
	// refilledAt is the time up to which the reserve has been refilled.
	refilledAt time.Time
}

// take takes one token if there are at least atLeast of them.
func (t *tokenBucket) take(atLeast float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill(now)
	if t.count < atLeast {
		return false
	}
	t.count--
	return true
}

// refill adds the tokens of the reserve for the time since the last refill.
func (t *tokenBucket) refill(now time.Time) {
	elapsed := now.Sub(t.refilledAt)
	if elapsed <= 0 {
		return
	}
	t.refilledAt = now
	if t.count < reserveTokens {
		t.count = min(reserveTokens, t.count+float64(elapsed)/float64(reserveInterval))
	}
}
