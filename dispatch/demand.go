package dispatch

import (
	"container/heap"

	"github.com/mangostage/mangostage/internal/sumtree"
)

// demand is the accepted work of a pool that is not in a call yet, kept as sums:
// admission reads them for each stage of each job, and would otherwise walk all
// waiting jobs.
type demand struct {
	// onTime is the demand of on-time jobs, ordered by startBy.
	onTime sumtree.Tree
	// late is the demand of late jobs, by priority.
	late map[int]sumtree.Amount
	// displaceableJobs holds the jobs that may be displaced.
	displaceableJobs displaceableJobs
}

func newDemand() demand { return demand{late: make(map[int]sumtree.Amount)} }

// sumUpTo returns the demand of all on-time jobs, and of late ones at least as
// urgent as priority.
func (d *demand) sumUpTo(priority int) sumtree.Amount {
	sum := d.onTime.Sum()
	for p, amount := range d.late {
		if p <= priority {
			sum = sum.Plus(amount)
		}
	}
	return sum
}

// lateBefore returns the demand of late jobs that are more urgent than the priority.
func (d *demand) lateBefore(priority int) sumtree.Amount {
	var sum sumtree.Amount
	for p, amount := range d.late {
		if p < priority {
			sum = sum.Plus(amount)
		}
	}
	return sum
}

// adjustLate replaces a stage's amount in the demand of late jobs.
func (d *demand) adjustLate(priority int, from, to sumtree.Amount) {
	sum := d.late[priority]
	sum.Pieces += to.Pieces - from.Pieces
	sum.Bytes += to.Bytes - from.Bytes
	if sum == (sumtree.Amount{}) {
		delete(d.late, priority)
		return
	}
	d.late[priority] = sum
}

// demandEntry is what a stage contributes to the demand of its pool.
type demandEntry struct {
	pool   *pool
	id     uint64
	amount sumtree.Amount
	late   bool
}

// updateDemand updates the pool's demand from the stage's waiting pieces and the
// state of its job. It does nothing before plan has set the pool.
func (s *stage) updateDemand() {
	e := &s.demandEntry
	if e.pool == nil {
		return
	}
	var amount sumtree.Amount
	if !s.job.ended {
		amount = sumtree.Amount{Pieces: len(s.waiting), Bytes: int64(len(s.waiting)) * s.ResultBytes}
	}
	if amount == e.amount && s.job.late == e.late {
		return
	}
	d := &e.pool.demand
	key := sumtree.Key{At: s.startBy, ID: e.id}
	if e.late {
		d.adjustLate(s.job.Priority, e.amount, sumtree.Amount{})
	} else if s.job.late {
		d.onTime.Set(key, sumtree.Amount{})
	}
	if s.job.late {
		d.adjustLate(s.job.Priority, sumtree.Amount{}, amount)
	} else {
		d.onTime.Set(key, amount)
	}
	e.amount, e.late = amount, s.job.late
}

// updateDemand updates the demand of all stages of the job.
func (j *job) updateDemand() {
	for _, s := range j.stages {
		s.updateDemand()
	}
}

// displaceableJobs is a heap of jobs with the lowest-ranked one on top. Jobs that
// are no longer displaceable are removed when they reach the top or when the heap
// is compacted, once it has doubled; a job that becomes displaceable again is
// added anew.
type displaceableJobs struct {
	jobs []displaceableJob
	// compactAt is the length at which the heap is compacted.
	compactAt int
}

// displaceableJob is a job with its density in the pool.
type displaceableJob struct {
	job     *job
	density float64
}

// compactMin is the length below which the heap is not compacted.
const compactMin = 64

// add adds an on-time job.
func (h *displaceableJobs) add(j *job, p *pool) {
	if len(h.jobs) >= max(compactMin, h.compactAt) {
		h.compact()
	}
	heap.Push(h, displaceableJob{job: j, density: j.density(p)})
}

// compact removes the jobs that are no longer displaceable.
func (h *displaceableJobs) compact() {
	kept := h.jobs[:0]
	for _, o := range h.jobs {
		if o.job.displaceable() {
			kept = append(kept, o)
		}
	}
	clear(h.jobs[len(kept):])
	h.jobs = kept
	h.compactAt = 2 * len(kept)
	heap.Init(h)
}

// lowest returns the lowest-ranked displaceable job, or nil.
func (h *displaceableJobs) lowest() *job {
	for len(h.jobs) > 0 {
		if j := h.jobs[0].job; j.displaceable() {
			return j
		}
		heap.Pop(h)
	}
	return nil
}

// displaceable reports whether the job is on time and nothing of it has started.
func (j *job) displaceable() bool { return !j.late && !j.started && !j.ended && j.engine == nil }

// Len implements heap.Interface.
func (h *displaceableJobs) Len() int { return len(h.jobs) }

// Less implements heap.Interface: the least urgent job first, then the one with
// the lowest density.
func (h *displaceableJobs) Less(a, b int) bool {
	x, z := h.jobs[a], h.jobs[b]
	if x.job.Priority != z.job.Priority {
		return x.job.Priority > z.job.Priority
	}
	if x.density != z.density {
		return x.density < z.density
	}
	return x.job.Ticket < z.job.Ticket
}

// Swap implements heap.Interface.
func (h *displaceableJobs) Swap(a, b int) { h.jobs[a], h.jobs[b] = h.jobs[b], h.jobs[a] }

// Push implements heap.Interface.
func (h *displaceableJobs) Push(x any) { h.jobs = append(h.jobs, x.(displaceableJob)) }

// Pop implements heap.Interface.
func (h *displaceableJobs) Pop() any {
	last := len(h.jobs) - 1
	o := h.jobs[last]
	h.jobs[last] = displaceableJob{}
	h.jobs = h.jobs[:last]
	return o
}
