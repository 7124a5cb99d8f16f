package dispatch

import (
	"container/heap"

	"github.com/mangostage/mangostage/internal/sumtree"
)

// demand is the accepted work of a pool that no call has yet. It is kept as sums:
// admission asks for them for each stage of each job, and would otherwise walk
// all jobs that wait.
type demand struct {
	// inTime is that of the jobs in time, by the latest start of their stages.
	inTime sumtree.Tree
	// late is that of the other jobs, by priority.
	late map[int]sumtree.Amount
	// yielding are the jobs that may give way.
	yielding yielding
}

func newDemand() demand { return demand{late: make(map[int]sumtree.Amount)} }

// upTo is the work of late jobs at least as urgent as the priority, and of all in time.
func (d *demand) upTo(priority int) sumtree.Amount {
	sum := d.inTime.Sum()
	for p, amount := range d.late {
		if p <= priority {
			sum = sum.Plus(amount)
		}
	}
	return sum
}

func (d *demand) setLate(priority int, from, to sumtree.Amount) {
	sum := d.late[priority]
	sum.Pieces += to.Pieces - from.Pieces
	sum.Bytes += to.Bytes - from.Bytes
	if sum == (sumtree.Amount{}) {
		delete(d.late, priority)
		return
	}
	d.late[priority] = sum
}

// booking is what a stage has in the demand of its pool.
type booking struct {
	pool   *pool
	id     uint64
	amount sumtree.Amount
	late   bool
}

// book brings the demand of the pool up to date with the stage's waiting pieces
// and its job. Before admission a stage has no pool.
func (s *stage) book() {
	b := &s.booking
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
		d.setLate(s.job.Priority, b.amount, sumtree.Amount{})
	} else if s.job.late {
		d.inTime.Set(key, sumtree.Amount{})
	}
	if s.job.late {
		d.setLate(s.job.Priority, sumtree.Amount{}, amount)
	} else {
		d.inTime.Set(key, amount)
	}
	b.amount, b.late = amount, s.job.late
}

// book books all stages of a job.
func (j *job) book() {
	for _, s := range j.stages {
		s.book()
	}
}

// yielding is a heap of jobs, the one that is worth least for its place first.
// Jobs that may give way no longer, which is for good, are taken out when they
// come to the top or when the heap has doubled.
type yielding struct {
	jobs []yielder
	// compactAt is the length at which the heap is compacted.
	compactAt int
}

// yielder is a job with its density in the pool.
type yielder struct {
	job     *job
	density float64
}

// compactMin is the length below which a heap is not compacted.
const compactMin = 64

// add takes a job in time.
func (y *yielding) add(j *job, p *pool) {
	if len(y.jobs) >= max(compactMin, y.compactAt) {
		y.compact()
	}
	heap.Push(y, yielder{job: j, density: j.density(p)})
}

func (y *yielding) compact() {
	kept := y.jobs[:0]
	for _, o := range y.jobs {
		if o.job.mayYield() {
			kept = append(kept, o)
		}
	}
	clear(y.jobs[len(kept):])
	y.jobs = kept
	y.compactAt = 2 * len(kept)
	heap.Init(y)
}

// least returns the job that is worth least, or nil.
func (y *yielding) least() *job {
	for len(y.jobs) > 0 {
		if j := y.jobs[0].job; j.mayYield() {
			return j
		}
		heap.Pop(y)
	}
	return nil
}

// mayYield tells whether nothing was done yet for a job in time.
func (j *job) mayYield() bool { return !j.late && !j.started && !j.ended && j.engine == nil }

// Len implements heap.Interface.
func (y *yielding) Len() int { return len(y.jobs) }

// Less implements heap.Interface: the least urgent first, of those the least dense.
func (y *yielding) Less(a, b int) bool {
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
func (y *yielding) Swap(a, b int) { y.jobs[a], y.jobs[b] = y.jobs[b], y.jobs[a] }

// Push implements heap.Interface.
func (y *yielding) Push(x any) { y.jobs = append(y.jobs, x.(yielder)) }

// Pop implements heap.Interface.
func (y *yielding) Pop() any {
	last := len(y.jobs) - 1
	o := y.jobs[last]
	y.jobs[last] = yielder{}
	y.jobs = y.jobs[:last]
	return o
}
