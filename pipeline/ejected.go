package pipeline

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// EndpointEjected handles the ejection of an endpoint and returns the effects
// for the calls that wait for it. A call that may be repeated gets a second
// attempt on another endpoint, as far as time and the budget allow, oldest
// request first. The first attempt continues, as an endpoint that is only slow
// may still answer. In a stream, the caller gets the chunks of whichever
// attempt is ahead, as long as the outputs agree.
//
// Unlike Handle, it affects requests of all shards; it locks one shard at a
// time.
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
	var affected []*request
	for _, r := range s.requests {
		if r.waitsOnlyOn(endpoint) {
			affected = append(affected, r)
		}
	}
	slices.SortFunc(affected, func(a, b *request) int {
		return cmp.Or(a.admitted.Compare(b.admitted), strings.Compare(a.RequestID, b.RequestID))
	})
	var effects []Effect
	for _, r := range affected {
		t := &transition{core: c, shard: s, r: r, now: now}
		if need := t.need(); r.giveUpAt.Sub(now) >= need {
			t.startHedge(anyEndpoint)
		}
		effects = append(effects, t.effects...)
	}
	return effects
}

// waitsOnlyOn reports whether all running attempts of the current stage, at
// least one, are on the endpoint and the stage may be repeated.
func (r *request) waitsOnlyOn(endpoint string) bool {
	if r.phase != running || r.stageAt(r.stage).Unrepeatable {
		return false
	}
	waits := false
	for _, a := range r.attempts {
		if a.stage != r.stage || a.ended() {
			continue
		}
		if a.endpoint != endpoint {
			return false
		}
		waits = true
	}
	return waits
}
