package fleet

import "time"

// If a link carries packets in one direction only, a member's heartbeats arrive although
// it receives none. Heartbeats therefore acknowledge those of their receiver, so that
// each process knows whether the queue's owner receives its heartbeats. An owner that
// does not is called deaf.

const (
	// unackedSuspectAfter is how long the owner may send heartbeats without a new
	// acknowledgement before it is suspected: two heartbeats.
	unackedSuspectAfter = 2 * HeartbeatInterval
	// ownerUnackedTimeout is the same before the owner is replaced: three heartbeats.
	ownerUnackedTimeout = 3 * HeartbeatInterval
	// idleUnackedTimeout is how long another member may send heartbeats without a new
	// acknowledgement. It is longer because the heartbeats to acknowledge are less
	// frequent.
	idleUnackedTimeout = (idleHeartbeatRounds + 2) * HeartbeatInterval
)

// elapsedMs returns the time since the core was first used in milliseconds, counted
// from 1.
func (c *Core) elapsedMs(now time.Time) int64 { return 1 + now.Sub(c.startedAt).Milliseconds() }

// unackedFor returns how long the member has sent heartbeats without a new
// acknowledgement. The time since its latest heartbeat does not count: that is silence.
func (p *peerState) unackedFor() time.Duration { return p.lastHeard.Sub(p.ackedAt) }

// maxHeartbeatGap returns the longest time between two heartbeats of a member that was
// not cut off.
func (c *Core) maxHeartbeatGap(name string) time.Duration {
	if name == c.claim.Owner {
		return 2 * HeartbeatInterval
	}
	return (idleHeartbeatRounds + 1) * HeartbeatInterval
}

// ownerUnackedFor returns how long since the claim the owner, if it is another process,
// has sent heartbeats without a new acknowledgement. It is zero if this process owns
// the queue.
func (c *Core) ownerUnackedFor() time.Duration {
	p := c.peers[c.claim.Owner]
	if p == nil {
		return 0
	}
	span := min(p.unackedFor(), p.lastHeard.Sub(c.claimedAt))
	if !c.fullMesh {
		// Heartbeats to the owner are less frequent than those that it sends.
		span -= idleHeartbeatRounds * HeartbeatInterval
	}
	return max(0, span)
}

// ownerDeaf reports whether the owner does not receive this process's heartbeats and
// another member of this failure domain, if there is one, suspects the owner too. The
// heartbeats of a single member may be delayed on its own congested link, which another
// owner would not change.
func (c *Core) ownerDeaf(now time.Time) bool {
	return c.ownerUnackedFor() >= ownerUnackedTimeout && c.domainSuspectsOwner(now)
}

// domainSuspectsOwner reports whether another live member of this failure domain
// suspects the owner too. Without another member it is true in a full mesh only.
func (c *Core) domainSuspectsOwner(now time.Time) bool {
	suspected := c.fullMesh
	for _, p := range c.peers {
		if p.Domain != c.self.Domain || p.Name == c.claim.Owner || !p.live(now) {
			continue
		}
		if p.ownerSuspected {
			return true
		}
		suspected = false
	}
	return suspected
}

// resistsClaim reports whether this process, as the owner, keeps the queue against the
// claim of a member that does not receive its heartbeats: the processes that are cut
// off together with this one need an owner that receives theirs.
func (c *Core) resistsClaim(now time.Time, claim Claim) bool {
	p := c.peers[claim.Owner]
	return c.claim.Owner == c.self.Name && !c.leaving && p != nil && p.live(now) && p.unackedFor() >= unackedSuspectAfter
}

// acceptsClaim reports whether this process adopts the newer claim of a heartbeat. It
// does not if the claim's owner does not receive its heartbeats. In a full mesh the
// owner's own heartbeat arrives within a round, if at all, so a claim relayed by another
// member is adopted only while this process has no confirmed and working owner.
func (c *Core) acceptsClaim(now time.Time, h Heartbeat) bool {
	if p := c.peers[h.Claim.Owner]; p != nil && p.unackedFor() >= c.ackTimeout(now, p) {
		return false
	}
	direct := h.Claim.Owner == h.From.Name || h.Claim.Owner == c.self.Name
	return direct || !c.fullMesh || !c.Confirmed() || !c.canOwn(now, c.claim) || c.ownerSilent(now)
}

// ackTimeout returns how long a member may send heartbeats without a new
// acknowledgement. It is shorter for a member that has recently reported its owner as
// suspected, because such a member receives a heartbeat in every round.
func (c *Core) ackTimeout(now time.Time, p *peerState) time.Duration {
	if reportedAt, ok := c.suspicionReports[p.Addr]; ok && now.Sub(reportedAt) < ownerTimeout {
		return ownerUnackedTimeout
	}
	return idleUnackedTimeout
}
