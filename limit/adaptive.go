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

// shardCount is the number of shards, each with its own lock, that the accounts
// are spread over.
const shardCount = 32

// adaptive enforces one entry's part of each account's limit, and the shares of
// saturated pools. It never holds two of its locks at once.
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

// Admit implements Limiter. The pool's share is checked first, because it can
// be given back, whereas a token taken for a request that is then refused is
// lost.
func (a *adaptive) Admit(now time.Time, account *bundle.Account, liveEntries int, demand Demand) Decision {
	pool := a.pool(demand.Pool)
	if after, ok := pool.acquire(now, account, liveEntries, demand); !ok {
		return Decision{Reason: api.ReasonOverloaded, RetryAfter: after}
	}
	if after, ok := a.shard(account.Name).acquire(now, account, liveEntries, demand.ServiceTime); !ok {
		pool.release(account.Name, now, true)
		return Decision{Reason: api.ReasonRateLimited, RetryAfter: after}
	}
	return Decision{OK: true, AheadShare: pool.aheadShare(account.Priority)}
}

// Done implements Limiter.
func (a *adaptive) Done(account *bundle.Account, pool string, now time.Time) {
	a.pool(pool).release(account.Name, now, false)
	a.shard(account.Name).release(account.Name)
}

func (a *adaptive) shard(account string) *shard {
	return &a.shards[xxhash.Sum64String(account)%shardCount]
}

// pool returns the shares of a pool. Pools are never removed; there are as many
// as bundles have named.
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

func (s *shard) acquire(now time.Time, account *bundle.Account, liveEntries int, serviceTime time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.accounts[account.Name]
	if l == nil {
		l = newAccountLimit(account.Limit, liveEntries)
		s.accounts[account.Name] = l
	}
	return l.acquire(now, account.Limit, liveEntries, serviceTime)
}

func (s *shard) release(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.accounts[account]; l != nil && l.inFlight > 0 {
		l.inFlight--
	}
}
