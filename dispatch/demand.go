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
	b := &s.demandEntry
	if b.pool == nil {
		return
	}
	var amount sumtree.Amount
	if !s.job.ended {
		amount = sumtree.Amount{Pieces: len(s.waiting), Bytes: int64(len(s.waiting)) * s.ResultBytes}
	}
	if amount == b.amount && s.job.late == b.late {
		return
	}
	d := &b.pool.demand
	key := sumtree.Key{At: s.startBy, ID: b.id}
	if b.late {
		d.adjustLate(s.job.Priority, b.amount, sumtree.Amount{})
	} else if s.job.late {
		d.onTime.Set(key, sumtree.Amount{})
	}
	if s.job.late {
		d.adjustLate(s.job.Priority, sumtree.Amount{}, amount)
	} else {
		d.onTime.Set(key, amount)
	}
	b.amount, b.late = amount, s.job.late
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
func (y *displaceableJobs) add(j *job, p *pool) {
	if len(y.jobs) >= max(compactMin, y.compactAt) {
		y.compact()
	}
	heap.Push(y, displaceableJob{job: j, density: j.density(p)})
}

func (y *displaceableJobs) compact() {
	kept := y.jobs[:0]
	for _, o := range y.jobs {
		if o.job.displaceable() {
			kept = append(kept, o)
		}
	}
	clear(y.jobs[len(kept):])
	y.jobs = kept
	y.compactAt = 2 * len(kept)
	heap.Init(y)
}

// lowest returns the lowest-ranked displaceable job, or nil.
func (y *displaceableJobs) lowest() *job {
	for len(y.jobs) > 0 {
		if j := y.jobs[0].job; j.displaceable() {
			return j
		}
		heap.Pop(y)
	}
	return nil
}

// displaceable reports whether the job is on time and nothing of it has started.
func (j *job) displaceable() bool { return !j.late && !j.started && !j.ended && j.engine == nil }

// Len implements heap.Interface.
func (y *displaceableJobs) Len() int { return len(y.jobs) }

// Less implements heap.Interface: the least urgent job first, then the one with
// the lowest density.
func (y *displaceableJobs) Less(a, b int) bool {
	x, z := y.jobs[a], y.jobs[b]
	if x.job.Priority != z.job.Priority {
		return x.job.Priority > z.job.Priority
	}
	if x.density != z.density {
		return x.density < z.density
	}
	return x.job.Ticket < z.job.Ticket
}

// Swap implements heap.Interface.
func (y *displaceableJobs) Swap(a, b int) { y.jobs[a], y.jobs[b] = y.jobs[b], y.jobs[a] }

// Push implements heap.Interface.
func (y *displaceableJobs) Push(x any) { y.jobs = append(y.jobs, x.(displaceableJob)) }

// Pop implements heap.Interface.
func (y *displaceableJobs) Pop() any {
	last := len(y.jobs) - 1
	o := y.jobs[last]
	y.jobs[last] = displaceableJob{}
	y.jobs = y.jobs[:last]
	return o
}
