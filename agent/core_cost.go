package agent

import "time"

// costWeight is the weight of a new run in the moving average of costShare.
const costWeight = 0.1

// costShare is how an endpoint charges for time: each run with its part of what
// all of them share, as an engine does with every step, or each with all of its
// time. A run that is cancelled or lost has no word on its cost; at its whole time
// it would cost as much as a full batch, and a few of them more than all answers.
// It is charged like those that complete.
type costShare struct {
	// factor is the cost of a run as a multiple of its time divided by the runs
	// on the endpoint: 1 if they share it, their number if they do not.
	factor float64
	known  bool
}

func (s *costShare) add(took, cost time.Duration, beside float64) {
	if took <= 0 || cost <= 0 {
		return
	}
	latest := min(1, float64(cost)/float64(took)) * beside
	if !s.known {
		s.factor, s.known = latest, true
		return
	}
	s.factor += costWeight * (latest - s.factor)
}

// of is the part of took that is charged; all of it while nothing is known.
func (s *costShare) of(took time.Duration, beside float64) time.Duration {
	if !s.known {
		return took
	}
	return time.Duration(min(1, s.factor/beside) * float64(took))
}
