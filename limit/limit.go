// Package limit enforces the limits and shares of client accounts at one entry,
// without state shared between entries.
//
// Limits. A bundle limits an account over the whole fleet. An entry that sees n
// live entries, itself included, enforces the n-th part of the account's rate,
// burst and calls in flight. While all entries see the same n, the parts add up
// to the limit. Otherwise the excess is bounded: under a partition into p sides
// that all keep serving, an account gets at most p times its rate and burst,
// because the entries of one side together enforce the limit once; n entries
// that each see only themselves let it have n times as much. There are two
// further sources of excess. A part of a limit is rounded up to one call, so
// with more entries than the limit has calls each entry still takes one. And an
// entry starts with a full bucket, so each restart is worth one more part of
// the burst.
//
// Shares. While a pool is saturated, each entry divides its part of the pool's
// capacity among the accounts that ask for it: by priority, and by weight among
// accounts of equal priority. An account may use its share whenever it asks,
// whatever others have in flight at that moment; what it does not ask for goes
// to the others. So a flood from one account takes from another only what
// exceeds the other account's share.
package limit

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

// Namespace is the prefix of the limiter plug-ins' IDs; the rest of an ID is
// the policy's name.
const Namespace = "limit.policy."

var errs = errorx.NewNamespace("limit")

// ErrUnknownPolicy is returned for a policy name without a limiter.
var ErrUnknownPolicy = errs.NewType("unknown_policy")

// Decision is the outcome of Admit.
type Decision struct {
	// OK is true if the request is admitted.
	OK bool
	// Reason is api.ReasonRateLimited if the account has reached its own limit,
	// and api.ReasonOverloaded if it has used up its share of a saturated pool.
	Reason api.Reason
	// RetryAfter is the wait after which a refused request is likely to be
	// admitted.
	RetryAfter time.Duration
	// AheadShare is the share of this entry's calls in flight on the demand's pool
	// that have the request's priority or a higher one, so that an agent's
	// queue serves them first or treats them alike: 1 for the lowest priority,
	// near 0 for a priority that hardly any other call has.
	AheadShare float64
}

// Limiter decides which requests of which client accounts an entry admits.
type Limiter interface {
	// Admit admits or refuses one request. liveEntries is the number of live
	// entries that this one sees, itself included.
	Admit(now time.Time, account *bundle.Account, liveEntries int, demand Demand) Decision
	// Done releases what an admitted request occupied. pool is that of the
	// request's Demand.
	Done(account *bundle.Account, pool string, now time.Time)
}

// New returns the limiter of the policy. The error is ErrUnknownPolicy if there
// is none.
func New(policy bundle.Policy) (Limiter, error) {
	limiter, err := kernel.Load[Limiter](Namespace + kernel.ModuleID(policy.Name))
	if err != nil {
		return nil, ErrUnknownPolicy.Wrap(err, "no limiter for policy %q", policy.Name)
	}
	return limiter, nil
}
