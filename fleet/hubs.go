package fleet

import (
	"sort"
	"time"
)

const (
	// maxMeshSize is the number of members up to which the fleet is a full mesh. Members
	// of a larger fleet connect only to the hubs, the seeds and the queue's owner: what a
	// member of a full mesh sends and receives grows with the fleet.
	maxMeshSize = 64
	// hubCount is the number of hubs: the members that rank first, from which the
	// queue's owner and the readers of the store are chosen. If all are lost at once,
	// members find each other through the seeds and other known addresses.
	hubCount = 5
	// hubAdvertiseRounds is the number of rounds from one heartbeat that names the hubs
	// to the next. In the hubLearningPeriod after its start a member names them every
	// second, because the members of a fleet that starts at once learn them only then.
	hubAdvertiseRounds = 25
	hubLearningPeriod  = 10 * time.Second
	// advertisedHubTTL is how long a hub that is known only from others' heartbeats is
	// dialled: two heartbeats that name it and a margin.
	advertisedHubTTL = 12 * time.Second
	// introductionPeers is the number of members that the first heartbeat on a connection
	// names. If it named all of them, the cost of a fleet that starts at once would grow
	// with the square of its size for each member.
	introductionPeers = 16
	// fallbackTargets is the number of known addresses that a member dials in each round
	// while it hears no more than half of the hubs, as after the loss of several at once.
	fallbackTargets = 8
)

// advertisedHub is a hub that another member's heartbeat has named.
type advertisedHub struct {
	Member
	// advertised is when a heartbeat last named it.
	advertised time.Time
}

// Size returns the number of live members, this one included. It is the highest count
// that this process or a live member has, because in a large fleet most members hear
// only the hubs.
func (c *Core) Size(now time.Time) int {
	size := c.liveCount(now)
	for _, p := range c.peers {
		if p.live(now) {
			size = max(size, p.reportedLive)
		}
	}
	return size
}

// Share returns the fraction of the known members that this process hears, itself
// included. Members that are gone count as known until forgetAfter. Share is 0 while the
// claim of this process is unconfirmed, unless no other member is known: in a fleet that
// starts at once each process has a claim of its own.
func (c *Core) Share(now time.Time) float64 {
	if !c.Confirmed() && len(c.addrs) > 0 {
		return 0
	}
	live := c.liveCount(now)
	return float64(live) / float64(max(live, len(c.addrs)+1))
}

// liveCount returns the number of members that this process hears, itself included.
func (c *Core) liveCount(now time.Time) int {
	n := 1
	for _, p := range c.peers {
		if p.live(now) {
			n++
		}
	}
	return n
}

// hubs returns the members that rank first among this process and the live members, not
// counting those that are leaving.
func (c *Core) hubs(now time.Time) []Member {
	var members []Member
	if !c.leaving {
		members = append(members, c.self)
	}
	for _, p := range c.peers {
		if p.live(now) && !p.leaving {
			members = append(members, p.Member)
		}
	}
	return firstRanked(members, hubCount)
}

// firstRanked returns the first n members by rank. It sorts members in place.
func firstRanked(members []Member, n int) []Member {
	sort.Slice(members, func(i, j int) bool { return outranks(members[i], members[j]) })
	return members[:min(n, len(members))]
}

// hubsToAdvertise returns the hubs for a heartbeat, after the queue's owner if that is
// another live member.
func (c *Core) hubsToAdvertise(now time.Time) []Member {
	members := c.hubs(now)
	if p := c.peers[c.claim.Owner]; p != nil && p.live(now) {
		members = append([]Member{p.Member}, members...)
	}
	return members
}

// recordHubs stores the hubs that a heartbeat names. If the queue's owner is among them
// and not yet known as a live member, it counts as heard now: otherwise a process that
// the owner does not know yet could not adopt the claim and would choose another owner.
func (c *Core) recordHubs(now time.Time, h Heartbeat) {
	for _, m := range h.Hubs {
		if m.Name == c.self.Name {
			continue
		}
		c.advertised[m.Name] = advertisedHub{Member: m, advertised: now}
		p := c.peers[m.Name]
		if m.Name == h.Claim.Owner && (p == nil || !p.live(now) && p.closedAt.IsZero()) {
			c.peers[m.Name] = &peerState{Member: m, lastHeard: now, ackedAt: now}
		}
	}
}

// chooseDialTargets sets the addresses to which this process connects.
func (c *Core) chooseDialTargets(now time.Time) {
	clear(c.dialTargets)
	c.fullMesh = c.Size(now) <= maxMeshSize
	if c.fullMesh {
		for addr := range c.addrs {
			c.dialTargets[addr] = true
		}
		return
	}
	liveHubs := c.hubs(now)
	var advertised []Member
	for name, h := range c.advertised {
		if now.Sub(h.advertised) > advertisedHubTTL {
			delete(c.advertised, name)
			continue
		}
		advertised = append(advertised, h.Member)
	}
	for _, m := range append(liveHubs, firstRanked(advertised, hubCount)...) {
		c.dialTargets[m.Addr] = true
	}
	if p := c.peers[c.claim.Owner]; p != nil {
		c.dialTargets[p.Addr] = true
	}
	if len(liveHubs) <= hubCount/2 {
		c.addFallbackTargets()
	}
	for addr, at := range c.addrs {
		if at.IsZero() {
			c.dialTargets[addr] = true
		}
	}
	delete(c.dialTargets, c.self.Addr)
}

// addFallbackTargets adds some of the known addresses to the dial targets, different
// ones in each round.
func (c *Core) addFallbackTargets() {
	known := make([]string, 0, len(c.addrs))
	for addr := range c.addrs {
		known = append(known, addr)
	}
	sort.Strings(known)
	for range min(fallbackTargets, len(known)) {
		c.fallbackIndex = (c.fallbackIndex + 1) % len(known)
		c.dialTargets[known[c.fallbackIndex]] = true
	}
}

// IsDialTarget reports whether this process keeps a connection of its own to the member
// at addr.
func (c *Core) IsDialTarget(addr string) bool { return c.dialTargets[addr] }

// Mesh reports whether each member is connected to all others.
func (c *Core) Mesh() bool { return c.fullMesh }
