package dispatch

import (
	"math"
	"time"
)

const (
	// slownessWeight is the least weight of the newest observation in an engine's
	// slowness, and slownessPrior the weight of the service's mean among the first
	// ones: they weigh 1/4, 1/5 and so on.
	slownessWeight = 0.1
	slownessPrior  = 3.0
	// slownessHold is how long a slowness holds without new observations, and
	// slownessHalfLife its half-life after that, so that a slow engine that has
	// recovered gets requests again.
	slownessHold     = 2 * time.Second
	slownessHalfLife = 10 * time.Second
	// forgetStep is how long a slowness that is being forgotten is used before it is
	// computed again.
	forgetStep = 100 * time.Millisecond
	// slownessMin and slownessMax bound the ratio observed in one request.
	slownessMin, slownessMax = 0.25, 8.0
	// slownessNoise is the relative difference from the mean that counts as none.
	slownessNoise = 0.01
)

// slowness is the geometric moving average of an engine's measured over its expected
// times, which are the mean of its service. The zero value stands for an engine
// without observations: it is as slow as the mean.
//
// It guards against this failure: engines differ threefold, or one becomes slow but
// answers every request without a failure, so its health is good. Requests at the
// slower ones wait several times as long.
type slowness struct {
	// log is the logarithm of the slowness and count the number of observations that
	// it stands for, as of at. ratio is the slowness at that time.
	log, count, ratio float64
	at                time.Time
	// forgotten is the slowness that was left at forgottenAt.
	forgotten   float64
	forgottenAt time.Time
}

// learn adds an observation: a time and the one expected of an engine like the mean.
func (s *slowness) learn(took, expected time.Duration, now time.Time) {
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := min(slownessMax, max(slownessMin, float64(took)/float64(expected)))
	kept := s.kept(now)
	log, count := s.log*kept, s.count*kept
	log += max(slownessWeight, 1/(1+slownessPrior+count)) * (math.Log(ratio) - log)
	s.set(log, min(count+1, 1/slownessWeight), now)
}

// recordFailure notes that the engine has failed: the time of a request that was not
// served does not show that it is fast, so an engine that counted as fast no longer does.
func (s *slowness) recordFailure(now time.Time) {
	if s.log < 0 {
		s.set(0, s.count*s.kept(now), now)
	}
}

// set sets the state as of now.
func (s *slowness) set(log, count float64, now time.Time) {
	s.log, s.count, s.at = log, count, now
	s.ratio = math.Exp(log)
	s.forgottenAt = time.Time{}
}

// kept returns the fraction of the state that is left at now.
func (s *slowness) kept(now time.Time) float64 {
	age := now.Sub(s.at) - slownessHold
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / slownessHalfLife.Seconds())
}

// factor returns the factor for expected times.
func (s *slowness) factor(now time.Time) float64 {
	if s.log < slownessNoise && s.log > -slownessNoise {
		return 1
	}
	if now.Sub(s.at) <= slownessHold {
		return s.ratio
	}
	if age := now.Sub(s.forgottenAt); age >= 0 && age < forgetStep {
		return s.forgotten
	}
	s.forgotten, s.forgottenAt = 1, now
	if log := s.log * s.kept(now); math.Abs(log) >= slownessNoise {
		s.forgotten = math.Exp(log)
	}
	return s.forgotten
}
