package dispatch

import (
	"math"
	"time"
)

const (
	// slownessWeight is the share of the newest request in an engine's slowness.
	slownessWeight = 0.1
	// slownessHalfLife is the time in which half of it is forgotten without new
	// evidence, so that a slow engine that is well again gets requests.
	slownessHalfLife = 10 * time.Second
	// slownessTolerance is how much slower than usual an engine may be before
	// that counts: requests would crowd on the fastest ones otherwise.
	slownessTolerance = 1.3
	// slownessMin and slownessMax bound what one request says of it.
	slownessMin, slownessMax = 0.25, 8.0
)

// slowness is the measured time of an engine to the first event over the expected
// one. The zero value is that of an engine of which nothing is known.
//
// The failure that it guards against: an engine turns slow, answers all and fails
// nothing, so its health is good; whoever is sent there waits several times as
// long, and prompts pile up only once it is too late for those that wait.
type slowness struct {
	// above is the slowness beyond 1, as of at.
	above float64
	at    time.Time
}

// learn compares a time to the first event with the expected one.
func (s *slowness) learn(took, expected time.Duration, now time.Time) {
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := min(slownessMax, max(slownessMin, float64(took)/float64(expected)))
	above := s.aboveAt(now)
	s.above = above + slownessWeight*(ratio-1-above)
	s.at = now
}

// aboveAt is the slowness beyond 1 at now.
func (s *slowness) aboveAt(now time.Time) float64 {
	age := max(0, now.Sub(s.at).Seconds()) / slownessHalfLife.Seconds()
	return s.above * math.Exp2(-age)
}

// factor is what an expected time is multiplied by; at least 1.
func (s *slowness) factor(now time.Time) float64 {
	return max(1, (1+s.aboveAt(now))/slownessTolerance)
}
