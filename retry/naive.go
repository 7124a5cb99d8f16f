package retry

import (
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  Namespace + kernel.ModuleID(bundle.PolicyNaive),
		New: func() any { return naive{} },
	})
}

// naiveRetries is how often the naive policy tries again.
const naiveRetries = 3

// naive is the baseline: three retries, whatever the load and the time left.
// It too must not run an unrepeatable call twice.
type naive struct{}

// Decide implements Policy.
func (naive) Decide(f Failure, _ time.Time) Verdict {
	if !repeatable(f) {
		return Verdict{Reason: ReasonUnrepeatable}
	}
	if f.Attempts > naiveRetries {
		return Verdict{Reason: ReasonAttempts}
	}
	return Verdict{Retry: true, Reason: ReasonRetry}
}

// Success implements Policy.
func (naive) Success(string, time.Time) {}

// Hedge implements Policy.
func (naive) Hedge(string, time.Time) bool { return false }
