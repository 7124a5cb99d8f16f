package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the queue's owner; self is true if it is this process. An
// owner that is silent, deaf, lost or leaving is replaced first.
func (c *Core) Owner(now time.Time) (owner Member, self bool) {
	c.resume(now)
	deaf := c.ownerDeaf(now)
	if deaf {
		c.peers[c.claim.Owner].deaf = true
	}
	switch {
	case deaf && !c.anyInTouch(now):
		// Below the fleet's term: the others keep their owner.
		c.take(now, claimOf(c.self, max(2, c.claim.Term)-1), CauseDeaf)
	case deaf:
		c.replace(now, CauseDeaf)
	case !c.alive(now, c.claim):
		c.replace(now, CauseGone)
	case c.ownerSilent(now):
		c.replace(now, CauseSilent)
	}
	if c.claim.Owner == c.self.Name {
		c.owned = now
		return c.self, true
	}
	return c.peers[c.claim.Owner].Member, false
}

// ownerSilent tells whether the owner, another process, has missed its
// heartbeats. Those are due only from when the claim was taken up: a process
// that owned nothing before has beaten less often, and to replace it for that
// would let the ownership wander through the fleet for seconds.
func (c *Core) ownerSilent(now time.Time) bool {
	p := c.peers[c.claim.Owner]
	return p != nil && c.ownerQuiet(now, p) >= silence
}

// ownerQuiet is how long the owner has said nothing since the claim.
func (c *Core) ownerQuiet(now time.Time, owner *peerState) time.Duration {
	since := owner.heard
	if c.claimed.After(since) {
		since = c.claimed
	}
	return now.Sub(since)
}

// heardInAlarm tells whether an owner that is silent is to be replaced by a
// member that was heard since the alarm; false if there was none, or if nobody was.
//
// The failure that it guards against: two VMs freeze at the same moment, one of
// them the owner. The other, which owns nothing and beats once a second, still
// counts as live, takes the owner's place and is found silent in its turn;
// users wait twice as long for their stages.
func (c *Core) heardInAlarm(now time.Time) bool {
	return c.alarmed(now) && c.anyInTouch(now)
}

func (c *Core) anyInTouch(now time.Time) bool {
	for _, p := range c.peers {
		if p.live(now) && !p.leaving && p.inTouch(now) {
			return true
		}
	}
	return false
}

// inTouch tells whether a member was heard since the alarm, and hears this process.
func (p *peerState) inTouch(now time.Time) bool {
	return now.Sub(p.heard) < alarm && p.unacked() < unheardAlarm
}

// Silent tells whether a member that owns or owned the queue has missed its
// heartbeats, so that jobs given to it have to go elsewhere.
func (c *Core) Silent(now time.Time, name, incarnation string) bool {
	p := c.peers[name]
	if p == nil || p.Incarnation != incarnation || p.deaf {
		return true
	}
	if c.claim.Owner == name {
		return c.ownerQuiet(now, p) >= silence
	}
	return now.Sub(p.heard) >= silence
}

// alarmed tells whether the owner, another process, has begun to be silent or deaf.
func (c *Core) alarmed(now time.Time) bool {
	p := c.peers[c.claim.Owner]
	return p != nil && (c.ownerQuiet(now, p) >= alarm || c.unheard() >= unheardAlarm)
}

// replace chooses the owner by rank among the live members. All processes
// rank alike, so that those who lose the owner together choose the same.
func (c *Core) replace(now time.Time, why Cause) {
	lost := c.claim.Owner
	best := c.self
	stays := c.someoneStays(now)
	recent := c.heardInAlarm(now)
	found := !c.leaving || !stays
	for _, p := range c.peers {
		if !p.live(now) || p.leaving && stays || p.Name == lost && now.Sub(p.heard) >= silence {
			continue
		}
		if p.deaf || recent && !p.inTouch(now) {
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
	c.take(now, claimOf(best, term), why)
}

// outranks orders members: the most processor time first, then by hash.
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
