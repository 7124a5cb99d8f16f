package dispatch

import "time"

const (
	// lagWeight is the share of the newest event in the owner's lag.
	lagWeight = 0.1
	// lagMax bounds what one event says of it: a process that was paused is not
	// slow when it wakes.
	lagMax = time.Second
)

// Lagged notes how late an event was handled. An owner whose processor is too
// busy starts each stage so much later than the queues alone tell; admission
// counts it, so that the owner takes no more than it can keep up with.
func (c *Core) Lagged(late time.Duration) {
	late = min(max(0, late), lagMax)
	c.lag += time.Duration(lagWeight * float64(late-c.lag))
}
