package agent

import "time"

// costWeight is the weight of a new run in the moving average of costShare.
const costWeight = 0.1

// costShare is what part of a run's time on the endpoint the endpoint charges
// for it. An engine runs many calls at once and charges each with its part of
// every step. A run that is cancelled or lost has no such word; at its whole time
// it would cost as much as a full batch, and a few of them more than all answers.
// It is charged like those that complete beside it.
type costShare struct {
	share float64
	known bool
}

func (s *costShare) add(took, cost time.Duration) {
	if took <= 0 || cost <= 0 {
		return
	}
	latest := min(1, float64(cost)/float64(took))
	if !s.known {
		s.share, s.known = latest, true
		return
	}
	s.share += costWeight * (latest - s.share)
}

// of is the part of took that is charged; all of it while nothing is known.
func (s *costShare) of(took time.Duration) time.Duration {
	if !s.known {
		return took
	}
	return time.Duration(s.share * float64(took))
}
