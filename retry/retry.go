// Package retry decides whether a failed attempt of a stage is tried again,
// or a second one started beside a slow one. Only the entry retries: agents
// and clients of endpoints never do, or attempts would multiply.
package retry

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/wire"
)

// Namespace of the retry plug-ins; the rest of the ID is the policy's name.
const Namespace = "retry.policy."

var errs = errorx.NewNamespace("retry")

// ErrUnknownPolicy is returned for a policy name without a retry plug-in.
var ErrUnknownPolicy = errs.NewType("unknown_policy")

// Failure is a failed attempt.
type Failure struct {
	Pool string
	// Status is the agent's word on the attempt; StatusLost also when the
	// agent itself was lost.
	Status wire.StageStatus
	// Attempts made so far that count against the maximum, this one included.
	Attempts     int
	Unrepeatable bool
	// NotReached: the call got to no endpoint, which was down or could not be
	// reached, so that another attempt is no further load for the pool.
	NotReached bool
	// Remaining is the time left before the deadline.
	Remaining time.Duration
	// Need is the expected time of this stage and those after it.
	Need time.Duration
}

// Reason says why a failure is tried again, or not.
type Reason string

// The reasons.
const (
	ReasonRetry        Reason = "retry"
	ReasonUnrepeatable Reason = "unrepeatable"
	ReasonAttempts     Reason = "attempts_used"
	ReasonNoTime       Reason = "no_time"
	ReasonBudget       Reason = "budget_empty"
)

// Verdict is the outcome of Decide.
type Verdict struct {
	Retry  bool
	Reason Reason
}

// Policy decides on retries. Hedges ask Take of the same budget.
type Policy interface {
	// Decide judges a failed attempt and, if it is to be tried again, charges the budget.
	Decide(f Failure, now time.Time) Verdict
	// Success refills the budget of a pool.
	Success(pool string, now time.Time)
	// Hedge tells whether a second, concurrent attempt may start, and charges it.
	Hedge(pool string, now time.Time) bool
}

// New returns the retry policy of the bundle's policy.
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

// repeatable tells whether another attempt cannot run an unrepeatable call
// twice: it may be repeated, or the agent said first-hand that it did not run.
func repeatable(f Failure) bool {
	return f.Status == wire.StatusRefused || !f.Unrepeatable && f.Status != wire.StatusUnknown
}
