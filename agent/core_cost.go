package agent

import "time"

// costWeight is the weight of a new run in the moving average of costModel.
const costWeight = 0.1

// costModel learns how the endpoint charges for time. Some endpoints, such as
// batching engines, charge each run a share of the time that concurrent runs
// have in common; others charge each run its whole time.
//
// A run that is cancelled or lost reports no cost. Charged its whole time it
// would cost as much as a full batch, and a few such runs more than all
// completed ones, so it is charged like the runs that complete.
type costModel struct {
	// factor is the cost of a run, as a multiple of its time divided by the
	// number of concurrent runs: 1 if they share the time, their number if they
	// do not.
	factor float64
	// known means that at least one run has completed.
	known bool
}

// add updates the model with a completed run. concurrent is the mean number of
// runs on the endpoint during it.
func (s *costModel) add(duration, cost time.Duration, concurrent float64) {
	if duration <= 0 || cost <= 0 {
		return
	}
	latest := min(1, float64(cost)/float64(duration)) * concurrent
	if !s.known {
		s.factor, s.known = latest, true
		return
	}
	s.factor += costWeight * (latest - s.factor)
}

// estimate returns the part of duration that is charged to an incomplete run;
// all of it while nothing is known.
func (s *costModel) estimate(duration time.Duration, concurrent float64) time.Duration {
	if !s.known {
		return duration
	}
	return time.Duration(min(1, s.factor/concurrent) * float64(duration))
}
