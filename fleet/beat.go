package fleet

import (
	"sort"
	"time"
)

// Beat is one heartbeat.
type Beat struct {
	From    Member `json:"from"`
	Leaving bool   `json:"leaving,omitempty"`
	Claim   Claim  `json:"claim"`
	// Peers are addresses of other members that From has heard.
	Peers []string `json:"peers,omitempty"`
	// StoreAt is the store's revision that From knows.
	StoreAt uint64 `json:"store_at,omitempty"`
	// Steady says that the store has answered From all along, for some seconds.
	Steady bool `json:"steady,omitempty"`
	// Hears is the number of members that From hears itself, From included.
	Hears int `json:"hears,omitempty"`
	// Sent is when From sent the heartbeat, in milliseconds of its own clock since it
	// started, and Acked the latest Sent that it has heard from the receiver.
	Sent  int64 `json:"sent,omitempty"`
	Acked int64 `json:"acked,omitempty"`
	// Alarmed says that From's owner has begun to be silent or deaf: From needs to
	// know who hears it.
	Alarmed bool `json:"alarmed,omitempty"`
	// Hubs are the members that From ranks first, in a fleet that is no full mesh.
	Hubs []Member `json:"hubs,omitempty"`
}

// Introduction returns the first heartbeat on a connection to a member.
func (c *Core) Introduction(now time.Time, storeAt uint64, to string) Beat {
	return c.AckTo(to, c.beat(now, storeAt, introduced, true))
}

// AckTo completes a heartbeat for its receiver: it acknowledges the receiver's own.
func (c *Core) AckTo(to string, b Beat) Beat {
	if p := c.peers[to]; p != nil {
		b.Acked = p.sent
	}
	return b
}

// Beat returns the heartbeat to send in a round. It names a few members, others
// each time: to name all in each would cost bytes and processor time by the
// square of the fleet, 1.6 MB a second and 70% of a core for each of 300 members.
func (c *Core) Beat(now time.Time, storeAt uint64, round int) Beat {
	if !c.mesh && round%idleBeats != 0 {
		// Only the owner sends these, five times a second to each member: what
		// it names goes with every fifth.
		return c.beat(now, storeAt, 0, false)
	}
	hubs := round%hubRounds == 0 || now.Sub(c.began) < youngSpan
	return c.beat(now, storeAt, namedPeers, hubs)
}

// namedPeers is how many members a heartbeat names. Members name different
// ones, so that one who knows a single member knows all within seconds.
const namedPeers = 3

// beat names some members, and the hubs if the fleet is no full mesh.
func (c *Core) beat(now time.Time, storeAt uint64, named int, hubs bool) Beat {
	b := Beat{From: c.self, Leaving: c.leaving, Claim: c.claim, StoreAt: storeAt, Steady: c.steady, Hears: c.heardSize(now)}
	b.Sent = c.clock(now)
	b.Alarmed = c.alarmed(now)
	if named > 0 {
		b.Peers = c.liveAddrs(now)
	}
	if n := len(b.Peers); n > named {
		c.next = (c.next + named) % n
		b.Peers = append(b.Peers[c.next:], b.Peers[:c.next]...)[:named]
	}
	if hubs && !c.mesh {
		b.Hubs = c.nameHubs(now)
	}
	return b
}

// liveAddrs lists the addresses of the live members, sorted.
func (c *Core) liveAddrs(now time.Time) []string {
	var addrs []string
	for _, p := range c.peers {
		if p.live(now) {
			addrs = append(addrs, p.Addr)
		}
	}
	sort.Strings(addrs)
	return addrs
}

// Due tells whether a member at addr gets the heartbeat of this round. One
// that owned the queue a short time ago still has jobs, whose givers listen.
// While the owner is silent all hear each other, to know who can take its place.
// In a large fleet members beat to the owner as to others: it would get
// hundreds of heartbeats in each round and needs none of them sooner.
func (c *Core) Due(now time.Time, addr string, round int) bool {
	if now.Sub(c.owned) < ownedSpan && !c.owned.IsZero() || round%idleBeats == 0 || c.alarmed(now) {
		return true
	}
	p := c.peers[c.claim.Owner]
	return c.mesh && p != nil && p.Addr == addr || c.asksFor(now, addr)
}

// asksFor tells whether the member at addr is alarmed.
func (c *Core) asksFor(now time.Time, addr string) bool {
	at, ok := c.asked[addr]
	return ok && now.Sub(at) < alarm
}
