package dispatch

import "time"

// freeConsumed gives up the results of stages that have been read by all
// stages that read them. The next calls need the room.
func (c *Core) freeConsumed(j *job, now time.Time) {
	for _, s := range j.stages {
		if s.freed || s.Pieces == 0 || !s.done() || !j.consumed(s.index) {
			continue
		}
		s.freed = true
		c.free(s.results, now)
	}
}

// free gives up results that are still booked, with one effect a worker. Their
// memory stays booked until the endpoint has answered: a call that is sent
// meanwhile may overtake the message, and its pieces would find no room.
func (c *Core) free(results []*result, now time.Time) {
	given := make(map[*worker][]*result)
	var order []*worker
	for _, r := range results {
		if r == nil || r.givenUp || !r.worker.keeps(r) {
			continue
		}
		r.givenUp = true
		c.held(r, now)
		if r.worker.gone {
			r.worker.release(r)
			continue
		}
		if given[r.worker] == nil {
			order = append(order, r.worker)
		}
		given[r.worker] = append(given[r.worker], r)
	}
	for _, w := range order {
		c.nextID++
		c.frees[c.nextID] = given[w]
		c.emit(Free{ID: c.nextID, Endpoint: w.endpoint.ID, Addr: w.endpoint.Addr, Handles: handlesOf(given[w])})
	}
}

func handlesOf(results []*result) []string {
	handles := make([]string, len(results))
	for i, r := range results {
		handles[i] = r.handle
	}
	return handles
}

// FreeEnded takes the answer to a Free. Results that the endpoint may still
// keep stay booked until it drops them by itself.
func (c *Core) FreeEnded(now time.Time, id uint64, ok bool) {
	results := c.frees[id]
	delete(c.frees, id)
	if !ok {
		return
	}
	for _, r := range results {
		r.worker.release(r)
		c.roomFreed(r.worker)
	}
	c.dispatch(now)
}

// roomFreed notes that a worker may have room for what did not fit.
func (c *Core) roomFreed(w *worker) {
	if p := c.pools[w.endpoint.Service]; p != nil {
		p.changed = true
	}
}

// held learns how long results take up memory.
func (c *Core) held(r *result, now time.Time) {
	if p := c.pools[r.worker.endpoint.Service]; p != nil {
		p.hold += time.Duration(holdWeight * float64(now.Sub(r.since)-p.hold))
	}
}

// holds tells whether an endpoint keeps results of the job.
func (j *job) holds() bool {
	for _, s := range j.stages {
		for _, r := range s.results {
			if r != nil && !r.givenUp && r.worker.keeps(r) {
				return true
			}
		}
	}
	return false
}

func (c *Core) freeAll(j *job, now time.Time) {
	for _, s := range j.stages {
		s.freed = true
		c.free(s.results, now)
	}
}
