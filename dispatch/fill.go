package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangostage/mangostage/internal/hashmix"
	"github.com/mangostage/mangostage/quota"
)

// dispatch starts calls at idle workers while work waits, in the pools that have
// changed since the last time.
func (c *Core) dispatch(now time.Time) {
	for _, p := range c.sortedPools {
		if !p.changed {
			continue
		}
		p.changed = false
		if len(p.queue) > 0 {
			c.fillPool(p, now)
		}
	}
}

// fillPool starts calls at the idle workers of a pool.
func (c *Core) fillPool(p *pool, now time.Time) {
	for _, w := range c.idle(p, now) {
		for w.idle(now) && !p.callWindow.full(now) {
			pieces := p.nextBatch(w, now)
			if len(pieces) == 0 {
				break
			}
			c.startCall(p, w, pieces, now)
		}
	}
}

// idle returns the idle workers with memory for at least the smallest queued
// result, the fastest first or, if the call window is bounded, in hash order.
func (c *Core) idle(p *pool, now time.Time) []*worker {
	least := p.smallestResult()
	var workers []*worker
	for _, w := range p.workers {
		if !w.idle(now) {
			continue
		}
		w.expire(now)
		if w.freeMemory(p.memoryShare) >= least {
			workers = append(workers, w)
		}
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(a.speed, b.speed) })
	if p.callWindow.limit != unbounded {
		c.orderByHash(workers)
	}
	if !c.quotas.Empty() {
		c.putProbesFirst(workers, now)
	}
	if !c.backoffs.Empty() {
		c.putRestedFirst(workers, now)
	}
	return workers
}

// putRestedFirst moves one worker whose backoff has ended to the front: what is known of
// its speed is out of date. The others have their turn in later calls.
func (c *Core) putRestedFirst(workers []*worker, now time.Time) {
	for i, w := range workers {
		if c.backoffs.TakeProbe(now, w.key) {
			copy(workers[1:i+1], workers[:i])
			workers[0] = w
			return
		}
	}
}

// putProbesFirst moves workers with quotas that have got nothing for a while to the
// front.
func (c *Core) putProbesFirst(workers []*worker, now time.Time) {
	probe := func(w *worker) int {
		if c.quotas.ProbeDue(now, w.key, quota.ProbeInterval) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(probe(a), probe(b)) })
}

// orderByHash orders workers by hash, differently at each owner: owners that share
// the endpoints would otherwise all call the fastest ones first.
func (c *Core) orderByHash(workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(hashmix.Mix(a.hash^c.salt), hashmix.Mix(b.hash^c.salt)) })
}

// sortPools updates sortedPools. The fixed order makes runs reproducible.
func (c *Core) sortPools() {
	c.sortedPools = c.sortedPools[:0]
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		c.sortedPools = append(c.sortedPools, c.pools[name])
	}
}
