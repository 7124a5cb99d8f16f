// Package fleet keeps the membership of the fleet's entry processes and determines
// which of them owns the queue. There is neither shared state nor a consensus
// protocol: each process decides by the heartbeats that it receives, and two owners
// at the same time do no harm. A member is said to hear another one if the other's
// heartbeats reach it.
package fleet

import (
	"sort"
	"time"

	"github.com/mangostage/mangostage/position"
)

const (
	// HeartbeatInterval is the length of a round: the interval of heartbeats to and
	// from the queue's owner.
	HeartbeatInterval = 200 * time.Millisecond
	// ownerTimeout is how long an owner may be silent before it is replaced: three
	// heartbeats and the jitter of a busy VM.
	ownerTimeout = 700 * time.Millisecond
	// suspectAfter is how long an owner may be silent before it is suspected: all
	// members then send heartbeats to each other in every round, and those heard within
	// this time are preferred as its successor.
	suspectAfter = ownerTimeout / 2
	// closedTimeout is how long a member may be silent after a connection to it has
	// ended, as when its process is killed: one heartbeat and some jitter. A member
	// that is still running is heard within that time over its own connection.
	closedTimeout = 300 * time.Millisecond
	// idleHeartbeatRounds is the number of rounds from one heartbeat to the next
	// between processes neither of which owns the queue.
	idleHeartbeatRounds = 5
	// pauseThreshold is the time between two uses of the core from which this process
	// counts as having been paused: the core is used in every round.
	pauseThreshold = 2 * HeartbeatInterval
	// formerOwnerPeriod is how long a former owner may still run jobs: longer than any
	// deadline.
	formerOwnerPeriod = 20 * time.Second
	// forgetAfter is how long a member that nobody hears any more is still dialled.
	forgetAfter = 15 * time.Second
	// peerTTL is how long the state of a member that is not heard any more is kept.
	peerTTL = 5 * time.Minute
)

// Member describes one process of the fleet.
type Member struct {
	Name string `json:"name"`
	// Incarnation differs with each start.
	Incarnation string `json:"incarnation"`
	// Addr is where it listens for peers.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// Cores is the processor time available to it, in cores. Members with more cores
	// are preferred as owners of the queue.
	Cores float64 `json:"cores"`
	// Started is when it started, in Unix milliseconds by its own clock.
	Started int64 `json:"started,omitempty"`
}

// peerState is what this process knows about another member.
type peerState struct {
	Member
	// lastHeard is when the member's latest heartbeat arrived.
	lastHeard time.Time
	leaving   bool
	// storeSteady and store are as in the member's latest heartbeat.
	storeSteady bool
	store       position.Knowledge
	// reportedLive is the number of members whose heartbeats reach the member.
	reportedLive int
	// lastSent is the Sent value of its latest heartbeat.
	lastSent int64
	// acked is the highest Sent value of this process that the member has
	// acknowledged, ackedAt when it last rose, initially when the member was first
	// heard.
	acked   int64
	ackedAt time.Time
	// ownerSuspected means that the member's latest heartbeat reported its owner as
	// suspected.
	ownerSuspected bool
	// deaf means that the member was replaced as the owner because it did not receive
	// this process's heartbeats, and has acknowledged none since.
	deaf bool
	// closedAt is when a connection to the member ended; zero once it is heard again.
	closedAt time.Time
}

// Core determines which members are live and which of them owns the queue. It does no
// I/O and is not safe for concurrent use.
type Core struct {
	self Member
	// peers holds the other members by name.
	peers map[string]*peerState
	// addrs holds the known addresses and when each was last named in a heartbeat;
	// the zero time marks a seed.
	addrs map[string]time.Time
	// nextPeer is the index, among the live members' addresses, of the first one that
	// the next heartbeat names.
	nextPeer int
	// fullMesh means that the fleet is small enough for each member to connect to all
	// others; dialTargets are the addresses to which this process connects.
	fullMesh    bool
	dialTargets map[string]bool
	// suspicionReports is when members last reported that they suspect the owner, by
	// address.
	suspicionReports map[string]time.Time
	// advertised holds the hubs named in heartbeats of others, by member name.
	advertised map[string]advertisedHub
	// fallbackIndex is the index of the latest known address dialled for lack of hubs.
	fallbackIndex int
	// startedAt is when the core was first used.
	startedAt time.Time
	claim     Claim
	// claimedAt is when the claim was adopted.
	claimedAt time.Time
	// cause is why the claim was adopted.
	cause Cause
	// failedDomain is the failure domain of the previous owner, if that was silent or
	// deaf.
	failedDomain string
	// lastUsed is when the core was last used.
	lastUsed time.Time
	// lastOwned is when this process last owned the queue.
	lastOwned time.Time
	// leaving means that this process is about to stop.
	leaving bool
	// storeSteady means that the store has answered this process without interruption
	// for some seconds.
	storeSteady bool
}

// NewCore returns the core of the process self; seeds are the addresses to dial first.
func NewCore(self Member, seeds []string) *Core {
	c := &Core{
		self:             self,
		peers:            make(map[string]*peerState),
		addrs:            make(map[string]time.Time),
		fullMesh:         true,
		dialTargets:      make(map[string]bool),
		suspicionReports: make(map[string]time.Time),
		advertised:       make(map[string]advertisedHub),
	}
	for _, addr := range seeds {
		// Seeds are never forgotten: they are all that remains to a process that was
		// cut off.
		if addr != self.Addr {
			c.addrs[addr] = time.Time{}
			c.dialTargets[addr] = true
		}
	}
	return c
}

// HandleHeartbeat processes a received heartbeat and reports whether the claim of this
// process has changed.
func (c *Core) HandleHeartbeat(now time.Time, h Heartbeat) bool {
	c.discountPause(now)
	if h.From.Name == c.self.Name || h.From.Name == "" {
		return false
	}
	if c.claim.Owner == "" {
		// An empty claim would be superseded even by that of a weaker process.
		c.adoptClaim(now, claimOf(c.self, 0), CauseStart)
	}
	c.recordHeartbeat(now, h)
	c.recordHubs(now, h)
	c.learnAddr(now, h.From.Addr)
	for _, addr := range h.Peers {
		c.learnAddr(now, addr)
	}
	before := c.claim
	c.confirmClaim(now, h.Claim)
	switch {
	case !h.Claim.supersedes(c.claim):
	case c.canOwn(now, h.Claim) && c.acceptsClaim(now, h):
		c.adoptClaim(now, h.Claim, CauseNewer)
	case c.resistsClaim(now, h.Claim):
		c.adoptClaim(now, claimOf(c.self, h.Claim.Term+1), CauseReasserted)
	}
	if c.displacesWeakerOwner(now) {
		c.adoptClaim(now, claimOf(c.self, c.claim.Term+1), CauseStronger)
	}
	return c.claim != before
}

// recordHeartbeat stores what a heartbeat says about its sender.
func (c *Core) recordHeartbeat(now time.Time, h Heartbeat) {
	p := &peerState{Member: h.From, lastHeard: now, leaving: h.Leaving, storeSteady: h.StoreSteady, store: h.store(), reportedLive: h.LiveCount}
	p.lastSent, p.ownerSuspected, p.acked, p.ackedAt = h.Sent, h.OwnerSuspected, h.Acked, now
	if h.Acked > c.elapsedMs(now) {
		// It acknowledges a heartbeat of an earlier process of this name.
		p.acked = 0
	}
	old := c.peers[h.From.Name]
	if old != nil && old.Incarnation == h.From.Incarnation && p.acked <= old.acked {
		p.acked, p.ackedAt, p.deaf = old.acked, old.ackedAt, old.deaf
		if gap := now.Sub(old.lastHeard); gap > c.maxHeartbeatGap(h.From.Name) {
			// The member was cut off and has had no time to receive what was sent since.
			p.ackedAt = p.ackedAt.Add(gap)
		}
	}
	c.peers[h.From.Name] = p
	if h.OwnerSuspected {
		c.suspicionReports[h.From.Addr] = now
	}
}

// discountPause subtracts a pause of this process from the others' silence. A process
// that resumes after a freeze has received no heartbeats for seconds. Without the
// correction it would consider all others lost and claim the queue with a higher term,
// and the whole fleet would follow a process without any state of the queue.
func (c *Core) discountPause(now time.Time) {
	gap := now.Sub(c.lastUsed)
	if !c.lastUsed.IsZero() && gap > pauseThreshold {
		for _, p := range c.peers {
			p.lastHeard = p.lastHeard.Add(gap)
			p.ackedAt = p.ackedAt.Add(gap)
		}
		c.claimedAt = c.claimedAt.Add(gap)
	}
	if c.lastUsed.IsZero() {
		c.startedAt = now
	}
	if now.After(c.lastUsed) {
		c.lastUsed = now
	}
}

// learnAddr notes that a heartbeat came from, or named, the address.
func (c *Core) learnAddr(now time.Time, addr string) {
	if addr == "" || addr == c.self.Addr {
		return
	}
	if namedAt, ok := c.addrs[addr]; ok && namedAt.IsZero() {
		return
	}
	c.addrs[addr] = now
	if c.fullMesh {
		c.dialTargets[addr] = true
	}
}

// confirmClaim raises this process's claim from term 0 to 1 once another process shares
// it. A starting process claims the queue with term 0 until it learns of the owner, so
// that its claim cannot displace an active owner.
func (c *Core) confirmClaim(now time.Time, theirs Claim) {
	if c.claim.Term == 0 && c.claim.Owner == c.self.Name && theirs == c.claim {
		c.adoptClaim(now, claimOf(c.self, 1), CauseConfirmed)
	}
}

// adoptClaim replaces the current claim.
func (c *Core) adoptClaim(now time.Time, claim Claim, cause Cause) {
	c.cause = cause
	c.failedDomain = ""
	if c.suspectsOwner(now) {
		c.failedDomain = c.peers[c.claim.Owner].Domain
	}
	c.claim = claim
	c.claimedAt = now
}

// Closed notes that a connection to a member has ended.
func (c *Core) Closed(now time.Time, name, incarnation string) {
	p := c.peers[name]
	if p != nil && p.Incarnation == incarnation && p.closedAt.IsZero() {
		p.closedAt = now
	}
}

// Leave notes that this process is about to stop: it no longer owns the queue unless
// all other members are leaving too.
func (c *Core) Leave() { c.leaving = true }

// canOwn reports whether, as far as this process knows, the owner of the claim is live
// and able to own the queue.
func (c *Core) canOwn(now time.Time, claim Claim) bool {
	if claim.Owner == c.self.Name {
		return claim.Incarnation == c.self.Incarnation && (!c.leaving || !c.anyMemberStays(now))
	}
	p := c.peers[claim.Owner]
	return p != nil && p.Incarnation == claim.Incarnation && p.live(now) && !p.deaf && (!p.leaving || !c.anyMemberStays(now))
}

// anyMemberStays reports whether a live member, this one included, is not leaving. If
// all are, as when a whole fleet is stopped member by member, one of the leaving members
// owns the queue: otherwise each would own it for itself.
func (c *Core) anyMemberStays(now time.Time) bool {
	return !c.leaving || c.OthersAvailable(now)
}

// OthersAvailable reports whether another live member is not leaving.
func (c *Core) OthersAvailable(now time.Time) bool {
	for _, p := range c.peers {
		if p.live(now) && !p.leaving {
			return true
		}
	}
	return false
}

// OthersStay reports whether more of the other live members stay than leave.
func (c *Core) OthersStay(now time.Time) bool {
	staying := 0
	for _, p := range c.peers {
		switch {
		case !p.live(now):
		case p.leaving:
			staying--
		default:
			staying++
		}
	}
	return staying > 0
}

// live reports whether a member has been heard within its timeout.
func (p *peerState) live(now time.Time) bool {
	return !p.dead(now) && now.Sub(p.lastHeard) < p.livenessTimeout()
}

// dead reports whether a member has stayed silent for closedTimeout since its connection
// ended.
func (p *peerState) dead(now time.Time) bool {
	return !p.closedAt.IsZero() && now.Sub(p.closedAt) >= closedTimeout
}

// livenessTimeout is how long a member may be silent and still count as live. Members
// other than the owner send heartbeats less often than the owner.
func (p *peerState) livenessTimeout() time.Duration {
	return ownerTimeout + idleHeartbeatRounds*HeartbeatInterval
}

// forgetPeers drops the state of members that have not been heard for peerTTL: VMs are
// replaced by others with new names, and a process may run for months.
func (c *Core) forgetPeers(now time.Time) {
	for name, p := range c.peers {
		if name != c.claim.Owner && now.Sub(p.lastHeard) > peerTTL {
			delete(c.peers, name)
			delete(c.suspicionReports, p.Addr)
		}
	}
}

// Addrs forgets old members and addresses, chooses those to which this process keeps connections,
// and returns them sorted.
func (c *Core) Addrs(now time.Time) []string {
	for addr, at := range c.addrs {
		if !at.IsZero() && now.Sub(at) > forgetAfter {
			delete(c.addrs, addr)
		}
	}
	c.forgetPeers(now)
	c.chooseDialTargets(now)
	addrs := make([]string, 0, len(c.dialTargets))
	for addr := range c.dialTargets {
		addrs = append(addrs, addr)
	}
	sort.Strings(addrs)
	return addrs
}

// Live returns the live members, this process included, sorted by name.
func (c *Core) Live(now time.Time) []Member {
	members := []Member{c.self}
	for _, p := range c.peers {
		if p.live(now) {
			members = append(members, p.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// ClaimedAt returns when this process adopted its current claim.
func (c *Core) ClaimedAt() time.Time { return c.claimedAt }

// Claim returns the current claim.
func (c *Core) Claim() Claim { return c.claim }
