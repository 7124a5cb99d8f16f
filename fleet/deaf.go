package fleet

import "time"

// Packets that pass one way only leave members that are heard and cannot be
// reached. Heartbeats acknowledge those of their receiver, so that each process
// knows whether the owner of the queue hears it, too.

const (
	// unheardAlarm is how long the owner may beat without acknowledging anything new
	// until all members beat to each other in every round: two heartbeats.
	unheardAlarm = 2 * BeatEvery
	// unheardSilence is the same until another owner is chosen.
	unheardSilence = 3 * BeatEvery
	// unheardIdle is how long another member may be heard without a new
	// acknowledgement: what it acknowledges comes less often.
	unheardIdle = (idleBeats + 2) * BeatEvery
)

// clock is the time since the core was first used, in milliseconds, from 1.
func (c *Core) clock(now time.Time) int64 { return 1 + now.Sub(c.began).Milliseconds() }

// unacked is how long a member was heard without a new acknowledgement. Time in
// which it says nothing does not count: that is silence.
func (p *peerState) unacked() time.Duration { return p.heard.Sub(p.ackedAt) }

// longestGap is the longest time between two heartbeats of a member that is heard
// all along.
func (c *Core) longestGap(name string) time.Duration {
	if name == c.claim.Owner {
		return 2 * BeatEvery
	}
	return (idleBeats + 1) * BeatEvery
}

// unheard is how long the owner, another process, was heard since the claim
// without acknowledging anything new; zero if this process owns the queue.
func (c *Core) unheard() time.Duration {
	p := c.peers[c.claim.Owner]
	if p == nil {
		return 0
	}
	span := min(p.unacked(), p.heard.Sub(c.claimed))
	if !c.mesh {
		// Heartbeats to the owner are less frequent than its own.
		span -= idleBeats * BeatEvery
	}
	return max(0, span)
}

// ownerDeaf tells whether the owner does not hear this process and another one of
// its failure domain. Heartbeats of a single one may wait on its own crowded link,
// which no other owner would mend.
func (c *Core) ownerDeaf(now time.Time) bool {
	return c.unheard() >= unheardSilence && c.unheardTogether(now)
}

// unheardTogether tells whether another member of the failure domain is alarmed
// as well, or there is none.
func (c *Core) unheardTogether(now time.Time) bool {
	alone := c.mesh
	for _, p := range c.peers {
		if p.Domain != c.self.Domain || p.Name == c.claim.Owner || !p.live(now) {
			continue
		}
		if p.alarmed {
			return true
		}
		alone = false
	}
	return alone
}

// holdsAgainst tells whether this process, the owner, keeps the queue although
// another one claims it, since that one does not hear this process: those that
// are cut off with it need an owner that hears them.
func (c *Core) holdsAgainst(now time.Time, claim Claim) bool {
	p := c.peers[claim.Owner]
	return c.claim.Owner == c.self.Name && !c.leaving && p != nil && p.live(now) && p.unacked() >= unheardAlarm
}

// follows tells whether a newer claim of a live owner is taken up. It is not if its
// owner does not hear this process. In a full mesh the owner's own heartbeat comes
// within a round, if it can be heard at all, so that the word of others is taken
// only for want of an owner.
func (c *Core) follows(now time.Time, b Beat) bool {
	if p := c.peers[b.Claim.Owner]; p != nil && p.unacked() >= c.ackPatience(now, p) {
		return false
	}
	firstHand := b.Claim.Owner == b.From.Name || b.Claim.Owner == c.self.Name
	return firstHand || !c.mesh || !c.Confirmed() || !c.alive(now, c.claim) || c.ownerSilent(now)
}

// ackPatience is how long a member may be heard without a new acknowledgement: one
// that was alarmed a short time ago was answered in every round.
func (c *Core) ackPatience(now time.Time, p *peerState) time.Duration {
	if at, ok := c.asked[p.Addr]; ok && now.Sub(at) < silence {
		return unheardSilence
	}
	return unheardIdle
}
