package dispatch

import "time"

const (
	// lateFactor, times the route's objective, bounds the wait for any stage if a late
	// job is to be admitted, so that clients learn early whether to retry. It does not
	// grow with the deadline, which is longest for the least urgent jobs.
	lateFactor = 0.4
	// urgencyMargin is the slack required for each step of priority, so that less
	// urgent jobs are refused first.
	urgencyMargin = 80 * time.Millisecond
	// settledShare is the fraction of the objective after which an admitted job is
	// displaced by an equally urgent one only if it will still be served.
	settledShare = 0.4
	// holdTimeWeight is the weight of the newest result in a pool's average hold time.
	holdTimeWeight = 0.1
	// sizeWeight is the weight of the newest job in the mean size of its route.
	sizeWeight = 0.05
	// outputWeight is the cost of an output token relative to a prompt token.
	outputWeight = 10
	// weightMargin keeps jobs of similar density from displacing each other.
	weightMargin = 1.5
	// baseWeight is added to each job's relative size: a small answer is worth more to
	// its user than its part of the tokens.
	baseWeight = 0.43
)

// admit decides before the first piece whether the job is accepted, so that no
// work is done for requests that would be given up later. If not all jobs can meet
// their objectives, the less urgent are displaced first, and among equally urgent
// ones those with the lower density.
func (c *Core) admit(j *job, now time.Time) bool {
	c.askForShares(j, now)
	for {
		p := c.firstLatePool(j, now)
		if p == nil {
			c.countAdmitted(j, now)
			c.addDisplaceable(j)
			return true
		}
		victim := p.victim(j, now)
		if victim == nil || j.Priority == victim.Priority && victim.settled(now) && !c.canBeLate(victim, now) {
			break
		}
		victim.recordShortage(p, j.shortResource)
		c.displace(victim, now)
	}
	return c.admitLate(j, now)
}

// victim returns the job that j displaces in the pool: one that has not started
// and ranks lower, or whose client account is further above its share. It returns nil
// if there is none.
func (p *pool) victim(j *job, now time.Time) *job {
	o := p.demand.displaceableJobs.lowest()
	if o == nil {
		return nil
	}
	if o.Priority == j.Priority {
		if over, decided := p.victimByShare(j, o, now); decided {
			return over
		}
	}
	if !j.outranks(o, p) {
		return nil
	}
	return o
}

// settled reports whether an admitted job has waited for so long that its client counts
// on being served.
func (j *job) settled(now time.Time) bool {
	return now.Sub(j.submitted) > time.Duration(settledShare*float64(j.Objective))
}

// canBeLate reports whether an on-time job would still be served as a late one.
func (c *Core) canBeLate(j *job, now time.Time) bool {
	j.late = true
	j.updateDemand()
	servable := c.late.servableLate(j, now, unlimitedWait)
	j.late = false
	j.updateDemand()
	return servable
}

// addDisplaceable adds an on-time job to the displaceable jobs of its pools.
func (c *Core) addDisplaceable(j *job) {
	for i, s := range j.stages {
		if s.Pieces > 0 && !j.hasEarlierStageOf(i) {
			p := c.pools[s.Service]
			p.demand.displaceableJobs.add(j, p)
		}
	}
}

// hasEarlierStageOf reports whether a stage before stage i has pieces for the same
// service.
func (j *job) hasEarlierStageOf(i int) bool {
	for _, s := range j.stages[:i] {
		if s.Service == j.stages[i].Service && s.Pieces > 0 {
			return true
		}
	}
	return false
}

// outranks reports whether j goes before o if the pool cannot serve both: the more
// urgent one does, or the one of clearly higher density if they are equally
// urgent.
func (j *job) outranks(o *job, p *pool) bool {
	if j.Priority != o.Priority {
		return j.Priority < o.Priority
	}
	return j.density(p) > o.density(p)*weightMargin
}

// density returns the job's weight for each piece that it needs from the pool.
func (j *job) density(p *pool) float64 {
	return (baseWeight + j.weight) / float64(max(1, j.piecesAt(p)))
}

// recordShortage records what the job is short of; the first cause is kept.
func (j *job) recordShortage(p *pool, short Resource) {
	if j.shortService == "" {
		j.shortService, j.shortResource = p.name, short
	}
}

// displace marks a job as late. It refuses the job at once unless it can still be
// served, so that its client retries instead of waiting for nothing.
func (c *Core) displace(j *job, now time.Time) {
	admitted := c.admitLate(j, now)
	if !admitted && j.settled(now) {
		admitted = c.late.servableLate(j, now, unlimitedWait)
	}
	if !admitted {
		c.refuse(j, ReasonOverload, now)
	}
}

// admitLate marks the job as late and reports whether it can still be served well
// within its deadline.
func (c *Core) admitLate(j *job, now time.Time) bool {
	c.markLate(j, now)
	c.markOverShare(j, now)
	if j.RefusedBefore {
		return c.late.servableLate(j, now, unlimitedWait)
	}
	return c.late.servableLate(j, now, time.Duration(lateFactor*float64(j.RouteObjective)))
}

// updateWeight sets the job's weight from the mean size on its route, and updates
// that mean.
func (c *Core) updateWeight(j *job) {
	size := float64(promptTokens(j) + outputWeight*j.TokensOut)
	mean := c.meanSizes[j.Route]
	if mean == 0 {
		mean = size
	}
	mean += sizeWeight * (size - mean)
	c.meanSizes[j.Route] = mean
	j.weight = 1
	if mean > 0 {
		j.weight = size / mean
	}
}
