package fleet

import (
	"sort"
	"time"
)

const (
	// meshMax is the number of members up to which each holds a connection to
	// each other. Beyond it members connect to the hubs, the seeds and the
	// queue's owner only. A full mesh of 300 members cost each 347 kB a second
	// and up to 55% of its processor share.
	meshMax = 64
	// hubCount is how many members are hubs: those that rank first, from which
	// the queue's owner and the readers of the store are chosen. All of them
	// being lost at once is left to the seeds and the known addresses.
	hubCount = 5
	// hubRounds is how many rounds lie between two heartbeats of a member that
	// name the hubs; a young member names them each second, since a fleet that
	// starts as one learns them only then.
	hubRounds = 25
	youngSpan = 10 * time.Second
	// hubSpan is how long a hub that was only heard of, and not from, is still
	// dialled: two heartbeats that name it and a margin.
	hubSpan = 12 * time.Second
	// introduced is how many members a first heartbeat names. The start of 290
	// members as one cost 551 seconds of processor time while each held a
	// connection to each other and named all of them on it.
	introduced = 16
	// strays is how many known addresses a member dials in a round that hears
	// fewer hubs than half: the hubs were lost together.
	strays = 8
)

// hub is a member that others name as one that ranks first.
type hub struct {
	Member
	named time.Time
}

// Size is the number of live members, this one included. A member that hears
// only the hubs takes the highest number that one of them hears itself.
func (c *Core) Size(now time.Time) int {
	size := c.heardSize(now)
	for _, p := range c.peers {
		if p.live(now) {
			size = max(size, p.hears)
		}
	}
	return size
}

// Share is the part of the members known of that this process hears, itself
// included. Members that were lost for good are known for some time. It is 0
// while this process claims the queue and nobody has confirmed it, unless there
// are no others: a fleet that starts as one has as many claims as processes.
func (c *Core) Share(now time.Time) float64 {
	if !c.Confirmed() && len(c.addrs) > 0 {
		return 0
	}
	heard := c.heardSize(now)
	return float64(heard) / float64(max(heard, len(c.addrs)+1))
}

// heardSize counts the members that this process hears itself.
func (c *Core) heardSize(now time.Time) int {
	n := 1
	for _, p := range c.peers {
		if p.live(now) {
			n++
		}
	}
	return n
}

// hubs lists the members that rank first of those that live, and of this process.
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

// firstRanked returns the n members that rank first; it sorts members.
func firstRanked(members []Member, n int) []Member {
	sort.Slice(members, func(i, j int) bool { return outranks(members[i], members[j]) })
	return members[:min(n, len(members))]
}

// nameHubs returns what a heartbeat says of the hubs: the queue's owner first,
// as far as it is known.
func (c *Core) nameHubs(now time.Time) []Member {
	named := c.hubs(now)
	if p := c.peers[c.claim.Owner]; p != nil && p.live(now) {
		named = append([]Member{p.Member}, named...)
	}
	return named
}

// hearOfHubs notes the hubs that a live member names. The queue's owner counts
// as heard for once: without that a claim could not be followed by those whom
// its owner does not know yet, and they would choose another.
func (c *Core) hearOfHubs(now time.Time, b Beat) {
	for _, m := range b.Hubs {
		if m.Name == c.self.Name {
			continue
		}
		c.named[m.Name] = hub{Member: m, named: now}
		p := c.peers[m.Name]
		if m.Name == b.Claim.Owner && (p == nil || !p.live(now) && p.closed.IsZero()) {
			c.peers[m.Name] = &peerState{Member: m, heard: now, ackedAt: now}
		}
	}
}

// choosePartners sets the addresses that this process connects to.
func (c *Core) choosePartners(now time.Time) {
	clear(c.partners)
	c.mesh = c.Size(now) <= meshMax
	if c.mesh {
		for addr := range c.addrs {
			c.partners[addr] = true
		}
		return
	}
	heard := c.hubs(now)
	var named []Member
	for name, h := range c.named {
		if now.Sub(h.named) > hubSpan {
			delete(c.named, name)
			continue
		}
		named = append(named, h.Member)
	}
	for _, m := range append(heard, firstRanked(named, hubCount)...) {
		c.partners[m.Addr] = true
	}
	if p := c.peers[c.claim.Owner]; p != nil {
		c.partners[p.Addr] = true
	}
	if len(heard) <= hubCount/2 {
		c.partnerWithStrays()
	}
	for addr, at := range c.addrs {
		if at.IsZero() {
			c.partners[addr] = true
		}
	}
	delete(c.partners, c.self.Addr)
}

// partnerWithStrays takes some of the known addresses, others each round.
func (c *Core) partnerWithStrays() {
	known := make([]string, 0, len(c.addrs))
	for addr := range c.addrs {
		known = append(known, addr)
	}
	sort.Strings(known)
	for range min(strays, len(known)) {
		c.stray = (c.stray + 1) % len(known)
		c.partners[known[c.stray]] = true
	}
}

// Partner tells whether this process connects to the member at addr itself.
func (c *Core) Partner(addr string) bool { return c.partners[addr] }

// Mesh tells whether each member holds a connection to each other.
func (c *Core) Mesh() bool { return c.mesh }
