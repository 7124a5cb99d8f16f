package dispatch

import "time"

const (
	// lagWeight is the weight of the newest event in the owner's lag.
	lagWeight = 0.1
	// lagMax bounds the lag of one event: a process that was paused is not slow when
	// it resumes.
	lagMax = time.Second
)

// ObserveLag updates the lag with the delay of one event. An owner with an overloaded
// processor starts each stage that much later than the queues alone suggest;
// admission adds the lag, so that the owner accepts no more than it can process.
func (c *Core) ObserveLag(late time.Duration) {
	late = min(max(0, late), lagMax)
	c.lag += time.Duration(lagWeight * float64(late-c.lag))
}
