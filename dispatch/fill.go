package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// dispatch starts calls at idle workers while work waits, in the pools in which
// something has changed since the last time.
func (c *Core) dispatch(now time.Time) {
	for _, p := range c.byName {
		if !p.changed {
			continue
		}
		p.changed = false
		if len(p.queue) > 0 {
			c.fill(p, now)
		}
	}
}

// fill starts calls at the idle workers of a pool.
func (c *Core) fill(p *pool, now time.Time) {
	for _, w := range c.idle(p, now) {
		for w.idle(now) && !p.window.full(now) {
			pieces := p.batch(w, now)
			if len(pieces) == 0 {
				break
			}
			c.start(p, w, pieces, now)
		}
	}
}

// idle lists the idle workers with room for a result, the fastest first.
func (c *Core) idle(p *pool, now time.Time) []*worker {
	least := p.smallest()
	var workers []*worker
	for _, w := range p.workers {
		if !w.idle(now) {
			continue
		}
		w.expire(now)
		if w.room(p.roomShare) >= least {
			workers = append(workers, w)
		}
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(a.speed, b.speed) })
	if p.window.limit != unbounded {
		c.scatter(workers)
	}
	return workers
}

// scatter orders workers by hash, differently at each owner: several that share
// the endpoints would meet at the fastest ones.
func (c *Core) scatter(workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(mix(a.hash^c.salt), mix(b.hash^c.salt)) })
}

// sortPools lists the pools in a fixed order, so that a run can be repeated.
func (c *Core) sortPools() {
	c.byName = c.byName[:0]
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		c.byName = append(c.byName, c.pools[name])
	}
}
