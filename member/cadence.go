package member

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mangostage/mangostage/wire"
)

const (
	// watcherListInterval is the interval at which watchers read the list of VMs.
	watcherListInterval = time.Second
	// entryListInterval is the interval at which entries read the list of VMs, if
	// there are at most maxUnscaledSharers of them; agentListInterval is that of
	// agents, in a fleet of at most as many VMs. Above that, both grow with the
	// square root of the number, so that the total rate of reads grows more
	// slowly than the fleet. The others learn of a leaving VM by notifications
	// from the watchers.
	entryListInterval  = time.Second
	agentListInterval  = 5 * time.Second
	maxUnscaledSharers = 8
	// bundlePollInterval is the interval at which a process that does not watch
	// the configuration service reads the bundle; it grows with the fleet likewise.
	bundlePollInterval = 10 * time.Second
	// isolatedPollInterval is the least interval at which a process without any
	// peer connection reads the bundle. It grows with the fleet, so that a fleet
	// of such processes makes at most maxIsolatedReadsPerSecond reads.
	isolatedPollInterval      = 2 * time.Second
	maxIsolatedReadsPerSecond = 200
	// jitterFraction is the largest fraction by which jitter lengthens or shortens
	// an interval.
	jitterFraction = 0.25
)

// jitter varies d at random by up to jitterFraction.
func jitter(rng *rand.Rand, d time.Duration) time.Duration { return applyJitter(d, rng.Float64()) }

// applyJitter varies d by up to jitterFraction. Draw is in [0, 1): 0 gives the
// shortest interval.
func applyJitter(d time.Duration, draw float64) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*draw-1)))
}

// listInterval returns the time until the next read of the list of VMs.
func (c *gossipCore) listInterval() time.Duration {
	switch {
	case c.watcher:
		return jitter(c.rng, watcherListInterval)
	case c.role == wire.RoleEntry:
		return jitter(c.rng, scaleInterval(entryListInterval, c.entryCount))
	}
	return jitter(c.rng, scaleInterval(agentListInterval, c.fleetSize))
}

// pollInterval returns the time between two reads of the bundle by a process that
// does not watch it. Draw, in [0, 1), selects the jitter as in applyJitter.
func (c *gossipCore) pollInterval(draw float64) time.Duration {
	if len(c.peers) > 0 {
		return applyJitter(scaleInterval(bundlePollInterval, c.fleetSize), draw)
	}
	fleetLimit := time.Duration(c.fleetSize) * time.Second / maxIsolatedReadsPerSecond
	return applyJitter(max(isolatedPollInterval, fleetLimit), draw)
}

// scaleInterval lengthens an interval with the square root of the number of
// processes that share the platform's rate limit.
func scaleInterval(base time.Duration, n int) time.Duration {
	if n <= maxUnscaledSharers {
		return base
	}
	return time.Duration(float64(base) * math.Sqrt(float64(n)/maxUnscaledSharers))
}
