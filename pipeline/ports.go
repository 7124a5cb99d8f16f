package pipeline

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// The core calls these interfaces while it holds a shard's lock.
// Implementations must be safe for concurrent use, return at once and not call
// the Core.

// Picker chooses the endpoint of one attempt.
type Picker interface {
	Pick(now time.Time, policy *bundle.Policy, req *route.Request) route.Decision
}

// Retrier decides on further attempts; every retry.Policy implements it.
type Retrier interface {
	// Decide decides whether a failed attempt is retried, and charges the
	// budget if it is.
	Decide(f retry.Failure, now time.Time) retry.Decision
	// Hedge reports whether a hedge may start, and charges the budget if it
	// may.
	Hedge(pool string, now time.Time) bool
}

// Suspects refuses content that crashes endpoints; *suspect.Table implements
// it. Each Begin that does not refuse is followed by exactly one call of
// another method.
type Suspects interface {
	Begin(fingerprint string, now time.Time) suspect.Decision
	Crashed(fingerprint string, c suspect.Crash, now time.Time)
	Succeeded(fingerprint string, now time.Time)
	Ended(fingerprint string, now time.Time)
}

// Quantiles returns measured times of stages; *route.Estimator implements it.
type Quantiles interface {
	Quantile(key route.StageKey, q float64, now time.Time) route.Estimate
}

// RouterPicker is a Picker that uses a route.Router and the current snapshot.
type RouterPicker struct {
	router   func(policy *bundle.Policy) route.Router
	snapshot func(now time.Time) *route.Snapshot
	mu       sync.Mutex
	rng      *rand.Rand
}

// NewRouterPicker returns a RouterPicker; it uses src from one goroutine at a
// time.
func NewRouterPicker(
	router func(policy *bundle.Policy) route.Router,
	snapshot func(now time.Time) *route.Snapshot,
	src rand.Source,
) *RouterPicker {
	return &RouterPicker{router: router, snapshot: snapshot, rng: rand.New(src)}
}

// Pick implements Picker.
func (p *RouterPicker) Pick(now time.Time, policy *bundle.Policy, req *route.Request) route.Decision {
	return p.router(policy).Pick(p.snapshot(now), req, now, p.fork())
}

// fork returns a separate random source for one decision, so that decisions of
// several shards do not wait for each other.
func (p *RouterPicker) fork() *rand.Rand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64()))
}

// unlimitedRetrier is the default Retrier. It has no budget and checks only
// repeatability and the remaining time.
type unlimitedRetrier struct{}

func (unlimitedRetrier) Decide(f retry.Failure, _ time.Time) retry.Decision {
	if f.Unrepeatable && f.Status != wire.StatusRefused {
		return retry.Decision{Reason: retry.ReasonUnrepeatable}
	}
	if f.Remaining < f.Need {
		return retry.Decision{Reason: retry.ReasonNoTime}
	}
	return retry.Decision{Retry: true, Reason: retry.ReasonRetry}
}

func (unlimitedRetrier) Hedge(string, time.Time) bool { return true }

type noSuspects struct{}

func (noSuspects) Begin(string, time.Time) suspect.Decision { return suspect.Decision{} }
func (noSuspects) Crashed(string, suspect.Crash, time.Time) {}
func (noSuspects) Succeeded(string, time.Time)              {}
func (noSuspects) Ended(string, time.Time)                  {}

type noQuantiles struct{}

func (noQuantiles) Quantile(route.StageKey, float64, time.Time) route.Estimate {
	return route.Estimate{}
}
