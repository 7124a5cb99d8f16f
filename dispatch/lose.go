package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// replaced lists the workers of ended processes, in the places of which others
// serve now, that calls and jobs under way still rely on. They may have been off
// the list for a while before.
func (c *Core) replaced(view *catalog.View) []*worker {
	found := make(map[*worker]bool)
	note := func(w *worker) {
		if w.gone && view.Replaced(w.endpoint.ID, w.endpoint.Incarnation) {
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

// lose ends what a process had in hand that has ended: another one serves under
// its ID.
//
// The failure that it guards against: handles name an address and a number, and
// the new process gives both anew. Results of the old one would be handed on, and
// given up, as if they were there, and the job would fail or get another's
// results. Here its calls are lost at once, so that a late answer finds none, its
// books stay with the old worker, and what jobs under way had there is made again.
func (c *Core) lose(w *worker, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		cl := w.calls[id]
		delete(w.calls, id)
		delete(c.calls, id)
		cl.ended(true)
		if p := c.pools[w.endpoint.Service]; p != nil {
			p.window.end(false, p.took, p.places(), now)
		}
		c.requeue(cl, now, true)
	}
	for _, j := range c.tickets() {
		if j.engine != nil || !j.reads(w) {
			continue
		}
		c.unqueue(j)
		j.drop(w)
		c.remake(j, now)
	}
	clear(w.results)
	w.used = 0
}

// unqueue takes all stages of a job out of their queues.
func (c *Core) unqueue(j *job) {
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil {
			p.remove(s)
		}
	}
}

// keptAt tells whether the worker keeps results of the stage that are still to
// be read.
func (s *stage) keptAt(w *worker) bool {
	return !s.freed && slices.ContainsFunc(s.results, func(r *result) bool { return r != nil && r.worker == w })
}

// reads tells whether the job is still to read results that the worker keeps.
func (j *job) reads(w *worker) bool {
	return slices.ContainsFunc(j.stages, func(s *stage) bool { return s.keptAt(w) })
}

// drop takes the results that a worker kept from the stages that are not read yet.
func (j *job) drop(w *worker) {
	for _, s := range j.stages {
		if !s.keptAt(w) {
			continue
		}
		s.tries++
		for i, r := range s.results {
			if r != nil && r.worker == w {
				s.again(i)
			}
		}
	}
}

// again takes the result of a piece away.
func (s *stage) again(index int) {
	s.results[index] = nil
	s.left++
	s.waiting = append(s.waiting, index)
	s.book()
}

// remake queues what is missing of a job, after what it reads.
func (c *Core) remake(j *job, now time.Time) {
	j.lostAt = now
	for j.reopen() {
	}
	for _, s := range j.stages {
		if s.tries > maxTries {
			c.refuse(j, ReasonStageFailed, now)
			return
		}
		if s.done() {
			continue
		}
		s.since = time.Time{}
		s.inputs = nil
	}
	c.advance(j, now)
}

// reopen has stages made again whose results were given up, since they had been
// read, and are now to be read once more. It tells whether there were any.
func (j *job) reopen() bool {
	reopened := false
	for _, s := range j.stages {
		if s.done() {
			continue
		}
		for _, a := range s.After {
			input := j.stages[a]
			if !input.freed {
				continue
			}
			input.freed = false
			for i := range input.results {
				input.again(i)
			}
			reopened = true
		}
	}
	return reopened
}
