package dispatch

import "time"

// freeConsumed frees the results of stages that all their consumers have read: the
// next calls need the memory.
func (c *Core) freeConsumed(j *job, now time.Time) {
	for _, s := range j.stages {
		if s.freed || s.Pieces == 0 || !s.done() || !j.consumed(s.index) {
			continue
		}
		s.freed = true
		c.free(s.results, now)
	}
}

// free gives up results that are still recorded. Their memory stays reserved until the
// endpoint has answered: a call sent meanwhile may overtake the message, and its pieces
// would find no memory.
func (c *Core) free(results []*result, now time.Time) {
	for _, r := range results {
		if r == nil || r.discarded || !r.worker.hasResult(r) {
			continue
		}
		r.discarded = true
		c.learnHoldTime(r, now)
		if r.worker.removed {
			r.worker.release(r)
			continue
		}
		c.gather(r, now)
	}
}

func handlesOf(results []*result) []string {
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.handle
	}
	return handles
}

// FreeEnded handles the answer to a Free. If it failed, the endpoint may still
// keep the results, so they stay recorded until they expire.
func (c *Core) FreeEnded(now time.Time, id uint64, ok bool) {
	results := c.pendingFrees[id]
	delete(c.pendingFrees, id)
	if !ok {
		return
	}
	for _, r := range results {
		r.worker.release(r)
		c.memoryFreed(r.worker)
	}
	c.dispatch(now)
}

// memoryFreed notes that a worker may have memory for pieces that did not fit
// before.
func (c *Core) memoryFreed(w *worker) {
	if p := c.pools[w.endpoint.Service]; p != nil {
		p.changed = true
	}
}

// learnHoldTime updates the average hold time with a result that is being freed.
func (c *Core) learnHoldTime(r *result, now time.Time) {
	if p := c.pools[r.worker.endpoint.Service]; p != nil {
		p.avgHoldTime += time.Duration(holdTimeWeight * float64(now.Sub(r.reservedAt)-p.avgHoldTime))
	}
}

// keepsResults reports whether an endpoint keeps results of the job.
func (j *job) keepsResults() bool {
	for _, s := range j.stages {
		for _, r := range s.results {
			if r != nil && !r.discarded && r.worker.hasResult(r) {
				return true
			}
		}
	}
	return false
}

// freeAll frees all results of a job.
func (c *Core) freeAll(j *job, now time.Time) {
	for _, s := range j.stages {
		s.freed = true
		c.free(s.results, now)
	}
}
