package retry

import (
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  Namespace + kernel.ModuleID(bundle.PolicyAdaptive),
		New: func() any { return new(adaptive) },
	})
}

// adaptive retries only what can still be answered before the deadline, and
// only within the pool's budget.
type adaptive struct {
	maxAttempts int
	budget      *Budget
}

func (a *adaptive) configure(policy bundle.Policy) {
	a.maxAttempts = max(1, policy.MaxAttempts)
	a.budget = NewBudget(policy.RetryBudget)
}

// Decide implements Policy. It checks the budget last, so that a retry that is
// not made is not charged.
func (a *adaptive) Decide(f Failure, now time.Time) Decision {
	switch {
	case !repeatable(f):
		return Decision{Reason: ReasonUnrepeatable}
	case f.Attempts >= a.maxAttempts:
		return Decision{Reason: ReasonAttempts}
	case f.Remaining < f.Need:
		return Decision{Reason: ReasonNoTime}
	case !f.NotReached && !a.budget.Take(f.Pool, now):
		return Decision{Reason: ReasonBudget}
	default:
		return Decision{Retry: true, Reason: ReasonRetry}
	}
}

// Success implements Policy.
func (a *adaptive) Success(pool string, now time.Time) { a.budget.Success(pool, now) }

// Hedge implements Policy.
func (a *adaptive) Hedge(pool string, now time.Time) bool { return a.budget.TakeForHedge(pool, now) }
