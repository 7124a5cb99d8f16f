package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/wire"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newPolicy(t testing.TB, name bundle.PolicyName) Policy {
	t.Helper()
	p, err := New(bundle.Policy{Name: name, MaxAttempts: 3, RetryBudget: 0.1})
	assert.NilError(t, err)
	return p
}

func TestNewUnknownPolicy(t *testing.T) {
	_, err := New(bundle.Policy{Name: "clever"})
	assert.ErrorContains(t, err, "clever")
}

func TestDecide(t *testing.T) {
	retryable := Failure{Pool: "llm", Status: wire.StatusLost, Attempts: 1, Remaining: 2 * time.Second, Need: time.Second}
	with := func(change func(f *Failure)) Failure {
		f := retryable
		change(&f)
		return f
	}
	tests := map[string]struct {
		failure  Failure
		adaptive Reason
		naive    Reason
	}{
		"lost":            {retryable, ReasonRetry, ReasonRetry},
		"failed":          {with(func(f *Failure) { f.Status = wire.StatusFailed }), ReasonRetry, ReasonRetry},
		"second retry":    {with(func(f *Failure) { f.Attempts = 2 }), ReasonRetry, ReasonRetry},
		"attempts used":   {with(func(f *Failure) { f.Attempts = 3 }), ReasonAttempts, ReasonRetry},
		"all used":        {with(func(f *Failure) { f.Attempts = 4 }), ReasonAttempts, ReasonAttempts},
		"not reached":     {with(func(f *Failure) { f.NotReached = true }), ReasonRetry, ReasonRetry},
		"no time":         {with(func(f *Failure) { f.Need = 3 * time.Second }), ReasonNoTime, ReasonRetry},
		"unrepeatable":    {with(func(f *Failure) { f.Unrepeatable = true }), ReasonUnrepeatable, ReasonUnrepeatable},
		"earlier sending": {with(func(f *Failure) { f.Status = wire.StatusUnknown }), ReasonUnrepeatable, ReasonUnrepeatable},
		"proved not run": {
			with(func(f *Failure) { f.Unrepeatable, f.Status = true, wire.StatusRefused }), ReasonRetry, ReasonRetry,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := newPolicy(t, bundle.PolicyAdaptive).Decide(test.failure, start)
			assert.DeepEqual(t, got, Decision{Retry: test.adaptive == ReasonRetry, Reason: test.adaptive})
			got = newPolicy(t, bundle.PolicyNaive).Decide(test.failure, start)
			assert.DeepEqual(t, got, Decision{Retry: test.naive == ReasonRetry, Reason: test.naive})
		})
	}
}

// Guards against retries that multiply the load of an outage: engines are down,
// every call fails, and callers send a thousand calls in ten seconds. Naive
// retries make four thousand of them; the budget adds only the saved tokens and
// one per second.
func TestOutageIsNotAmplified(t *testing.T) {
	attempts := func(p Policy) int {
		sent := 0
		for range 5000 {
			p.Success("llm", start)
		}
		for i := range 1000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			f := Failure{Pool: "llm", Status: wire.StatusFailed, Remaining: time.Minute}
			for {
				sent++
				f.Attempts++
				if !p.Decide(f, now).Retry {
					break
				}
			}
		}
		return sent
	}
	assert.Equal(t, attempts(newPolicy(t, bundle.PolicyNaive)), 4000)
	got := attempts(newPolicy(t, bundle.PolicyAdaptive))
	assert.Assert(t, got >= 1100 && got <= 1110, "%d", got)
}

func TestHedgesLeaveTheReserve(t *testing.T) {
	p := newPolicy(t, bundle.PolicyAdaptive)
	assert.Assert(t, !p.Hedge("llm", start))
	for range 25 {
		p.Success("llm", start)
	}
	assert.Assert(t, p.Hedge("llm", start))
	assert.Assert(t, p.Hedge("llm", start))
	assert.Assert(t, !p.Hedge("llm", start))
	assert.Assert(t, !newPolicy(t, bundle.PolicyNaive).Hedge("llm", start))
}

// TestBudgetBound checks random sequences against the bound that Budget documents.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio = 0.1
		b := NewBudget(ratio)
		now := start
		successes, taken := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "successes") {
				b.Success("llm", now)
				successes++
			}
			for range rapid.IntRange(0, 5).Draw(t, "retries") {
				if b.Take("llm", now) {
					taken++
				}
			}
		}
		bound := ratio*float64(successes) + now.Sub(start).Seconds() + reserveTokens
		assert.Assert(t, float64(taken) <= bound+1e-6, "%d retries, bound %v", taken, bound)
	})
}
