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

// free gives up results that are still booked, with one effect a worker.
func (c *Core) free(results []*result, now time.Time) {
	handles := make(map[*worker][]string)
	var order []*worker
	for _, r := range results {
		if r == nil || !r.worker.release(r) {
			continue
		}
		c.held(r, now)
		if r.worker.gone {
			continue
		}
		if handles[r.worker] == nil {
			order = append(order, r.worker)
		}
		handles[r.worker] = append(handles[r.worker], r.handle)
	}
	for _, w := range order {
		c.emit(Free{Endpoint: w.endpoint.ID, Addr: w.endpoint.Addr, Handles: handles[w]})
	}
}

// held learns how long results take up memory.
func (c *Core) held(r *result, now time.Time) {
	if p := c.pools[r.worker.endpoint.Service]; p != nil {
		p.hold += time.Duration(holdWeight * float64(now.Sub(r.since)-p.hold))
	}
}

func (c *Core) freeAll(j *job, now time.Time) {
	for _, s := range j.stages {
		s.freed = true
		c.free(s.results, now)
	}
}
