package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// gatherTime is how long an endpoint's results are gathered before they are freed, if
	// its memory is not short. It is far shorter than the time after which endpoints drop
	// results by themselves.
	gatherTime = 500 * time.Millisecond
	// spareCallShare is the part of a full call, as a divisor, for which memory is kept free
	// while nothing waits.
	spareCallShare = 4
	// minFreedShare is the part of an endpoint's memory, as a divisor, that is worth a message.
	minFreedShare = 16
	// maxGathered bounds the results freed with one message.
	maxGathered = 256
)

// gathered holds results of an endpoint that are no longer needed and not freed yet.
//
// It guards against an owner whose processor is busy with messages that free results: a job
// leaves results at several endpoints, and a message for each of them costs more than the
// decisions about the job.
type gathered struct {
	results []*result
	// bytes is the sum of their sizes.
	bytes int64
	// since is when the first of them was added.
	since time.Time
}

// gather frees a result together with others of its endpoint: at once if the endpoint's
// memory is short or another process owns the queue, and otherwise after gatherTime.
func (c *Core) gather(r *result, now time.Time) {
	w := r.worker
	if len(w.gathered.results) == 0 {
		w.gathered.since = now
		c.gathering[w] = struct{}{}
	}
	w.gathered.results = append(w.gathered.results, r)
	w.gathered.bytes += r.bytes
	if c.handedOver || len(w.gathered.results) >= maxGathered || c.needsGathered(w) {
		c.freeGathered(w)
	}
}

// needsGathered reports whether the memory of what was gathered for the endpoint is needed.
func (c *Core) needsGathered(w *worker) bool {
	return w.gathered.bytes >= w.spec.Room/minFreedShare && c.lacksRoom(w)
}

// lacksRoom reports whether the endpoint's free memory may be too little for the next call:
// for as many pieces as wait, at most a full call and at least a part of one.
func (c *Core) lacksRoom(w *worker) bool {
	p := c.pools[w.endpoint.Service]
	if p == nil {
		return true
	}
	pieces := min(w.spec.Items, max(w.spec.Items/spareCallShare, p.waiting))
	return w.freeMemory(p.memoryShare) < int64(pieces)*p.largestResult
}

// freeGathered frees what was gathered for an endpoint.
func (c *Core) freeGathered(w *worker) {
	var results []*result
	for _, r := range w.gathered.results {
		switch {
		case !w.hasResult(r):
		case w.removed:
			w.release(r)
		default:
			results = append(results, r)
		}
	}
	w.gathered = gathered{}
	delete(c.gathering, w)
	if len(results) == 0 {
		return
	}
	c.lastEffectID++
	c.pendingFrees[c.lastEffectID] = results
	c.emit(Free{ID: c.lastEffectID, Endpoint: w.endpoint.ID, Key: w.key, Addr: w.endpoint.Addr, Domain: w.endpoint.Domain, Handles: handlesOf(results)})
}

// freeDue frees what was gathered for long enough or at endpoints whose memory is short.
func (c *Core) freeDue(now time.Time) {
	c.freeGatheredOf(func(w *worker) bool { return now.Sub(w.gathered.since) >= gatherTime || c.needsGathered(w) })
}

// freeAllGathered frees all that was gathered: another process owns the queue.
func (c *Core) freeAllGathered() { c.freeGatheredOf(func(*worker) bool { return true }) }

// freeGatheredOf frees what was gathered for the endpoints that want accepts, in the order
// of their keys.
func (c *Core) freeGatheredOf(want func(*worker) bool) {
	var due []*worker
	for w := range c.gathering {
		if want(w) {
			due = append(due, w)
		}
	}
	slices.SortFunc(due, func(a, b *worker) int { return cmp.Compare(a.key, b.key) })
	for _, w := range due {
		c.freeGathered(w)
	}
}
