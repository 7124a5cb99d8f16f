package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/route"
)

// reportWait is how long the last attempt waits for a report from an endpoint:
// an agent checks its endpoint at this interval and reports a change at once.
const reportWait = time.Second

// maxFailedResumes bounds how many waiting requests are tried without success
// each time that endpoints become available.
const maxFailedResumes = 64

// Waiting returns the number of requests that wait for an endpoint.
func (c *Core) Waiting() int { return c.waiting.len() }

// WaitingPools lists the pools in which requests wait for an endpoint.
func (c *Core) WaitingPools() []string { return c.waiting.poolNames() }

// EndpointsAvailable reports that endpoints of a pool may accept work again. It
// starts up to slots of the waiting requests, those with the least time left
// first. Not all are started at once, because an endpoint that has just
// restarted would refuse the calls that exceed its queue.
//
// Like EndpointEjected, it affects requests of several shards.
func (c *Core) EndpointsAvailable(now time.Time, pool string, slots int) []Effect {
	var effects []Effect
	var stillWaiting []*waiter
	for slots > 0 && len(stillWaiting) < maxFailedResumes {
		wt := c.waiting.pop(pool)
		if wt == nil {
			break
		}
		more, waiting := c.resume(now, wt)
		effects = append(effects, more...)
		if waiting {
			stillWaiting = append(stillWaiting, wt)
		} else {
			slots--
		}
	}
	c.waiting.restore(stillWaiting)
	return effects
}

// resume tries the current stage of a waiting request again and reports whether
// the request still waits: the available endpoint need not be usable for it.
func (c *Core) resume(now time.Time, wt *waiter) (effects []Effect, waiting bool) {
	s := c.shard(wt.requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[wt.requestID]
	if r == nil || r.waiter != wt {
		return nil, false
	}
	t := &transition{core: c, shard: s, r: r, now: now}
	t.start(r.waitCause)
	return t.effects, r.waiter == wt
}

// wait makes a request wait for an endpoint of its pool and reports whether it
// waits. It does not wait if too little time is left or the wait set is full.
// noEndpoint is the cause with which the request ends if no endpoint becomes
// available.
//
// Only a request that has started waits: its caller gains nothing by trying
// again, as its first stages would run again. One that has not run is refused
// at once.
func (t *transition) wait(noEndpoint cause) bool {
	r := t.r
	until := r.giveUpAt.Add(-t.need())
	if !r.started() || !t.now.Before(until) {
		return false
	}
	if r.waiter != nil {
		return true
	}
	wt := &waiter{requestID: r.RequestID, pool: r.stageAt(r.stage).Pool, until: until}
	if !t.core.waiting.add(wt) {
		return false
	}
	r.waiter, r.waitCause = wt, noEndpoint
	if r.reportedSince.IsZero() {
		t.setTimer(TimerWait, until)
	} else {
		t.setTimer(TimerWait, earlierOf(until, r.reportedSince.Add(reportWait)))
	}
	return true
}

// onWaitTimeout handles the end of the wait. A request that waited for a report
// tries any endpoint; others are given up.
func (t *transition) onWaitTimeout() {
	r := t.r
	if r.reportedSince.IsZero() {
		t.giveUp(r.waitCause)
		return
	}
	r.reportedSince = time.Time{}
	t.stopWaiting()
	t.start(r.waitCause)
}

// requireReport restricts the last attempt of a stage, and those that replace
// one which reached no endpoint, to endpoints that have reported after the
// failed attempt was lost.
//
// It prevents a request from losing all its attempts within milliseconds on
// endpoints that failed together, as after a power loss, when only the endpoint
// that was called is known to be lost.
func (r *request) requireReport(failed *attempt) {
	r.reportedSince = time.Time{}
	attempts := r.attemptsOf(r.stage)
	if attempts > 1 && attempts >= r.maxAttempts()-1 && !failed.lostAt.IsZero() {
		r.reportedSince = failed.lostAt
	}
}

// stopWaiting removes the request from the wait set, if it waits.
func (t *transition) stopWaiting() {
	r := t.r
	if r.waiter == nil {
		return
	}
	t.core.waiting.remove(r.waiter)
	r.waiter = nil
	r.timers[TimerWait] = 0
}

// started reports whether any part of the request has run or may have run.
func (r *request) started() bool {
	if r.stage > 0 {
		return true
	}
	for _, a := range r.attempts {
		if a.execState != notRun {
			return true
		}
	}
	return false
}

// tried lists the endpoints that the stage was sent to.
func (r *request) tried(stage int) []route.Tried {
	var list []route.Tried
	for _, a := range r.attempts {
		if a.stage == stage {
			list = append(list, route.Tried{Endpoint: a.endpoint, LostAt: a.lostAt})
		}
	}
	return list
}
