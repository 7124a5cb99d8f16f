package share

import (
	"math"
	"time"
)

// Decayed is a count that halves in each half-life without additions.
type Decayed struct {
	value float64
	asOf  time.Time
}

// At returns the count at now.
func (d *Decayed) At(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(d.asOf)
	if d.value == 0 || age <= 0 {
		return d.value
	}
	return d.value * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// Add adds an amount, which may be negative; the count never falls below 0.
func (d *Decayed) Add(now time.Time, halfLife time.Duration, amount float64) {
	d.value = max(0, d.At(now, halfLife)+amount)
	if now.After(d.asOf) {
		d.asOf = now
	}
}

// Remove takes back an amount that was added at the given time, as far as it has not
// decayed since.
func (d *Decayed) Remove(now time.Time, halfLife time.Duration, amount float64, added time.Time) {
	given := Decayed{value: amount, asOf: added}
	d.Add(now, halfLife, -given.At(now, halfLife))
}

// Steady returns the count, with the half-life HalfLife, to which a steady rate per second
// leads.
func Steady(perSecond float64) float64 { return perSecond * HalfLife.Seconds() / math.Ln2 }

// PerSecond returns the steady rate that leads to a count with the half-life HalfLife.
func PerSecond(count float64) float64 { return count * math.Ln2 / HalfLife.Seconds() }
