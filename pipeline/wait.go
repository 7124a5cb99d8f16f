package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/route"
)

// confirmWait is how long the last attempt waits for a word from an endpoint: an
// agent checks its endpoint that often, and tells of a change at once.
const confirmWait = time.Second

// maxPassedOver bounds the requests that are tried in vain at one time.
const maxPassedOver = 64

// Waiting is the number of requests that wait for an endpoint.
func (c *Core) Waiting() int { return c.waiting.len() }

// WaitingPools lists the pools whose endpoints are waited for.
func (c *Core) WaitingPools() []string { return c.waiting.names() }

// EndpointsBack takes in that endpoints of a pool may take work again and sends
// up to places of the requests that wait for one, those with the least time
// left first. Not all are sent at once: an endpoint that has just restarted
// would refuse what does not fit its queue.
//
// Like EndpointEjected it is no event of one request.
func (c *Core) EndpointsBack(now time.Time, pool string, places int) []Effect {
	var effects []Effect
	var stay []*ticket
	for places > 0 && len(stay) < maxPassedOver {
		k := c.waiting.call(pool)
		if k == nil {
			break
		}
		more, waits := c.resume(now, k)
		effects = append(effects, more...)
		if waits {
			stay = append(stay, k)
		} else {
			places--
		}
	}
	c.waiting.enterAgain(stay)
	return effects
}

// resume tries the stage of a waiting request again and tells whether the
// request still waits: the endpoint that is back need not be one for it.
func (c *Core) resume(now time.Time, k *ticket) (effects []Effect, waits bool) {
	s := c.shard(k.requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[k.requestID]
	if r == nil || r.ticket != k {
		return nil, false
	}
	t := &turn{core: c, shard: s, r: r, now: now}
	t.start(r.unserved)
	return t.effects, r.ticket == k
}

// wait keeps a request until an endpoint of its pool is back, if that can
// still serve it; otherwise is why the request ends if none comes back.
//
// Only a request that has begun is kept: its caller has nothing to gain from
// coming back, as its first stages would run again. One that has not run is
// refused at once.
func (t *turn) wait(otherwise cause) bool {
	r := t.r
	until := r.giveUpAt.Add(-t.need())
	if !r.begun() || !t.now.Before(until) {
		return false
	}
	if r.ticket != nil {
		return true
	}
	k := &ticket{requestID: r.RequestID, pool: r.stageAt(r.stage).Pool, until: until}
	if !t.core.waiting.enter(k) {
		return false
	}
	r.ticket, r.unserved = k, otherwise
	if r.heardSince.IsZero() {
		t.setTimer(TimerWait, until)
	} else {
		t.setTimer(TimerWait, earlierOf(until, r.heardSince.Add(confirmWait)))
	}
	return true
}

// waitOver takes in that no endpoint came back in time, or that none was heard of.
func (t *turn) waitOver() {
	r := t.r
	if r.heardSince.IsZero() {
		t.conclude(r.unserved)
		return
	}
	r.heardSince = time.Time{}
	t.stopWaiting()
	t.start(r.unserved)
}

// confirmLast keeps the last attempt of a stage, and those that replace one
// which reached no endpoint, for an endpoint that has been heard of since the
// others were lost.
//
// It guards against requests that lose all their attempts within milliseconds
// to endpoints that went together, as after a loss of power, when only the one
// that was called is known to be gone.
func (r *request) confirmLast(failed *attempt) {
	r.heardSince = time.Time{}
	made := r.attemptsOf(r.stage)
	if made > 1 && made >= r.maxAttempts()-1 && !failed.lostAt.IsZero() {
		r.heardSince = failed.lostAt
	}
}

// stopWaiting gives back the request's place in the wait room, if it has one.
func (t *turn) stopWaiting() {
	r := t.r
	if r.ticket == nil {
		return
	}
	t.core.waiting.leave(r.ticket)
	r.ticket = nil
	r.timers[TimerWait] = 0
}

// begun tells whether any part of the request has run or may have run.
func (r *request) begun() bool {
	if r.stage > 0 {
		return true
	}
	for _, a := range r.attempts {
		if a.knowledge != notRun {
			return true
		}
	}
	return false
}

// tried lists the endpoints that were sent the stage.
func (r *request) tried(stage int) []route.Tried {
	var list []route.Tried
	for _, a := range r.attempts {
		if a.stage == stage {
			list = append(list, route.Tried{Endpoint: a.endpoint, LostAt: a.lostAt})
		}
	}
	return list
}
