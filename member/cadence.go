package member

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mangostage/mangostage/wire"
)

const (
	// watcherList is the cadence at which watchers read the list.
	watcherListInterval = time.Second
	// entryList is the cadence of entries, in a fleet of up to cadenceUnit of
	// them, and agentList that of agents. Both lengthen with the square root of
	// the number, so that the total grows more slowly than the fleet. News of
	// a leaving VM goes from the watchers to all others by notes.
	entryListInterval = time.Second
	agentListInterval = 5 * time.Second
	unscaledSharers   = 8
	// bundlePoll is how often a process that does not watch reads the bundle;
	// it lengthens likewise.
	bundlePollInterval = 10 * time.Second
	// lonelyPoll is the cadence of a process without any connection, at most
	// maxLonelyRate reads a second for a whole fleet of such.
	isolatedPollInterval      = 2 * time.Second
	maxIsolatedReadsPerSecond = 200
	// jitterShare is the share by which each cadence is varied either way.
	jitterFraction = 0.25
)

func jitter(rng *rand.Rand, d time.Duration) time.Duration { return applyJitter(d, rng.Float64()) }

// vary lengthens or shortens d by up to jitterShare; draw is from 0 to 1.
func applyJitter(d time.Duration, draw float64) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*draw-1)))
}

// listEvery returns the time to the next list read.
func (c *gossipCore) listInterval() time.Duration {
	switch {
	case c.watcher:
		return jitter(c.rng, watcherListInterval)
	case c.role == wire.RoleEntry:
		return jitter(c.rng, scaleInterval(entryListInterval, c.entryCount))
	}
	return jitter(c.rng, scaleInterval(agentListInterval, c.fleetSize))
}

// pollEvery returns the time between two reads of the bundle by a process that
// does not watch it; draw, from 0 to 1, places it in the range of the jitter.
func (c *gossipCore) pollInterval(draw float64) time.Duration {
	if len(c.peers) > 0 {
		return applyJitter(scaleInterval(bundlePollInterval, c.fleetSize), draw)
	}
	fleetLimit := time.Duration(c.fleetSize) * time.Second / maxIsolatedReadsPerSecond
	return applyJitter(max(isolatedPollInterval, fleetLimit), draw)
}

// scaled lengthens a cadence with the square root of the number that share it.
func scaleInterval(base time.Duration, n int) time.Duration {
	if n <= unscaledSharers {
		return base
	}
	return time.Duration(float64(base) * math.Sqrt(float64(n)/unscaledSharers))
}
