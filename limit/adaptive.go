package limit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  Namespace + kernel.ModuleID(bundle.PolicyAdaptive),
		New: func() any { return newAdaptive() },
	})
}

// shardCount is the number of locks that accounts are spread over.
const shardCount = 32

// adaptive enforces each account's part of its limit, and fair shares of
// saturated pools. Its locks are never held together.
type adaptive struct {
	shards [shardCount]shard
	mu     sync.RWMutex
	pools  map[string]*fairPool
}

// shard holds the accounts whose names hash to it.
type shard struct {
	mu       sync.Mutex
	accounts map[string]*accountLimit
}

func newAdaptive() *adaptive {
	a := &adaptive{pools: make(map[string]*fairPool)}
	for i := range a.shards {
		a.shards[i].accounts = make(map[string]*accountLimit)
	}
	return a
}

// Admit implements Limiter. The fair share is asked first: it can be given
// back, while a token that was taken for nothing is gone.
func (a *adaptive) Admit(now time.Time, account *bundle.Account, liveEntries int, demand Demand) Verdict {
	pool := a.pool(demand.Pool)
	if after, ok := pool.take(now, account, liveEntries, demand); !ok {
		return Verdict{Reason: api.ReasonOverloaded, RetryAfter: after}
	}
	if after, ok := a.shard(account.Name).take(now, account, liveEntries, demand.Hold); !ok {
		pool.done(account.Name, now, true)
		return Verdict{Reason: api.ReasonRateLimited, RetryAfter: after}
	}
	return Verdict{OK: true, Ahead: pool.ahead(account.Priority)}
}

// Done implements Limiter.
func (a *adaptive) Done(account *bundle.Account, pool string, now time.Time) {
	a.pool(pool).done(account.Name, now, false)
	a.shard(account.Name).done(account.Name)
}

func (a *adaptive) shard(account string) *shard {
	return &a.shards[xxhash.Sum64String(account)%shardCount]
}

// pool returns the shares of a pool. There are as many as bundles have named.
func (a *adaptive) pool(name string) *fairPool {
	a.mu.RLock()
	p := a.pools[name]
	a.mu.RUnlock()
	if p != nil {
		return p
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p = a.pools[name]; p == nil {
		p = newFairPool()
		a.pools[name] = p
	}
	return p
}

func (s *shard) take(now time.Time, account *bundle.Account, liveEntries int, hold time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.accounts[account.Name]
	if l == nil {
		l = newAccountLimit(account.Limit, liveEntries)
		s.accounts[account.Name] = l
	}
	return l.take(now, account.Limit, liveEntries, hold)
}

func (s *shard) done(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.accounts[account]; l != nil && l.inFlight > 0 {
		l.inFlight--
	}
}
