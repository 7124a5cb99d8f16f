// Package fleet knows the other entries that live, and which of them owns the
// queue. There is no shared state and no agreement: each process judges by the
// heartbeats that it hears, and two owners at once do no harm.
package fleet

import (
	"sort"
	"time"
)

const (
	// BeatEvery is the interval of heartbeats with the queue's owner.
	BeatEvery = 200 * time.Millisecond
	// silence is how long an owner may say nothing until another is chosen:
	// three heartbeats and the jitter of a busy VM.
	silence = 700 * time.Millisecond
	// alarm is how long an owner may say nothing until all members beat to each
	// other in every round, and how recently a member must have been heard then
	// to take the owner's place.
	alarm = silence / 2
	// closedSilence is the same after a connection to it has ended, as when its
	// process is killed: one heartbeat and some jitter. A member that lives on
	// is heard of in that time over its own connection.
	closedSilence = 300 * time.Millisecond
	// idleBeats is how many intervals lie between heartbeats of processes
	// neither of which owns the queue.
	idleBeats = 5
	// pauseGap between two uses of the core means that this process stood
	// still: it is used with every heartbeat.
	pauseGap = 2 * BeatEvery
	// ownedSpan is how long a former owner may have jobs: longer than any deadline.
	ownedSpan = 20 * time.Second
	// forgetAfter is how long a silent member is still dialled.
	forgetAfter = 15 * time.Second
)

// Member is one process of the fleet.
type Member struct {
	Name string `json:"name"`
	// Incarnation differs with each start.
	Incarnation string `json:"incarnation"`
	// Addr is where it listens for peers.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// Cores is its share of a processor core; a weak process owns nothing
	// while a stronger one lives.
	Cores float64 `json:"cores"`
	// Started is when it started, in Unix milliseconds by its own clock.
	Started int64 `json:"started,omitempty"`
}

// peerState is what is known of one member.
type peerState struct {
	Member
	heard   time.Time
	leaving bool
	// steady is what the member last said of its store, see Beat.
	steady  bool
	storeAt uint64
	// hears is the number of members that it hears itself.
	hears int
	// sent is the Sent of its latest heartbeat.
	sent int64
	// acked is the latest heartbeat of this process that the member has
	// acknowledged, ackedAt when it said so, at first when it was first heard.
	acked   int64
	ackedAt time.Time
	// alarmed is what the member last said of its owner, see Beat.
	alarmed bool
	// deaf is set on an owner that was replaced since it did not hear this process,
	// until it acknowledges another heartbeat.
	deaf bool
	// closed is when a connection to the member ended; zero once it is heard again.
	closed time.Time
}

// Core judges who lives and who owns the queue. It does no I/O and is not
// safe for concurrent use.
type Core struct {
	self  Member
	peers map[string]*peerState
	addrs map[string]time.Time
	// next is where the next heartbeat begins to name members.
	next int
	// mesh is set while the fleet is small enough for each member to hold a
	// connection to each other; partners are the addresses to connect to.
	mesh     bool
	partners map[string]bool
	// asked is when members last said that they are alarmed, by address.
	asked map[string]time.Time
	// named holds the hubs that were heard of, by name.
	named map[string]hub
	// stray is the last known address that was dialled for lack of hubs.
	stray int
	// began is when the core was first used.
	began time.Time
	claim Claim
	// claimed is when the claim was taken up.
	claimed time.Time
	// cause is why the claim was taken up.
	cause Cause
	// gaveUp is the failure domain of the owner before, if it was silent or deaf.
	gaveUp string
	// last is when the core was last used.
	last time.Time
	// owned is when this process last owned the queue.
	owned   time.Time
	leaving bool
	// steady says that the store has answered this process for some seconds.
	steady bool
}

// NewCore returns the core of self; seeds are addresses to try first.
func NewCore(self Member, seeds []string) *Core {
	c := &Core{
		self:     self,
		peers:    make(map[string]*peerState),
		addrs:    make(map[string]time.Time),
		mesh:     true,
		partners: make(map[string]bool),
		asked:    make(map[string]time.Time),
		named:    make(map[string]hub),
	}
	for _, addr := range seeds {
		// Seeds are never forgotten: they are all that a cut-off process has.
		if addr != self.Addr {
			c.addrs[addr] = time.Time{}
			c.partners[addr] = true
		}
	}
	return c
}

// Heard takes a heartbeat. It tells whether the owner has changed.
func (c *Core) Heard(now time.Time, b Beat) bool {
	c.resume(now)
	if b.From.Name == c.self.Name || b.From.Name == "" {
		return false
	}
	if c.claim.Owner == "" {
		// Any claim would be newer than none, be it that of a weaker process.
		c.take(now, claimOf(c.self, 0), CauseStart)
	}
	c.note(now, b)
	c.hearOfHubs(now, b)
	c.learn(now, b.From.Addr)
	for _, addr := range b.Peers {
		c.learn(now, addr)
	}
	before := c.claim
	c.confirm(now, b.Claim)
	switch {
	case !b.Claim.newer(c.claim):
	case c.alive(now, b.Claim) && c.follows(now, b):
		c.take(now, b.Claim, CauseNewer)
	case c.holdsAgainst(now, b.Claim):
		c.take(now, claimOf(c.self, b.Claim.Term+1), CauseHeld)
	}
	if c.outmatched(now) {
		c.take(now, claimOf(c.self, c.claim.Term+1), CauseStronger)
	}
	return c.claim != before
}

// note keeps what a heartbeat says of its sender.
func (c *Core) note(now time.Time, b Beat) {
	p := &peerState{Member: b.From, heard: now, leaving: b.Leaving, steady: b.Steady, storeAt: b.StoreAt, hears: b.Hears}
	p.sent, p.alarmed, p.acked, p.ackedAt = b.Sent, b.Alarmed, b.Acked, now
	if b.Acked > c.clock(now) {
		// It is that of a process that had this name before.
		p.acked = 0
	}
	old := c.peers[b.From.Name]
	if old != nil && old.Incarnation == b.From.Incarnation && p.acked <= old.acked {
		p.acked, p.ackedAt, p.deaf = old.acked, old.ackedAt, old.deaf
		if gap := now.Sub(old.heard); gap > c.longestGap(b.From.Name) {
			// It was cut off, and has had no time to hear what came since.
			p.ackedAt = p.ackedAt.Add(gap)
		}
	}
	c.peers[b.From.Name] = p
	if b.Alarmed {
		c.asked[b.From.Addr] = now
	}
}

// resume takes a pause of this process off the others' silence. A process that
// wakes from a freeze has heard nobody for seconds; without this it takes all
// others for lost, claims the queue for itself with a higher term, and the
// whole fleet follows a process that knows nothing of the queue.
func (c *Core) resume(now time.Time) {
	gap := now.Sub(c.last)
	if !c.last.IsZero() && gap > pauseGap {
		for _, p := range c.peers {
			p.heard = p.heard.Add(gap)
			p.ackedAt = p.ackedAt.Add(gap)
		}
		c.claimed = c.claimed.Add(gap)
	}
	if c.last.IsZero() {
		c.began = now
	}
	if now.After(c.last) {
		c.last = now
	}
}

func (c *Core) learn(now time.Time, addr string) {
	if addr == "" || addr == c.self.Addr {
		return
	}
	if at, ok := c.addrs[addr]; ok && at.IsZero() {
		return
	}
	c.addrs[addr] = now
	if c.mesh {
		c.partners[addr] = true
	}
}

// confirm raises the first term of a claim that another process shares. A
// process that starts claims the queue for itself with term 0 until it has
// heard of the owner; without this its claim could displace an owner at work.
func (c *Core) confirm(now time.Time, theirs Claim) {
	if c.claim.Term == 0 && c.claim.Owner == c.self.Name && theirs == c.claim {
		c.take(now, claimOf(c.self, 1), CauseConfirmed)
	}
}

// take puts another claim into force.
func (c *Core) take(now time.Time, claim Claim, why Cause) {
	c.cause = why
	c.gaveUp = ""
	if c.alarmed(now) {
		c.gaveUp = c.peers[c.claim.Owner].Domain
	}
	c.claim = claim
	c.claimed = now
}

// Closed notes that a connection to a member has ended.
func (c *Core) Closed(now time.Time, name, incarnation string) {
	p := c.peers[name]
	if p != nil && p.Incarnation == incarnation && p.closed.IsZero() {
		p.closed = now
	}
}

// Leave notes that this process will stop: it owns nothing from now on.
func (c *Core) Leave() { c.leaving = true }

// alive tells whether a claim's owner can own the queue, as far as is known.
func (c *Core) alive(now time.Time, claim Claim) bool {
	if claim.Owner == c.self.Name {
		return claim.Incarnation == c.self.Incarnation && (!c.leaving || !c.someoneStays(now))
	}
	p := c.peers[claim.Owner]
	return p != nil && p.Incarnation == claim.Incarnation && p.live(now) && !p.deaf && (!p.leaving || !c.someoneStays(now))
}

// someoneStays tells whether a live member, this one included, is not leaving.
// Where all are, as when a whole fleet is stopped in turn, one of those that
// leave owns the queue: otherwise each would own it for itself.
func (c *Core) someoneStays(now time.Time) bool {
	return !c.leaving || c.OthersStay(now)
}

// OthersStay tells whether another live member is not leaving.
func (c *Core) OthersStay(now time.Time) bool {
	for _, p := range c.peers {
		if p.live(now) && !p.leaving {
			return true
		}
	}
	return false
}

// live tells whether a member is heard of.
func (p *peerState) live(now time.Time) bool {
	return !p.dead(now) && now.Sub(p.heard) < p.patience()
}

// dead tells whether nothing was heard of a member since its connection ended.
func (p *peerState) dead(now time.Time) bool {
	return !p.closed.IsZero() && now.Sub(p.closed) >= closedSilence
}

// patience is how long a member may be silent. Members that own nothing beat
// less often.
func (p *peerState) patience() time.Duration { return silence + idleBeats*BeatEvery }

// Addrs chooses and lists the addresses to hold connections to.
func (c *Core) Addrs(now time.Time) []string {
	for addr, at := range c.addrs {
		if !at.IsZero() && now.Sub(at) > forgetAfter {
			delete(c.addrs, addr)
		}
	}
	c.choosePartners(now)
	addrs := make([]string, 0, len(c.partners))
	for addr := range c.partners {
		addrs = append(addrs, addr)
	}
	sort.Strings(addrs)
	return addrs
}

// Live lists the live members, this process included, by name.
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

const (
	// smallFleet is the size up to which two members read the store for all;
	// larger fleets have a third, so that the loss of two is not felt.
	smallFleet    = 8
	readersSmall  = 2
	readersLarger = 3
)

// Readers lists the live members that read the store for the fleet: those that
// rank first, since what they read goes to all others over their own links. A
// weak one that passes on a large configuration is cut off from everybody for
// seconds. All processes that see the same members name the same.
func (c *Core) Readers(now time.Time) []Member {
	members := c.Live(now)
	if !c.mesh {
		members = c.hubs(now)
	}
	n := readersSmall
	if len(members) > smallFleet {
		n = readersLarger
	}
	return firstRanked(members, n)
}

// Ahead returns the address of the live member that knows the highest revision
// of the store above after; empty if none does.
func (c *Core) Ahead(now time.Time, after uint64) string {
	addr, most := "", after
	for _, p := range c.peers {
		if p.storeAt > most && !p.dead(now) && now.Sub(p.heard) < p.patience() {
			addr, most = p.Addr, p.storeAt
		}
	}
	return addr
}

// SetSteady notes whether the store has answered this process for some seconds.
func (c *Core) SetSteady(steady bool) { c.steady = steady }

// OthersSteady tells whether the store has answered a live member all along.
func (c *Core) OthersSteady(now time.Time) bool {
	for _, p := range c.peers {
		if p.steady && p.live(now) {
			return true
		}
	}
	return false
}

// Claim returns the present claim.
func (c *Core) Claim() Claim { return c.claim }
