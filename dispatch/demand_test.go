package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/internal/sumtree"
)

// naiveOnTime computes the demand of on-time jobs that must start by a time from
// all jobs.
func (c *Core) naiveOnTime(p *pool, by time.Time) sumtree.Amount {
	return c.naiveDemand(p, func(s *stage) bool { return !s.job.late && !s.startBy.After(by) })
}

// naiveLate computes the demand of all on-time jobs, and of late ones at least as
// urgent as priority, from all jobs.
func (c *Core) naiveLate(p *pool, priority int) sumtree.Amount {
	return c.naiveDemand(p, func(s *stage) bool { return !s.job.late || s.job.Priority <= priority })
}

func (c *Core) naiveDemand(p *pool, counts func(*stage) bool) sumtree.Amount {
	var sum sumtree.Amount
	for _, j := range c.jobs {
		for _, s := range j.stages {
			if j.engine == nil && s.Service == p.name && counts(s) {
				sum.Pieces += len(s.waiting)
				sum.Bytes += int64(len(s.waiting)) * s.ResultBytes
			}
		}
	}
	return sum
}

// naiveLowest finds the lowest-ranked displaceable job by comparing all.
func (c *Core) naiveLowest(p *pool) *job {
	var least *job
	for _, o := range c.jobs {
		if !o.displaceable() || !o.needs(p.name) || least != nil && !ranksBelow(o, least, p) {
			continue
		}
		least = o
	}
	return least
}

// needs reports whether the job has pieces for the service.
func (j *job) needs(service string) bool {
	for _, s := range j.stages {
		if s.Service == service && s.Pieces > 0 {
			return true
		}
	}
	return false
}

func ranksBelow(a, b *job, p *pool) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.density(p) != b.density(p) {
		return a.density(p) < b.density(p)
	}
	return a.Ticket < b.Ticket
}

// TestDemandMatchesNaive guards against sums that have drifted from the jobs: too
// high, they refuse requests forever; too low, they admit requests that are then
// given up.
func TestDemandMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(testView([]string{"north", "south"}, 1))
		sim.decide = randomFaults(t)
		check := func() {
			by := sim.now.Add(time.Duration(rapid.IntRange(-1000, 2000).Draw(t, "by")) * time.Millisecond)
			priority := rapid.IntRange(0, 2).Draw(t, "priority")
			for _, p := range sim.core.pools {
				assert.Equal(t, p.demand.onTime.UpTo(by), sim.core.naiveOnTime(p, by))
				assert.Equal(t, p.demand.sumUpTo(priority), sim.core.naiveLate(p, priority))
				assert.Equal(t, p.demand.displaceableJobs.lowest(), sim.core.naiveLowest(p))
			}
		}
		sim.afterTick = check
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			j := testJob(fmt.Sprint(i))
			j.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			j.Stages[0].Pieces = rapid.IntRange(0, 6).Draw(t, "heavy")
			j.TokensIn = rapid.IntRange(100, 5000).Draw(t, "tokens")
			j.RefusedBefore = rapid.Bool().Draw(t, "again")
			sim.submit(j)
			check()
			sim.run(time.Duration(rapid.IntRange(0, 6).Draw(t, "gap")) * 10 * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				sim.core.Cancel(sim.now, j.Ticket)
				sim.drain()
			case 1:
				sim.core.HandOver(sim.now)
				sim.drain()
			case 2:
				sim.core.Done(sim.now, j.Ticket, true)
				sim.drain()
			}
			check()
		}
	})
}
