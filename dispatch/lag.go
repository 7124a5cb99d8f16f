package dispatch

import "time"

const (
	// lagWeight is the weight of the newest observation in the owner's lag.
	lagWeight = 0.25
	// lagMax bounds one observation.
	lagMax = time.Second
)

// ownerLag is the delay with which the owner handles events, as a moving average.
type ownerLag struct {
	average, latest time.Duration
}

// observe adds an observation. What counts is the lesser of the latest two: a process that
// was paused once is not slow when it resumes.
func (l *ownerLag) observe(late time.Duration) {
	late = min(max(0, late), lagMax)
	observed := min(late, l.latest)
	l.latest = late
	l.average += time.Duration(lagWeight * float64(observed-l.average))
}

// ObserveLag updates the lag with the delay of one tick. An owner with an overloaded
// processor starts each stage that much later than the queues alone suggest; admission
// adds the lag, so that the owner accepts no more than it can process, and refuses a part of
// the jobs at once.
func (c *Core) ObserveLag(late time.Duration) { c.lag.observe(late) }
