package dispatch

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/internal/sumtree"
)

const (
	// fillShare is the part of a pool's places that calls use in practice.
	fillShare = 0.9
	// lateFactor over the route's objective is the time within which the backlog
	// of equal or more urgent work must be worked off for a job that misses its
	// objective to be taken. It does not grow with the deadline, which is
	// longest for the least urgent. A client that was refused before has only
	// this try left.
	lateFactor      = 0.4
	lateFactorAgain = 1.6
	// urgencyMargin is what each step of priority adds to the time that a job
	// must have to spare, so that the less urgent are refused first.
	urgencyMargin = 80 * time.Millisecond
	// freeShare is the part of the objective up to which a refusal costs the
	// client nothing: it can still come back in time.
	freeShare = 0.125
	// takenHalfLife is the time in which the count of pieces that were taken
	// halves; spareMin keeps the quotient finite.
	takenHalfLife = time.Second
	spareMin      = 0.02
	// holdWeight is the share of the newest result in a pool's hold time.
	holdWeight = 0.1
	// biasWeight is the share of the newest stage in a pool's forecast error.
	biasWeight = 0.08
	// biasHalfLife is the time in which the error halves without new evidence.
	biasHalfLife = time.Second
	// sizeWeight is the share of the newest job in the mean size of its route.
	sizeWeight = 0.05
)

// clear is the time that the pool needs for the backlog, and what it is short
// of: the places of its calls, or the memory that results take until they are read.
func (p *pool) clear(b sumtree.Amount) (time.Duration, Resource) {
	workers := p.width()
	if workers == 0 {
		return time.Hour, ResourceEndpoints
	}
	places := float64(workers*p.spec.Items) * fillShare
	calls := time.Duration(float64(p.took) * float64(b.Pieces) / places)
	memory := float64(p.spec.Room) * float64(workers)
	if memory <= 0 {
		return calls, ResourceCalls
	}
	read := time.Duration(float64(p.hold) * float64(b.Bytes) / memory)
	if read > calls {
		return read, ResourceMemory
	}
	return calls, ResourceCalls
}

// countTaken notes the pieces of a job that is taken to be in time.
func (c *Core) countTaken(j *job, now time.Time) {
	for _, s := range j.stages {
		if s.Pieces > 0 {
			p := c.pools[s.Service]
			p.taken = p.takenAt(now) + float64(s.Pieces)
			p.takenFrom = now
		}
	}
}

// takenAt is the decaying count of pieces of jobs in time.
func (p *pool) takenAt(now time.Time) float64 {
	age := now.Sub(p.takenFrom).Seconds() / takenHalfLife.Seconds()
	return p.taken * math.Exp2(-age)
}

// spare is the part of the pool's calls that jobs in time leave to late ones.
func (p *pool) spare(now time.Time) float64 {
	places := float64(p.width()*p.spec.Items) * fillShare / p.took.Seconds()
	rate := p.takenAt(now) * math.Ln2 / takenHalfLife.Seconds()
	if places <= 0 {
		return spareMin
	}
	return max(spareMin, 1-rate/places)
}

// tight returns the first pool in which the job would start too late to meet
// its objective, or nil.
func (c *Core) tight(j *job, now time.Time) *pool {
	for _, s := range j.stages {
		if s.Pieces == 0 {
			continue
		}
		p := c.pools[s.Service]
		ahead := p.demand.inTime.UpTo(s.startBy)
		wait, short := p.clear(ahead)
		s.forecast = now.Add(wait + c.lag)
		for _, a := range s.After {
			if before := j.stages[a]; before.Pieces > 0 {
				s.forecast = later(s.forecast, before.forecast.Add(c.pools[before.Service].took))
			}
		}
		margin := p.biasAt(now) + time.Duration(j.Priority)*urgencyMargin
		if s.forecast.Add(margin).After(s.startBy) {
			j.queue, j.short = p.name, short
			j.behind = s.forecast.Add(margin).Sub(s.startBy)
			return p
		}
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// began learns how far the forecast of a stage's start was off: what it does
// not see are calls under way, pieces that fit no idle endpoint, and the jobs
// that went before although they came later.
func (p *pool) began(s *stage, now time.Time) {
	if s.forecast.IsZero() || s.job.late {
		return
	}
	bias := p.biasAt(now)
	off := now.Sub(s.forecast)
	p.bias = max(0, bias+time.Duration(biasWeight*float64(off-bias)))
	p.biasFrom = now
}

// biasAt is the forecast error at now. It fades without new evidence: a large
// one keeps all jobs out that could show that it no longer holds.
func (p *pool) biasAt(now time.Time) time.Duration {
	age := now.Sub(p.biasFrom).Seconds() / biasHalfLife.Seconds()
	return time.Duration(float64(p.bias) * math.Exp2(-age))
}

// admit decides, before the first piece, whether the job is taken, so that no
// work is done for requests that end in vain. Of jobs that cannot all meet
// their objectives the less urgent, and of those the smaller, give way.
func (c *Core) admit(j *job, now time.Time) bool {
	for {
		p := c.tight(j, now)
		if p == nil {
			c.countTaken(j, now)
			c.mayGiveWay(j)
			return true
		}
		victim := p.victim(j)
		if victim == nil {
			break
		}
		victim.lacks(p, j.short)
		c.giveWay(victim, now)
	}
	return c.takeLate(j, now)
}

// victim is the job that gives way to j in the pool: one without any piece
// made that is worth less for its place. Nil if there is none.
func (p *pool) victim(j *job) *job {
	o := p.demand.yielding.least()
	if o == nil || !j.outweighs(o, p) {
		return nil
	}
	return o
}

// mayGiveWay notes a job that was taken to be in time.
func (c *Core) mayGiveWay(j *job) {
	for i, s := range j.stages {
		if s.Pieces > 0 && !j.usesBefore(i) {
			p := c.pools[s.Service]
			p.demand.yielding.add(j, p)
		}
	}
}

// usesBefore tells whether a stage before stage i has pieces for its service.
func (j *job) usesBefore(i int) bool {
	for _, s := range j.stages[:i] {
		if s.Service == j.stages[i].Service && s.Pieces > 0 {
			return true
		}
	}
	return false
}

// outweighs tells whether j goes before o where the pool cannot serve both: by
// urgency, then by size against the usual size on the route for each piece.
func (j *job) outweighs(o *job, p *pool) bool {
	if j.Priority != o.Priority {
		return j.Priority < o.Priority
	}
	return j.density(p) > o.density(p)*weightMargin
}

// density is the job's weight for each piece that the pool makes for it.
func (j *job) density(p *pool) float64 {
	pieces := 0
	for _, s := range j.stages {
		if s.Service == p.name {
			pieces += s.Pieces
		}
	}
	return (baseWeight + j.weight) / float64(max(1, pieces))
}

// baseWeight is what any job counts beside its size, in usual sizes: a small
// answer is worth more to its user than its share of the tokens.
const baseWeight = 0.43

// weightMargin keeps jobs of about the same size from displacing each other.
const weightMargin = 1.5

// lacks notes what a job is late for; the first cause stands.
func (j *job) lacks(p *pool, short Resource) {
	if j.queue == "" {
		j.queue, j.short = p.name, short
	}
}

// giveWay puts a job behind those in time, or refuses it while that costs its
// client nothing.
func (c *Core) giveWay(j *job, now time.Time) {
	j.late = true
	j.book()
	if now.Sub(j.submitted) <= time.Duration(freeShare*float64(j.Objective)) && !c.takeLate(j, now) {
		c.refuse(j, ReasonOverload, now)
	}
}

// takeLate tells whether a job that misses its objective can still be served
// well within its deadline.
func (c *Core) takeLate(j *job, now time.Time) bool {
	j.late = true
	j.book()
	limit := time.Duration(lateFactor * float64(j.Usual))
	if j.Again {
		limit = min(time.Duration(lateFactorAgain*float64(j.Usual)), time.Duration(deadlineShare*float64(j.deadlineAt.Sub(now))))
	}
	for _, s := range j.stages {
		if s.Pieces == 0 {
			continue
		}
		p := c.pools[s.Service]
		wait, short := p.clear(p.demand.upTo(j.Priority))
		if time.Duration(float64(wait)/p.spare(now)) > limit {
			j.lacks(p, short)
			return false
		}
	}
	return true
}

// weigh sets the job's size against the usual size on its route.
func (c *Core) weigh(j *job) {
	size := float64(promptTokens(j) + outputWeight*j.TokensOut)
	mean := c.sizes[j.Route]
	if mean == 0 {
		mean = size
	}
	mean += sizeWeight * (size - mean)
	c.sizes[j.Route] = mean
	j.weight = 1
	if mean > 0 {
		j.weight = size / mean
	}
}

// outputWeight is what an output token costs against one of the prompt.
const outputWeight = 10
