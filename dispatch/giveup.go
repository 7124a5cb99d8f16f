package dispatch

import (
	"slices"
	"time"
)

const (
	// lateStartGrace is how long a stage must have been both ready and past its start
	// before its job, of which nothing has started, is examined again.
	lateStartGrace = 250 * time.Millisecond
	// stageDeadlineShare is the fraction of its deadline after which a job that has
	// not been granted is refused if the time that the request itself needs is unknown.
	stageDeadlineShare = 0.6
)

// shouldGiveUp reports whether a job is to be given up, and the reason for refusing it;
// one that is late for its start is examined first, by keepsWaiting. A granted job is due
// when its end is overdue: the process that held it is gone and will not report it.
func (c *Core) shouldGiveUp(j *job, now time.Time) (Reason, bool) {
	if j.engine != nil {
		return "", now.After(j.deadlineAt.Add(requestExpiryMargin))
	}
	if c.pastDeadline(j, now) {
		return ReasonDeadline, true
	}
	return ReasonOverload, !j.started && j.startOverdue(now)
}

// pastDeadline reports whether the job would miss its deadline even if nothing were
// ahead of it, or waits for engines for too long.
func (c *Core) pastDeadline(j *job, now time.Time) bool {
	if j.stagesDone() && now.After(j.deadlineAt.Add(-unknownRest(j))) {
		return true
	}
	least := now.Add(c.restTime(j))
	if !least.Add(j.chainTime).After(j.deadlineAt) {
		return false
	}
	return least.Add(c.leastChainTime(j)).After(j.deadlineAt)
}

// startOverdue reports whether the job is later than it was expected to be and is to
// be examined again.
func (j *job) startOverdue(now time.Time) bool {
	if now.Before(j.examineAt) {
		return false
	}
	for _, s := range j.stages {
		if s.queued && now.Sub(s.expectedStart()) > lateStartGrace && now.Sub(s.readyAt) > lateStartGrace {
			return true
		}
	}
	return false
}

// expectedStart returns when the pieces of the stage were to start.
func (s *stage) expectedStart() time.Time {
	if s.job.late {
		return s.forecastStart
	}
	return s.startBy
}

// keepsWaiting reports whether a job that is later than expected can still be served;
// from now on it counts as late.
func (c *Core) keepsWaiting(j *job, now time.Time) bool {
	c.markLate(j, now)
	j.examineAt = now.Add(lateStartGrace)
	return c.late.servableLate(j, now, unlimitedWait)
}

// refuseUnservable examines the jobs of which nothing has started after endpoints were
// lost, the least urgent and newest first, and refuses those for which there is no room
// any more. Jobs wait for a service all of whose endpoints were lost: crashed ones are
// back within seconds.
func (c *Core) refuseUnservable(now time.Time) {
	shrunk := make(map[*pool]bool)
	for _, p := range c.sortedPools {
		if p.shrunk && p.usable > 0 {
			shrunk[p] = true
		}
		p.shrunk = false
	}
	if len(shrunk) == 0 {
		return
	}
	jobs := c.filterJobs(func(j *job) bool {
		return !j.started && j.engine == nil && slices.ContainsFunc(j.stages, func(s *stage) bool { return shrunk[s.demandEntry.pool] })
	})
	slices.SortStableFunc(jobs, compareUrgency)
	for _, j := range slices.Backward(jobs) {
		if !j.late && c.firstLatePool(j, now) == nil {
			continue
		}
		if !c.keepsWaiting(j, now) {
			c.refuse(j, ReasonOverload, now)
		}
	}
}

// recordWaitShortage records what the job has been waiting for, unless a shortage
// is recorded already.
func (c *Core) recordWaitShortage(j *job) {
	if j.shortService != "" {
		return
	}
	if j.stagesDone() {
		j.shortService, j.shortResource = j.Service, ResourceEngine
		return
	}
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil && !s.done() {
			c.recordStageShortage(s, p)
		}
	}
	if j.shortService == "" {
		j.shortService, j.shortResource = j.Service, ResourceEngine
	}
}

// recordStageShortage records what a stage that is not done waits for: room if it is
// queued, else the end of its calls or of those of the stages that it reads.
func (c *Core) recordStageShortage(s *stage, p *pool) {
	switch {
	case s.queued:
		_, short := p.backlogTime(p.demand.onTime.Sum())
		s.job.shortService, s.job.shortResource = p.name, short
	case s.job.shortService == "":
		s.job.shortService, s.job.shortResource = p.name, ResourceCallTime
	}
}
