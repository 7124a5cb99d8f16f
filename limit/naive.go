package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  Namespace + kernel.ModuleID(bundle.PolicyNaive),
		New: func() any { return &naive{buckets: make(map[string]*rate.Limiter)} },
	})
}

// naiveRetryAfter is the retry delay of every refusal by the naive limiter.
const naiveRetryAfter = time.Second

// naive is the baseline for comparisons: each entry gives each account its
// whole limit, regardless of other entries, and does not enforce shares.
type naive struct {
	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// Admit implements Limiter.
func (n *naive) Admit(now time.Time, account *bundle.Account, _ int, _ Demand) Decision {
	if account.Limit.RequestsPerSecond <= 0 {
		return Decision{OK: true, AheadShare: 1}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.buckets[account.Name]
	if b == nil {
		b = rate.NewLimiter(rate.Limit(account.Limit.RequestsPerSecond), max(1, account.Limit.Burst))
		n.buckets[account.Name] = b
	}
	if !b.AllowN(now, 1) {
		return Decision{Reason: api.ReasonRateLimited, RetryAfter: naiveRetryAfter}
	}
	return Decision{OK: true, AheadShare: 1}
}

// Done implements Limiter.
func (*naive) Done(*bundle.Account, string, time.Time) {}
