package fleet

import (
	"slices"
	"time"
)

// Reach describes which part of the fleet the queue's owner can reach.
type Reach struct {
	// Share is the fraction of the known members that the owner hears, see Core.Share.
	Share float64
	// Unreached lists the failure domains in which the owner reaches no member, although
	// one was heard recently. Their endpoints are likely to be cut off as well.
	Unreached []string
}

// Reach returns which part of the fleet this process reaches as the owner.
func (c *Core) Reach(now time.Time) Reach {
	return Reach{Share: c.Share(now), Unreached: c.unreachedDomains(now)}
}

// unreachedDomains returns the failure domains for Reach.Unreached, sorted.
func (c *Core) unreachedDomains(now time.Time) []string {
	reached := map[string]bool{c.self.Domain: true}
	var unreached []string
	for _, p := range c.peers {
		reached[p.Domain] = reached[p.Domain] || c.showsDomainReachable(now, p)
	}
	for _, p := range c.peers {
		if !reached[p.Domain] && now.Sub(p.lastHeard) < forgetAfter && !slices.Contains(unreached, p.Domain) {
			unreached = append(unreached, p.Domain)
		}
	}
	slices.Sort(unreached)
	return unreached
}

// showsDomainReachable reports whether a member gives no reason to consider its failure
// domain unreachable: heartbeats pass in both directions, or the member's process has
// ended, which says nothing about its domain.
func (c *Core) showsDomainReachable(now time.Time, p *peerState) bool {
	switch {
	case !p.closedAt.IsZero() && p.closedAt.Sub(p.lastHeard) < ownerTimeout:
		return true
	case now.Sub(c.claimedAt) >= ownerUnackedTimeout && c.fullMesh:
		// Members send heartbeats to their owner in every round.
		return now.Sub(p.lastHeard) < ownerTimeout && p.unackedFor() < unackedSuspectAfter
	case p.Domain == c.failedDomain:
		return p.responsive(now)
	}
	return p.live(now) && p.unackedFor() < idleUnackedTimeout
}
