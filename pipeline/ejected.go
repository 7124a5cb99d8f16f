package pipeline

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// EndpointEjected takes in that an endpoint is no longer trusted and returns
// what is to be done for the calls that wait on it: those that may run twice get
// a second attempt elsewhere, as far as time and the budget allow, the oldest
// first. The first attempts go on; an endpoint that is only slow may still answer.
// Of a stream, the pieces of whichever attempt is ahead reach the caller, as long
// as both say the same.
//
// It takes the shards one after the other, and unlike Handle it is no event of
// one request.
func (c *Core) EndpointEjected(now time.Time, endpoint string) []Effect {
	var effects []Effect
	for i := range c.shards {
		effects = append(effects, c.shardEjected(now, endpoint, &c.shards[i])...)
	}
	return effects
}

func (c *Core) shardEjected(now time.Time, endpoint string, s *shard) []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stuck []*request
	for _, r := range s.requests {
		if r.stuckOn(endpoint) {
			stuck = append(stuck, r)
		}
	}
	slices.SortFunc(stuck, func(a, b *request) int {
		return cmp.Or(a.admitted.Compare(b.admitted), strings.Compare(a.RequestID, b.RequestID))
	})
	var effects []Effect
	for _, r := range stuck {
		t := &turn{core: c, shard: s, r: r, now: now}
		if need := t.need(); r.giveUpAt.Sub(now) >= need {
			t.startHedge(always)
		}
		effects = append(effects, t.effects...)
	}
	return effects
}

// stuckOn tells whether the request waits for the endpoint alone.
func (r *request) stuckOn(endpoint string) bool {
	if r.phase != running || r.stageAt(r.stage).Unrepeatable {
		return false
	}
	waits := false
	for _, a := range r.attempts {
		if a.stage != r.stage || a.over() {
			continue
		}
		if a.endpoint != endpoint {
			return false
		}
		waits = true
	}
	return waits
}
