package dispatch

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of the newest request in an engine's slowness.
	slownessWeight = 0.1
	// slownessHalfLife is the half-life of slowness without new observations, so that
	// a slow engine that has recovered gets requests again.
	slownessHalfLife = 10 * time.Second
	// slownessTolerance is how much slower than expected an engine may be before it is
	// penalized: requests would crowd on the fastest engines otherwise.
	slownessTolerance = 1.3
	// slownessMin and slownessMax bound the ratio observed in one request.
	slownessMin, slownessMax = 0.25, 8.0
)

// slowness is the moving average of an engine's measured over its expected time to
// the first event. The zero value stands for an engine without observations.
//
// It guards against this failure: an engine becomes slow but answers every request
// without a failure, so its health is good. Its requests wait several times as
// long, and its queue of prompts only grows once it is too late for those that
// wait.
type slowness struct {
	// excess is the slowness minus 1, as of at.
	excess float64
	at     time.Time
}

// learn adds an observation: a time to the first event and the expected one.
func (s *slowness) learn(took, expected time.Duration, now time.Time) {
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := min(slownessMax, max(slownessMin, float64(took)/float64(expected)))
	above := s.excessAt(now)
	s.excess = above + slownessWeight*(ratio-1-above)
	s.at = now
}

// excessAt returns the slowness minus 1 at now.
func (s *slowness) excessAt(now time.Time) float64 {
	age := max(0, now.Sub(s.at).Seconds()) / slownessHalfLife.Seconds()
	return s.excess * math.Exp2(-age)
}

// factor returns the factor for expected times; at least 1.
func (s *slowness) factor(now time.Time) float64 {
	return max(1, (1+s.excessAt(now))/slownessTolerance)
}
