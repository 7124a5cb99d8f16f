package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the queue's owner; self is true if that is this process. An owner that
// is silent, deaf, gone or leaving is replaced first.
func (c *Core) Owner(now time.Time) (owner Member, self bool) {
	c.discountPause(now)
	deaf := c.ownerDeaf(now)
	if deaf {
		c.peers[c.claim.Owner].deaf = true
	}
	switch {
	case deaf && !c.anyResponsive(now):
		// The term stays below the fleet's, so that the others keep their owner.
		c.adoptClaim(now, claimOf(c.self, max(2, c.claim.Term)-1), CauseDeaf)
	case deaf:
		c.replaceOwner(now, CauseDeaf)
	case !c.canOwn(now, c.claim):
		c.replaceOwner(now, CauseGone)
	case c.ownerSilent(now):
		c.replaceOwner(now, CauseSilent)
	}
	if c.claim.Owner == c.self.Name {
		c.lastOwned = now
		return c.self, true
	}
	return c.peers[c.claim.Owner].Member, false
}

// ownerSilent reports whether the owner, if it is another process, has been silent for
// ownerTimeout. Its silence counts only from when the claim was adopted: a process that
// was not the owner before has sent fewer heartbeats, and replacing it for that would
// pass the ownership from member to member for seconds.
func (c *Core) ownerSilent(now time.Time) bool {
	p := c.peers[c.claim.Owner]
	return p != nil && c.ownerSilentFor(now, p) >= ownerTimeout
}

// ownerSilentFor returns how long the owner has been silent since the claim was adopted.
func (c *Core) ownerSilentFor(now time.Time, owner *peerState) time.Duration {
	since := owner.lastHeard
	if c.claimedAt.After(since) {
		since = c.claimedAt
	}
	return now.Sub(since)
}

// hasResponsiveCandidate reports whether the owner is suspected and a responsive member
// can replace it. Members that are not responsive are then passed over.
//
// It guards against a double failover when two VMs freeze at the same moment, one of
// them the owner. The other, which sends one heartbeat per second, would still count as
// live, become the owner and be found silent in its turn, and users would wait twice as
// long for their stages.
func (c *Core) hasResponsiveCandidate(now time.Time) bool {
	return c.suspectsOwner(now) && c.anyResponsive(now)
}

// anyResponsive reports whether a live member that is not leaving is responsive.
func (c *Core) anyResponsive(now time.Time) bool {
	for _, p := range c.peers {
		if p.live(now) && !p.leaving && p.responsive(now) {
			return true
		}
	}
	return false
}

// responsive reports whether a member has been heard within suspectAfter and acknowledges
// this process's heartbeats.
func (p *peerState) responsive(now time.Time) bool {
	return now.Sub(p.lastHeard) < suspectAfter && p.unackedFor() < unackedSuspectAfter
}

// Silent reports whether a current or former owner of the queue is unknown, restarted,
// deaf or silent for ownerTimeout, so that jobs submitted to it must go elsewhere.
func (c *Core) Silent(now time.Time, name, incarnation string) bool {
	p := c.peers[name]
	if p == nil || p.Incarnation != incarnation || p.deaf {
		return true
	}
	if c.claim.Owner == name {
		return c.ownerSilentFor(now, p) >= ownerTimeout
	}
	return now.Sub(p.lastHeard) >= ownerTimeout
}

// suspectsOwner reports whether the owner, if it is another process, has begun to miss
// heartbeats or acknowledgements.
func (c *Core) suspectsOwner(now time.Time) bool {
	p := c.peers[c.claim.Owner]
	return p != nil && (c.ownerSilentFor(now, p) >= suspectAfter || c.ownerUnackedFor() >= unackedSuspectAfter)
}

// replaceOwner adopts a claim of the first live member by rank, in the next term. All
// processes use the same order, so that those that lose an owner together choose the
// same successor.
func (c *Core) replaceOwner(now time.Time, cause Cause) {
	replaced := c.claim.Owner
	best := c.self
	anyStays := c.anyMemberStays(now)
	responsiveOnly := c.hasResponsiveCandidate(now)
	found := !c.leaving || !anyStays
	for _, p := range c.peers {
		if !p.live(now) || p.leaving && anyStays || p.Name == replaced && now.Sub(p.lastHeard) >= ownerTimeout {
			continue
		}
		if p.deaf || responsiveOnly && !p.responsive(now) {
			continue
		}
		if !found || outranks(p.Member, best) {
			best, found = p.Member, true
		}
	}
	term := c.claim.Term
	if len(c.peers) > 0 {
		term++
	}
	c.adoptClaim(now, claimOf(best, term), cause)
}

// outranks reports whether a ranks before b: by cores, highest first, then by the hash of
// the name.
func outranks(a, b Member) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	ha, hb := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
	if ha != hb {
		return ha > hb
	}
	return a.Name < b.Name
}
