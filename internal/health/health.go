// Package health tracks the health of endpoints from the outcomes of requests.
package health

import (
	"math"
	"time"
)

// Rate is a moving average of the share of failed requests. It decays without
// new outcomes, so that an endpoint that has recovered is tried again.
type Rate struct {
	value float64
	at    time.Time
}

// Record adds the outcome of one request; weight, from 0 to 1, is its share in
// the new rate.
func (r *Rate) Record(failed bool, weight float64, halfLife time.Duration, now time.Time) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	before := r.At(halfLife, now)
	r.value = before + weight*(outcome-before)
	r.at = now
}

// At returns the rate at now: the rate after the last outcome, halved with each
// halfLife since.
func (r *Rate) At(halfLife time.Duration, now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp2(-now.Sub(r.at).Seconds()/halfLife.Seconds())
}

// maxDoublings limits the exponent, so that the duration of a pause does not
// overflow.
const maxDoublings = 5

// Backoff is an exponential backoff: an endpoint that fails gets no requests for a
// while, which doubles with each consecutive failure.
type Backoff struct {
	// failures is the number of consecutive failures.
	failures int
	until    time.Time
}

// RecordFailure begins a pause after a failure. Its duration is first, doubled for each
// consecutive failure before this one, up to most.
func (p *Backoff) RecordFailure(first, most time.Duration, now time.Time) {
	p.until = now.Add(min(most, first<<min(p.failures, maxDoublings)))
	p.failures++
}

// BlockFor begins a pause of d, independent of the number of failures.
func (p *Backoff) BlockFor(d time.Duration, now time.Time) { p.until = now.Add(d) }

// ResetFailures resets the number of failures; it does not end a pause that has begun.
func (p *Backoff) ResetFailures() { p.failures = 0 }

// Active reports whether a pause is in effect at now.
func (p *Backoff) Active(now time.Time) bool { return now.Before(p.until) }
