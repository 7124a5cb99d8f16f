// Package health judges endpoints by how requests at them ended.
package health

import (
	"math"
	"time"
)

// Rate is a moving share of failed requests. It fades without new evidence, so
// that an endpoint that is well again is tried again.
type Rate struct {
	value float64
	at    time.Time
}

// Learn takes one outcome; weight is its share in the rate.
func (r *Rate) Learn(failed bool, weight float64, halfLife time.Duration, now time.Time) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	before := r.At(halfLife, now)
	r.value = before + weight*(outcome-before)
	r.at = now
}

// At is the rate at now; it halves with each halfLife since the last outcome.
func (r *Rate) At(halfLife time.Duration, now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp2(-now.Sub(r.at).Seconds()/halfLife.Seconds())
}

// maxDoublings keeps a pause from overflowing.
const maxDoublings = 5

// Pause keeps an endpoint that does not answer from getting more requests; it
// doubles with each failure in a row.
type Pause struct {
	failures int
	until    time.Time
}

// Fail pauses for first, doubled for each failure before in a row, at most for most.
func (p *Pause) Fail(first, most time.Duration, now time.Time) {
	p.until = now.Add(min(most, first<<min(p.failures, maxDoublings)))
	p.failures++
}

// Hold pauses for d, whatever failed before.
func (p *Pause) Hold(d time.Duration, now time.Time) { p.until = now.Add(d) }

// Clear forgets the failures; a pause under way ends by itself.
func (p *Pause) Clear() { p.failures = 0 }

// Active tells whether the pause is under way.
func (p *Pause) Active(now time.Time) bool { return now.Before(p.until) }
