package order

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/bundle"
)

// minSlot is long enough for at least one tick to fall into each slot.
const minSlot = 2 * TickInterval

// pace determines when an engine may load models. Each engine of the bundle has
// a slot in an interval that repeats by the wall clock, and starts at most one
// load in it.
//
// It prevents a burst on the weight store when a bundle names a new model or
// many engines restart at once. If each controller counted the interval from
// that event, all intervals would begin together, and a controller that
// restarts would begin a new one. Some overlap remains: clocks that differ
// shift the slots, so two neighbours may load at once; a controller that
// restarts within its slot may load twice; and if there are more engines than
// the bundle expects, some share a slot.
type pace struct {
	// interval is the time from one slot of an engine to its next; zero if the
	// rate is not limited.
	interval time.Duration
	// slot is the length of this engine's slot, at least minSlot.
	slot time.Duration
	// phase is where this engine's slot begins in the interval.
	phase time.Duration
}

// newPace returns the pace of one engine. Without a limit the engine may load
// at any time.
func newPace(b *bundle.Bundle, pool, engine string) pace {
	rate := b.Policy.ModelLoadsPerMinute
	if rate <= 0 {
		return pace{}
	}
	slot := time.Duration(float64(time.Minute) / rate)
	engines, position := 0, 0
	for i := range b.Pools {
		p := &b.Pools[i]
		if p.Name == pool {
			position = engines + enginePosition(p, engine)
		}
		if p.Name == pool || len(p.Models) > 0 {
			engines += p.Endpoints
		}
	}
	return pace{
		interval: time.Duration(engines) * slot,
		slot:     max(slot, minSlot),
		phase:    time.Duration(position) * slot,
	}
}

// enginePosition returns an engine's index within its pool. Endpoints are named
// POOL-1, POOL-2 and so on; any other name is hashed.
func enginePosition(p *bundle.Pool, engine string) int {
	number, found := strings.CutPrefix(engine, p.Name+"-")
	n, err := strconv.Atoi(number)
	if found && err == nil && n >= 1 && n <= p.Endpoints {
		return n - 1
	}
	return int(xxhash.Sum64String(engine) % uint64(max(1, p.Endpoints)))
}

// currentSlot returns the start of the engine's latest slot, and whether the
// slot is still open.
func (p pace) currentSlot(now time.Time) (time.Time, bool) {
	if p.interval <= 0 {
		return now, true
	}
	began := now.Add(-p.phase).Truncate(p.interval).Add(p.phase)
	return began, now.Sub(began) < p.slot
}
