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

// naiveRetries is the number of retries that the naive policy makes.
const naiveRetries = 3

// naive is the baseline policy: it retries a fixed number of times, whatever
// the load and the remaining time. It too never runs an unrepeatable call
// twice.
type naive struct{}

// Decide implements Policy.
func (naive) Decide(f Failure, _ time.Time) Decision {
	if !repeatable(f) {
		return Decision{Reason: ReasonUnrepeatable}
	}
	if f.Attempts > naiveRetries {
		return Decision{Reason: ReasonAttempts}
	}
	return Decision{Retry: true, Reason: ReasonRetry}
}

// Success implements Policy.
func (naive) Success(string, time.Time) {}

// Hedge implements Policy.
func (naive) Hedge(string, time.Time) bool { return false }
