// Package limit enforces the limits and shares of client accounts at one
// entry, without state shared between entries.
//
// Limits. A bundle limits an account over the whole fleet. An entry that sees
// n live entries, itself included, enforces the n-th part of the account's
// rate, burst and calls in flight. While all entries see the same n, the sum
// is the limit. The bound otherwise: a partition into p parts that each go on
// serving lets an account have at most p times its rate and burst, because the
// entries of one part together enforce the limit once; n entries that each
// see only themselves let it have n times. Besides, a part of a limit is
// rounded up to one call, so with more entries than the limit has calls each
// entry still takes one; and an entry that starts has a full bucket, so each
// restart is worth one more part of the burst.
//
// Shares. While a pool is saturated, each entry divides its part of the
// pool's capacity among the accounts that ask for it: by priority, and by
// weight among accounts of equal priority. An account's share is its own
// whenever it asks, whatever others hold at that moment; what it does not ask
// for goes to the others. So a flood from one account costs another only what
// that one was not entitled to.
package limit

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

// Namespace of the limiter plug-ins; the rest of the ID is the policy's name.
const Namespace = "limit.policy."

var errs = errorx.NewNamespace("limit")

// ErrUnknownPolicy is returned for a policy name without a limiter.
var ErrUnknownPolicy = errs.NewType("unknown_policy")

// Verdict is the outcome of Admit.
type Verdict struct {
	OK bool
	// Reason is api.ReasonRateLimited for a limit of the account's own, and
	// api.ReasonOverloaded for its share of a saturated pool.
	Reason api.Reason
	// RetryAfter is when a call is likely to be taken.
	RetryAfter time.Duration
	// Ahead is the share of what this entry has in flight on the demand's pool
	// that an agent's queue puts before the request or treats alike: 1 for the
	// lowest priority, near 0 for a priority that hardly anybody else has.
	Ahead float64
}

// Limiter decides which requests of which client accounts an entry takes.
type Limiter interface {
	// Admit takes one request or refuses it. liveEntries is the number of
	// entries that this one sees, itself included.
	Admit(now time.Time, account *bundle.Account, liveEntries int, demand Demand) Verdict
	// Done returns what an admitted request held. The pool is that of its Demand.
	Done(account *bundle.Account, pool string, now time.Time)
}

// New returns the limiter of the policy.
func New(policy bundle.Policy) (Limiter, error) {
	limiter, err := kernel.Load[Limiter](Namespace + kernel.ModuleID(policy.Name))
	if err != nil {
		return nil, ErrUnknownPolicy.Wrap(err, "no limiter for policy %q", policy.Name)
	}
	return limiter, nil
}
