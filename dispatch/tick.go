package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Tick grants jobs that wait for an engine, gives up those that have waited too
// long, expires results and requests, and starts calls at workers whose pause is
// over. The scheduler calls it about every 20 ms while there are jobs.
func (c *Core) Tick(now time.Time) {
	for _, p := range c.pools {
		p.changed = true
		c.updateLostCapacity(p, now)
		for _, w := range p.workers {
			w.expire(now)
		}
	}
	for _, es := range c.modelEngines {
		for _, e := range es.all {
			e.expire(now)
		}
	}
	c.freeDue(now)
	c.refuseUnservable(now)
	c.late.readmitLate(now)
	for _, j := range c.dueJobs(now) {
		if j.engine == nil && j.stagesDone() {
			c.grant(j, now)
		}
		c.giveUp(j, now)
	}
	c.dispatch(now)
}

// Idle reports whether no ticks are needed: there are no jobs and no calls, and nothing is to
// be freed.
func (c *Core) Idle() bool { return len(c.jobs) == 0 && len(c.calls) == 0 && len(c.gathering) == 0 }

// jobsByTicket returns all jobs sorted by ticket, so that runs are reproducible.
func (c *Core) jobsByTicket() []*job { return c.filterJobs(func(*job) bool { return true }) }

// dueJobs returns the jobs to be granted or given up, the most urgent first and then
// those that have waited longest.
func (c *Core) dueJobs(now time.Time) []*job {
	jobs := c.filterJobs(func(j *job) bool {
		_, expired := c.late.shouldGiveUp(j, now)
		return expired || j.engine == nil && j.stagesDone()
	})
	slices.SortStableFunc(jobs, compareUrgency)
	return jobs
}

// compareUrgency orders jobs: the most urgent first, and then those that have waited
// longest.
func compareUrgency(a, b *job) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.submitted.Compare(b.submitted))
}

// filterJobs returns the jobs that want accepts, sorted by ticket.
func (c *Core) filterJobs(want func(*job) bool) []*job {
	var jobs []*job
	for _, j := range c.jobs {
		if want(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.Ticket, b.Ticket) })
	return jobs
}

// giveUp ends a job that is due and can no longer be served. Holding it until its deadline
// would help nobody: its client can retry meanwhile.
func (c *Core) giveUp(j *job, now time.Time) {
	reason, expired := c.late.shouldGiveUp(j, now)
	switch {
	case !expired:
	case j.engine != nil:
		c.finish(j, now)
	case reason == ReasonOverload && c.late.keepsWaiting(j, now):
	default:
		c.refuse(j, reason, now)
	}
}

// HasUnfinishedStages reports whether a call or a Free is in flight, or results are kept that
// only this process can free.
func (c *Core) HasUnfinishedStages() bool {
	if len(c.calls) > 0 || len(c.pendingFrees) > 0 || len(c.gathering) > 0 {
		return true
	}
	for _, j := range c.jobs {
		if j.keepsResults() {
			return true
		}
	}
	return false
}

// HandOver moves the jobs of which nothing has started to the next owner: two
// queues over the same endpoints would fill each other's calls badly. Started jobs
// end here, since only this process knows their results.
func (c *Core) HandOver(now time.Time) {
	c.handedOver = true
	for _, j := range c.jobsByTicket() {
		if j.engine == nil && !j.started {
			c.move(j, now)
		}
	}
	c.freeAllGathered()
}

// move returns a job to the process that submitted it.
func (c *Core) move(j *job, now time.Time) {
	c.emit(Move{Ticket: j.Ticket})
	c.finish(j, now)
}

// RecordPlacements records which prompts engines have read, as reported by the processes
// that sent them, for an owner that takes over.
func (c *Core) RecordPlacements(placements []Placement) {
	for _, p := range placements {
		es := c.modelEngines[p.Service]
		if es == nil || es.byKey[p.Endpoint] == nil {
			continue
		}
		es.recordPrompt(es.byKey[p.Endpoint], p.Prefix)
	}
}
