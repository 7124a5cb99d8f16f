package dispatch

import (
	"time"

	"github.com/mangostage/mangostage/dispatch/appointment"
)

const (
	// retryAfterShare is the fraction of its deadline that a refused client is told to
	// wait at least without an appointment: a job that finds no capacity now finds none
	// before the burst is over, and its client has only one retry left.
	retryAfterShare = 0.3
	// usableShare is the fraction of the time that a client has left for which it waits
	// at most before it comes back.
	usableShare = 1.0 / 3
)

// retryAfter returns the time at which there will be room for a job that is refused: an
// appointment if its client can use that time and a stage service limits it, otherwise
// an estimate.
func (c *Core) retryAfter(j *job, reason Reason, now time.Time) time.Duration {
	p := c.pools[j.shortService]
	// Endpoints in backoff or with request rates say themselves when there is room.
	if p == nil || p.usable == 0 || p.lostCapacity > 0 || p.backoffWait(now) > 0 || reason != ReasonOverload && reason != ReasonDeadline {
		return c.retryEstimate(j, now)
	}
	after, booked := p.calendar.Book(now, appointment.Request{
		Rank:   appointment.RankOf(j.Priority, j.RefusedBefore),
		Work:   float64(j.piecesAt(p)),
		Ahead:  float64(p.demand.sumUpTo(j.Priority).Pieces),
		Rate:   p.pieceRate() * p.lateCapacity(j.Priority, now),
		Latest: c.latestReturn(j, now),
	})
	if booked {
		return after
	}
	return max(after, c.retryEstimate(j, now))
}

// latestReturn returns the longest pause that the job's client uses and after which the
// time that it has left still suffices.
func (c *Core) latestReturn(j *job, now time.Time) time.Duration {
	left := j.deadlineAt.Sub(now)
	needed := c.restTime(j) + j.chainTime + j.lateMargin()
	return min(time.Duration(usableShare*float64(left)), left-needed)
}

// retryEstimate estimates when the queues of the job's stages will have been worked
// off.
func (c *Core) retryEstimate(j *job, now time.Time) time.Duration {
	wait := time.Duration(retryAfterShare * float64(j.Deadline))
	for _, s := range j.stages {
		p := c.pools[s.Service]
		if p == nil || s.Pieces == 0 {
			continue
		}
		if left := p.backoffWait(now); left > 0 {
			wait = max(wait, left)
			continue
		}
		places := p.effectiveWorkers() * float64(p.spec.Items)
		wait = max(wait, time.Duration(float64(p.avgCallTime)*float64(p.waiting)/places))
	}
	return max(wait, j.engineWait)
}

// redeem takes the appointment of a client that has come back, if one is due.
func (c *Core) redeem(j *job, now time.Time) {
	if !j.RefusedBefore {
		return
	}
	for _, s := range j.stages {
		if s.Pieces > 0 && c.pools[s.Service].calendar.Redeem(now, j.Priority) {
			j.expected = true
			return
		}
	}
}

// piecesAt returns the number of pieces that the job needs from the pool.
func (j *job) piecesAt(p *pool) int {
	pieces := 0
	for _, s := range j.stages {
		if s.Service == p.name {
			pieces += s.Pieces
		}
	}
	return pieces
}
