package member

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mangostage/mangostage/wire"
)

const (
	// watcherList is the cadence at which watchers read the list.
	watcherList = time.Second
	// entryList is the cadence of entries, in a fleet of up to cadenceUnit of
	// them, and agentList that of agents. Both lengthen with the square root of
	// the number, so that the total grows more slowly than the fleet. News of
	// a leaving VM goes from the watchers to all others by notes.
	entryList   = time.Second
	agentList   = 5 * time.Second
	cadenceUnit = 8
	// bundlePoll is how often a process that does not watch reads the bundle;
	// it lengthens likewise.
	bundlePoll = 10 * time.Second
	// lonelyPoll is the cadence of a process without any connection, at most
	// maxLonelyRate reads a second for a whole fleet of such.
	lonelyPoll    = 2 * time.Second
	maxLonelyRate = 200
	// jitterShare is the share by which each cadence is varied either way.
	jitterShare = 0.25
)

func jitter(rng *rand.Rand, d time.Duration) time.Duration { return vary(d, rng.Float64()) }

// vary lengthens or shortens d by up to jitterShare; draw is from 0 to 1.
func vary(d time.Duration, draw float64) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*draw-1)))
}

// listEvery returns the time to the next list read.
func (c *spreadCore) listEvery() time.Duration {
	switch {
	case c.watcher:
		return jitter(c.rng, watcherList)
	case c.role == wire.RoleEntry:
		return jitter(c.rng, scaled(entryList, c.entries))
	}
	return jitter(c.rng, scaled(agentList, c.fleet))
}

// pollEvery returns the time between two reads of the bundle by a process that
// does not watch it; draw, from 0 to 1, places it in the range of the jitter.
func (c *spreadCore) pollEvery(draw float64) time.Duration {
	if len(c.peers) > 0 {
		return vary(scaled(bundlePoll, c.fleet), draw)
	}
	slowest := time.Duration(c.fleet) * time.Second / maxLonelyRate
	return vary(max(lonelyPoll, slowest), draw)
}

// scaled lengthens a cadence with the square root of the number that share it.
func scaled(base time.Duration, sharers int) time.Duration {
	if sharers <= cadenceUnit {
		return base
	}
	return time.Duration(float64(base) * math.Sqrt(float64(sharers)/cadenceUnit))
}
