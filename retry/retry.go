// Package retry decides whether a failed attempt of a stage is retried and
// whether a slow one is hedged. Only the entry retries: if agents and clients
// of endpoints did too, attempts would multiply.
package retry

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/wire"
)

// Namespace is the module namespace of the retry plug-ins; the rest of the ID
// is the policy's name.
const Namespace = "retry.policy."

var errs = errorx.NewNamespace("retry")

// ErrUnknownPolicy is returned for a policy name without a retry plug-in.
var ErrUnknownPolicy = errs.NewType("unknown_policy")

// Failure describes a failed attempt.
type Failure struct {
	Pool string
	// Status is the status of the attempt as reported by the agent; it is
	// StatusLost also when the agent itself was lost.
	Status wire.StageStatus
	// Attempts is the number of attempts made so far that count against the
	// maximum, including this one.
	Attempts     int
	Unrepeatable bool
	// NotReached is true when the call reached no endpoint, because the
	// endpoint was down or unreachable, so that another attempt adds no load to
	// the pool.
	NotReached bool
	// Remaining is the time left before the deadline.
	Remaining time.Duration
	// Need is the expected time of this stage and those after it.
	Need time.Duration
}

// Reason is why a failed attempt is retried or not.
type Reason string

// The reasons of a decision.
const (
	ReasonRetry        Reason = "retry"
	ReasonUnrepeatable Reason = "unrepeatable"
	ReasonAttempts     Reason = "attempts_used"
	ReasonNoTime       Reason = "no_time"
	ReasonBudget       Reason = "budget_empty"
)

// Decision is the result of Decide.
type Decision struct {
	Retry  bool
	Reason Reason
}

// Policy decides on retries and hedges; both are charged to the same budget.
type Policy interface {
	// Decide decides whether a failed attempt is retried, and charges the
	// budget if it is.
	Decide(f Failure, now time.Time) Decision
	// Success refills the budget of a pool after a successful call.
	Success(pool string, now time.Time)
	// Hedge reports whether a hedge may start, and charges the budget if it
	// may.
	Hedge(pool string, now time.Time) bool
}

// New returns the retry policy that is registered under the name of a bundle's
// policy. The error is ErrUnknownPolicy if there is none.
func New(policy bundle.Policy) (Policy, error) {
	p, err := kernel.Load[Policy](Namespace + kernel.ModuleID(policy.Name))
	if err != nil {
		return nil, ErrUnknownPolicy.Wrap(err, "no retries for policy %q", policy.Name)
	}
	if c, ok := p.(configurer); ok {
		c.configure(policy)
	}
	return p, nil
}

// configurer is implemented by plug-ins that read parameters of the policy.
type configurer interface {
	configure(policy bundle.Policy)
}

// repeatable reports whether another attempt cannot run an unrepeatable call
// twice: the call may be repeated, or the agent itself reported that it did not
// run.
func repeatable(f Failure) bool {
	return f.Status == wire.StatusRefused || !f.Unrepeatable && f.Status != wire.StatusUnknown
}
