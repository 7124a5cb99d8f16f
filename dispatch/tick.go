package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Tick ends what has waited in vain, drops bookings that have run out, and
// starts calls at workers whose pause is over. The shell calls it about every
// 20 ms while there are jobs.
func (c *Core) Tick(now time.Time) {
	for _, p := range c.pools {
		p.changed = true
		for _, w := range p.workers {
			w.expire(now)
		}
	}
	for _, es := range c.engines {
		for _, e := range es.all {
			e.expire(now)
		}
	}
	for _, j := range c.due(now) {
		if j.engine == nil && j.stagesDone() {
			c.grant(j, now)
		}
		c.giveUp(j, now)
	}
	c.dispatch(now)
}

// Idle tells whether no time has to pass: there are no jobs and no calls.
func (c *Core) Idle() bool { return len(c.jobs) == 0 && len(c.calls) == 0 }

// tickets lists the jobs in a fixed order, so that a run can be repeated.
func (c *Core) tickets() []*job { return c.sorted(func(*job) bool { return true }) }

// due lists the jobs that have to be granted or given up.
func (c *Core) due(now time.Time) []*job {
	return c.sorted(func(j *job) bool {
		_, hopeless := j.hopeless(now)
		return hopeless || j.engine == nil && j.stagesDone()
	})
}

// sorted lists the jobs that are wanted by ticket.
func (c *Core) sorted(want func(*job) bool) []*job {
	var jobs []*job
	for _, j := range c.jobs {
		if want(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.Ticket, b.Ticket) })
	return jobs
}

// giveUp ends a job that has no hope left. To hold it until its deadline would
// serve nobody: its client could come back meanwhile.
func (c *Core) giveUp(j *job, now time.Time) {
	reason, hopeless := j.hopeless(now)
	switch {
	case !hopeless:
	case j.engine != nil:
		c.end(j, now)
	default:
		c.noteShortage(j)
		c.refuse(j, reason, now)
	}
}

// noteShortage says what a job has waited for in vain, if nothing was said before.
func (c *Core) noteShortage(j *job) {
	if j.stagesDone() && j.queue == "" {
		j.queue, j.short = j.Service, ResourceEngine
	}
	for _, s := range j.stages {
		if !s.queued {
			continue
		}
		p := c.pools[s.Service]
		_, short := p.clear(p.demand.inTime.Sum())
		j.lacks(p, short)
	}
}

// hopeless tells whether a job has waited in vain, and why it is refused. The
// entry of a granted one is gone and will not tell of its end.
func (j *job) hopeless(now time.Time) (Reason, bool) {
	if j.engine != nil {
		return "", now.After(j.deadlineAt.Add(runMargin))
	}
	limit := j.deadlineAt.Add(-time.Duration((1 - deadlineShare) * float64(j.Deadline)))
	if now.After(limit) {
		return ReasonDeadline, true
	}
	if j.started {
		return "", false
	}
	if j.late {
		return ReasonOverload, now.Sub(j.submitted) > time.Duration(lateGiveUp*float64(j.Deadline))
	}
	for _, s := range j.stages {
		if s.queued && now.Sub(s.startBy) > lateWait && now.Sub(s.since) > lateWait {
			return ReasonOverload, true
		}
	}
	return "", false
}

// Holds tells whether a call is under way, or results are kept that only this
// process can give up.
func (c *Core) Holds() bool {
	if len(c.calls) > 0 || len(c.frees) > 0 {
		return true
	}
	for _, j := range c.jobs {
		if j.holds() {
			return true
		}
	}
	return false
}

// HandOver gives the jobs without any piece made to the next owner. Two queues
// for the same endpoints fill each other's calls badly; jobs that have begun
// end here, since only this process knows their results.
func (c *Core) HandOver(now time.Time) {
	c.handedOver = true
	for _, j := range c.tickets() {
		if j.engine == nil && !j.started {
			c.move(j, now)
		}
	}
}

// move gives a job back to its entry.
func (c *Core) move(j *job, now time.Time) {
	c.emit(Move{Ticket: j.Ticket})
	c.end(j, now)
}

// Placed notes what engines have read by the word of the entries, for an owner
// that takes over.
func (c *Core) Placed(placements []Placement) {
	for _, p := range placements {
		es := c.engines[p.Service]
		if es == nil || es.byKey[p.Endpoint] == nil {
			continue
		}
		es.keep(es.byKey[p.Endpoint], p.Prefix)
	}
}
