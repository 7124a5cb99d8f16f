package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/mangostage/mangostage/dispatch/appointment"
)

const (
	// unlimitedWait, as maxWait of servableLate, limits no wait: only the deadline counts.
	unlimitedWait = time.Duration(math.MaxInt64)
	// lateMarginShare is the fraction of its deadline by which a late job must be
	// expected to end before it.
	lateMarginShare = 0.03
	// readmitInterval is the interval at which late jobs are examined for becoming
	// on-time again.
	readmitInterval = 50 * time.Millisecond
)

// lateRules decide about jobs that are refused or cannot meet their objectives.
type lateRules interface {
	// servableLate reports whether a late job will be served if it waits for no stage for
	// longer than maxWait.
	servableLate(j *job, now time.Time, maxWait time.Duration) bool
	// readmitLate makes late jobs on-time again for which there is room now.
	readmitLate(now time.Time)
	// shouldGiveUp reports whether a job is to be given up, and why; keepsWaiting is
	// asked before a refusal for overload.
	shouldGiveUp(j *job, now time.Time) (Reason, bool)
	keepsWaiting(j *job, now time.Time) bool
	// retryAfter returns when there will be room for a job that is refused.
	retryAfter(j *job, reason Reason, now time.Time) time.Duration
}

// servableLate reports whether a job that is marked as late is expected to be served
// within its deadline: its stages in their order, behind on-time work that goes on
// arriving and late work at least as urgent, then the request itself. maxWait bounds
// the time that it waits for any stage. It sets the forecasts of the stages, and
// otherwise what the job is short of.
func (c *Core) servableLate(j *job, now time.Time, maxWait time.Duration) bool {
	latest := j.deadlineAt.Add(-c.restTime(j) - j.lateMargin())
	for _, s := range j.stages {
		if s.done() || len(s.waiting) == 0 {
			continue
		}
		p := c.pools[s.Service]
		wait, short := c.lateWait(p, j, now)
		s.forecastStart = c.startAfterInputs(s, now.Add(wait))
		if wait > maxWait || s.forecastStart.Add(c.remainingTime(j, s.index)).After(latest) {
			j.recordShortage(p, short)
			return false
		}
	}
	return true
}

// markLate makes a job late.
func (c *Core) markLate(j *job, now time.Time) {
	if !j.late {
		c.routes.countLate(j)
	}
	j.late = true
	j.updateDemand()
	c.uncountAdmitted(j, now)
	j.giveBackShares(now)
}

// readmitLate makes late jobs on-time again for which there is room now: the jobs that
// displaced them may have needed less, and newcomers must not go before them.
func (c *Core) readmitLate(now time.Time) {
	if !slices.ContainsFunc(c.sortedPools, func(p *pool) bool { return len(p.demand.late) > 0 }) {
		return
	}
	jobs := c.filterJobs(func(j *job) bool {
		return j.late && !j.started && !j.stagesDone() && !now.Before(j.readmitAt) && j.objectiveAt.Sub(now) > j.firstEventTime+j.chainTime
	})
	slices.SortStableFunc(jobs, compareUrgency)
	for _, j := range jobs {
		j.late = false
		j.updateDemand()
		if c.firstLatePool(j, now) != nil {
			j.late = true
			j.updateDemand()
			j.readmitAt = now.Add(readmitInterval)
			continue
		}
		c.countAdmitted(j, now)
		c.addDisplaceable(j)
	}
}

// lateMargin returns how long before its deadline a late job must be expected to end.
func (j *job) lateMargin() time.Duration {
	return time.Duration(lateMarginShare * float64(j.Deadline))
}

// lateWait returns how long a late job waits for a stage, and what limits it. Work that
// was promised to others goes before a job that has no appointment.
func (c *Core) lateWait(p *pool, j *job, now time.Time) (time.Duration, Resource) {
	ahead := p.demand.sumUpTo(j.Priority)
	if !j.expected {
		rank := appointment.RankOf(j.Priority, j.RefusedBefore)
		ahead.Pieces += int(p.calendar.Promised(now, rank, appointment.Horizon))
	}
	wait, short := p.backlogTime(ahead)
	wait = max(wait, p.backoffWait(now))
	return boundedDuration(float64(wait) / p.lateCapacity(j.Priority, now)), short
}

// boundedDuration converts a number of nanoseconds, at most an hour.
func boundedDuration(ns float64) time.Duration { return time.Duration(min(ns, float64(time.Hour))) }

// startAfterInputs returns the later of a start and the forecast end of the stages
// that s reads.
func (c *Core) startAfterInputs(s *stage, start time.Time) time.Time {
	for _, a := range s.DependsOn {
		if before := s.job.stages[a]; !before.done() {
			start = later(start, before.forecastStart.Add(c.pools[before.Service].avgCallTime))
		}
	}
	return start
}

// leastChainTime returns the time that the stages still need if nothing is ahead of
// them; pieces in calls may end at any moment.
func (c *Core) leastChainTime(j *job) time.Duration {
	var longest time.Duration
	for _, s := range j.stages {
		if len(s.waiting) > 0 {
			longest = max(longest, c.remainingTime(j, s.index))
		}
	}
	return longest
}

// restTime returns the time within which nearly all such requests end once their engine
// is chosen.
func (c *Core) restTime(j *job) time.Duration { return c.restTimeAt(j, longStream) }

// meanRestTime returns the mean time of such requests once their engine is chosen.
func (c *Core) meanRestTime(j *job) time.Duration { return c.restTimeAt(j, 0) }

// restTimeAt returns the time of the request itself if its stream takes a number of mean
// deviations longer than the mean.
func (c *Core) restTimeAt(j *job, deviations float64) time.Duration {
	if stream, ok := c.streams.estimate(j, deviations); ok {
		return min(j.firstEventTime+stream, unknownRest(j))
	}
	return unknownRest(j)
}

// unknownRest is the time kept for the request itself while none has been observed.
func unknownRest(j *job) time.Duration {
	return time.Duration((1 - stageDeadlineShare) * float64(j.Deadline))
}
