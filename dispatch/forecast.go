package dispatch

import (
	"math"
	"time"

	"github.com/mangostage/mangostage/dispatch/appointment"
	"github.com/mangostage/mangostage/internal/sumtree"
)

const (
	// fillShare is the fraction of the places for pieces that a pool's calls use in
	// practice.
	fillShare = 0.9
	// admittedHalfLife is the half-life of the count of admitted pieces.
	admittedHalfLife = 500 * time.Millisecond
	// lateCapacityMin is the lower bound of lateCapacity, which keeps divisions by it
	// finite.
	lateCapacityMin = 0.02
	// forecastErrorWeight is the weight of the newest stage in a pool's forecast
	// error.
	forecastErrorWeight = 0.08
	// forecastErrorHalfLife is the half-life of the forecast error without new
	// observations.
	forecastErrorHalfLife = time.Second
)

// backlogTime returns the time that the pool needs for a backlog, and the resource
// that limits it: places in calls, or the memory that results occupy until they
// are read. Without usable endpoints the time is an hour.
func (p *pool) backlogTime(b sumtree.Amount) (time.Duration, Resource) {
	workers := p.allowedWorkers()
	if workers == 0 {
		return time.Hour, ResourceEndpoints
	}
	calls := time.Duration(float64(p.avgCallTime) * float64(b.Pieces) / p.usedPlaces())
	memory := float64(p.spec.Room) * float64(workers)
	if memory <= 0 {
		return calls, ResourceCalls
	}
	read := time.Duration(float64(p.avgHoldTime) * float64(b.Bytes) / memory)
	if read > calls {
		return read, ResourceMemory
	}
	return calls, ResourceCalls
}

// countAdmitted counts the pieces of a job that was admitted as on time.
func (c *Core) countAdmitted(j *job, now time.Time) {
	j.admittedAt = now
	c.addAdmitted(j, 1, now)
	j.useShares(now)
}

// uncountAdmitted takes back what is left of countAdmitted when the job becomes late.
func (c *Core) uncountAdmitted(j *job, now time.Time) {
	if !j.admittedAt.IsZero() {
		c.addAdmitted(j, -decay(now.Sub(j.admittedAt)), now)
		j.admittedAt = time.Time{}
	}
}

// addAdmitted adds the pieces of a job, times the weight, to the counts of its pools.
func (c *Core) addAdmitted(j *job, weight float64, now time.Time) {
	for _, s := range j.stages {
		if s.Pieces > 0 {
			c.pools[s.Service].admitted.add(j.Priority, weight*float64(s.Pieces), now)
		}
	}
}

// decay returns what is left of a count after the given time.
func decay(age time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / admittedHalfLife.Seconds())
}

// admittedPieces counts, by priority, the pieces of jobs that were admitted as on time;
// the counts decay.
type admittedPieces struct {
	counts [appointment.Priorities]float64
	asOf   time.Time
}

// add counts pieces of a priority.
func (a *admittedPieces) add(priority int, pieces float64, now time.Time) {
	left := decay(now.Sub(a.asOf))
	for i := range a.counts {
		a.counts[i] *= left
	}
	a.counts[appointment.Class(priority)] += pieces
	a.asOf = now
}

// upTo returns the count of pieces that are at least as urgent as the priority.
func (a *admittedPieces) upTo(priority int, now time.Time) float64 {
	sum := 0.0
	for _, n := range a.counts[:appointment.Class(priority)+1] {
		sum += n
	}
	return sum * decay(now.Sub(a.asOf))
}

// lateCapacity returns the fraction of the pool's capacity that jobs on time leave to
// late ones of the priority. Less urgent jobs leave them all: see firstLatePool.
func (p *pool) lateCapacity(priority int, now time.Time) float64 {
	if p.allowedWorkers() == 0 {
		return lateCapacityMin
	}
	rate := p.admitted.upTo(priority, now) * math.Ln2 / admittedHalfLife.Seconds()
	return max(lateCapacityMin, 1-rate/p.pieceRate())
}

// usedPlaces returns how many pieces are in the pool's calls at a time while work waits.
func (p *pool) usedPlaces() float64 {
	return p.effectiveWorkers() * float64(p.spec.Items) * fillShare
}

// pieceRate returns how many pieces a second the pool's endpoints do.
func (p *pool) pieceRate() float64 { return p.usedPlaces() / p.avgCallTime.Seconds() }

// firstLatePool returns the first pool in which the job would start too late to
// meet its objective, or nil. It sets the forecasts of the stages up to that one,
// and what the job is short of there.
func (c *Core) firstLatePool(j *job, now time.Time) *pool {
	for _, s := range j.stages {
		if s.Pieces == 0 {
			continue
		}
		p := c.pools[s.Service]
		ahead := p.demand.onTime.UpTo(s.startBy).Plus(p.demand.lateBefore(j.Priority))
		if urgent := appointment.Class(j.Priority); urgent > 0 {
			promised := p.calendar.Promised(now, appointment.RankOf(urgent-1, false), s.startBy.Sub(now))
			ahead.Pieces += int(promised)
		}
		wait, short := p.backlogTime(ahead)
		wait = max(wait, p.backoffWait(now))
		s.forecastStart = now.Add(wait + c.lag)
		for _, a := range s.DependsOn {
			if before := j.stages[a]; before.Pieces > 0 {
				s.forecastStart = later(s.forecastStart, before.forecastStart.Add(c.pools[before.Service].avgCallTime))
			}
		}
		margin := p.forecastErrorAt(now) + time.Duration(j.Priority)*urgencyMargin
		margin += s.shareMargin(p, margin, now)
		if s.forecastStart.Add(margin).After(s.startBy) {
			j.shortService, j.shortResource = p.name, short
			j.lateBy = s.forecastStart.Add(margin).Sub(s.startBy)
			return p
		}
	}
	return nil
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// learnForecastError updates the forecast error from the start of a stage's last
// pieces. The forecast does not consider calls in flight, pieces that fit no idle
// endpoint, and jobs that came later but went first.
func (p *pool) learnForecastError(s *stage, now time.Time) {
	if s.forecastStart.IsZero() || s.job.late {
		return
	}
	previous := p.forecastErrorAt(now)
	observed := now.Sub(s.forecastStart)
	p.forecastError = max(0, previous+time.Duration(forecastErrorWeight*float64(observed-previous)))
	p.forecastErrorAsOf = now
}

// forecastErrorAt returns the forecast error at now. It decays without new
// observations: otherwise a large error would keep out all jobs that could show
// that it no longer holds.
func (p *pool) forecastErrorAt(now time.Time) time.Duration {
	age := now.Sub(p.forecastErrorAsOf).Seconds() / forecastErrorHalfLife.Seconds()
	return time.Duration(float64(p.forecastError) * math.Exp2(-age))
}
