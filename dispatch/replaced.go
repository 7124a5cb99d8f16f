package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// replacedWorkers returns the workers of ended processes, whose IDs other
// processes use now, that calls and jobs in progress still depend on. Such a
// worker may have been missing from the endpoint list for a while before.
func (c *Core) replacedWorkers(view *catalog.View) []*worker {
	found := make(map[*worker]bool)
	note := func(w *worker) {
		if w.removed && view.Replaced(w.endpoint.ID, w.endpoint.Incarnation) {
			found[w] = true
		}
	}
	for _, cl := range c.calls {
		note(cl.worker)
	}
	for _, j := range c.jobs {
		for _, s := range j.stages {
			for _, r := range s.results {
				if r != nil {
					note(r.worker)
				}
			}
		}
	}
	return slices.SortedFunc(maps.Keys(found), func(a, b *worker) int { return cmp.Compare(a.key, b.key) })
}

// discardWorker drops the calls and results of a process that has ended while
// another one serves under its ID.
//
// It guards against this failure: handles consist of an address and a number, and
// the new process assigns the same ones again. Results of the old process would be
// passed on, or freed, as if they existed, and the job would fail or get the
// results of another one. Therefore its calls end as lost at once, so that a late
// answer is ignored, the accounting of its memory is not carried over to the new
// worker, and results that jobs still need are produced again.
func (c *Core) discardWorker(w *worker, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		cl := w.calls[id]
		delete(w.calls, id)
		delete(c.calls, id)
		cl.countEnded(true)
		if p := c.pools[w.endpoint.Service]; p != nil {
			p.callWindow.callEnded(false, p.avgCallTime, p.callSlots(), now)
		}
		c.requeueCall(cl, now, true)
	}
	for _, j := range c.jobsByTicket() {
		if j.engine != nil || !j.needsResultsAt(w) {
			continue
		}
		c.dequeueStages(j)
		j.dropResultsAt(w)
		c.requeueMissing(j, now)
	}
	clear(w.results)
	c.freeGathered(w)
	w.usedMemory = 0
}

// dequeueStages takes all stages of a job out of their queues.
func (c *Core) dequeueStages(j *job) {
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil {
			p.remove(s)
		}
	}
}

// hasResultsAt reports whether the worker keeps results of the stage that are
// still to be read.
func (s *stage) hasResultsAt(w *worker) bool {
	return !s.freed && slices.ContainsFunc(s.results, func(r *result) bool { return r != nil && r.worker == w })
}

// needsResultsAt reports whether the job still has to read results that the worker
// keeps.
func (j *job) needsResultsAt(w *worker) bool {
	return slices.ContainsFunc(j.stages, func(s *stage) bool { return s.hasResultsAt(w) })
}

// dropResultsAt resets the pieces whose results the worker kept and that are still
// to be read.
func (j *job) dropResultsAt(w *worker) {
	for _, s := range j.stages {
		if !s.hasResultsAt(w) {
			continue
		}
		s.failedTries++
		for i, r := range s.results {
			if r != nil && r.worker == w {
				s.resetPiece(i)
			}
		}
	}
}

// resetPiece drops the result of a piece, so that the piece runs again.
func (s *stage) resetPiece(index int) {
	s.results[index] = nil
	s.missing++
	s.waiting = append(s.waiting, index)
	s.updateDemand()
}

// requeueMissing queues the stages that miss results, after the stages whose
// results they read.
func (c *Core) requeueMissing(j *job, now time.Time) {
	j.lostAt = now
	for j.resetFreedInputs() {
	}
	for _, s := range j.stages {
		if s.failedTries > maxFailedTries {
			c.refuseStageFailed(s, ResourceEndpoints, now)
			return
		}
		if s.done() {
			continue
		}
		s.readyAt = time.Time{}
		s.inputs = nil
	}
	c.advance(j, now)
}

// resetFreedInputs resets the stages whose results were freed after they had been
// read and are now needed again. It reports whether there were any.
func (j *job) resetFreedInputs() bool {
	reopened := false
	for _, s := range j.stages {
		if s.done() {
			continue
		}
		for _, a := range s.DependsOn {
			input := j.stages[a]
			if !input.freed {
				continue
			}
			input.freed = false
			for i := range input.results {
				input.resetPiece(i)
			}
			reopened = true
		}
	}
	return reopened
}
