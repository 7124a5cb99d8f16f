package order

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/bundle"
)

// minSlot is long enough for a tick to fall into it.
const minSlot = 2 * TickInterval

// pace says when an engine may load. Each engine of the bundle has a slot in
// an interval that repeats by the wall clock, and loads once in it at most.
//
// It guards against a burst on the weight store when a bundle names a new model
// or many engines restart at once: intervals that each giver counted for itself
// from that event would all begin together, and a giver that restarts would
// begin anew. What remains: clocks that differ shift the slots, so two
// neighbours may load at once; a giver that restarts within its slot may load
// twice; and more engines than the bundle expects share slots.
type pace struct {
	interval time.Duration
	slot     time.Duration
	// phase is where the own slot begins in the interval.
	phase time.Duration
}

// paceOf returns the pace of one engine; without a limit any time is its turn.
func paceOf(b *bundle.Bundle, pool, engine string) pace {
	rate := b.Policy.ModelLoadsPerMinute
	if rate <= 0 {
		return pace{}
	}
	slot := time.Duration(float64(time.Minute) / rate)
	engines, own := 0, 0
	for i := range b.Pools {
		p := &b.Pools[i]
		if p.Name == pool {
			own = engines + place(p, engine)
		}
		if p.Name == pool || len(p.Models) > 0 {
			engines += p.Endpoints
		}
	}
	return pace{
		interval: time.Duration(engines) * slot,
		slot:     max(slot, minSlot),
		phase:    time.Duration(own) * slot,
	}
}

// place numbers an engine within its pool: endpoints are named POOL-1 and so
// on, and any other name is hashed.
func place(p *bundle.Pool, engine string) int {
	number, found := strings.CutPrefix(engine, p.Name+"-")
	n, err := strconv.Atoi(number)
	if found && err == nil && n >= 1 && n <= p.Endpoints {
		return n - 1
	}
	return int(xxhash.Sum64String(engine) % uint64(max(1, p.Endpoints)))
}

// turn returns the beginning of the engine's latest slot, and whether it is
// still open.
func (p pace) turn(now time.Time) (time.Time, bool) {
	if p.interval <= 0 {
		return now, true
	}
	began := now.Add(-p.phase).Truncate(p.interval).Add(p.phase)
	return began, now.Sub(began) < p.slot
}
