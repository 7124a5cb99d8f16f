package fleet

import (
	"sort"
	"time"

	"github.com/mangostage/mangostage/position"
)

// Heartbeat is the periodic message by which members learn who is live, who owns
// the queue, and whose heartbeats reach whom.
type Heartbeat struct {
	From    Member `json:"from"`
	Leaving bool   `json:"leaving,omitempty"`
	Claim   Claim  `json:"claim"`
	// Peers are addresses of some of the other members that are live for From.
	Peers []string `json:"peers,omitempty"`
	// StoreEra and StoreRevision are the position in the store's changes up to which From
	// is complete, StoreBefore, StoreEntered, StoreMemory and StoreSettled are those
	// of its position.Knowledge.
	StoreEra      uint64            `json:"store_era,omitempty"`
	StoreRevision uint64            `json:"store_at,omitempty"`
	StoreBefore   position.Position `json:"store_before,omitzero"`
	StoreEntered  position.Position `json:"store_entered,omitzero"`
	StoreMemory   time.Duration     `json:"store_memory,omitempty"`
	StoreSettled  bool              `json:"store_settled,omitempty"`
	// StoreSteady means that the store has answered From without interruption for
	// some seconds.
	StoreSteady bool `json:"steady,omitempty"`
	// LiveCount is the number of members whose heartbeats reach From, itself included.
	LiveCount int `json:"hears,omitempty"`
	// Sent is when From sent the heartbeat, in milliseconds of its own clock since it
	// started. Acked is the highest Sent that From has received from the receiver.
	Sent  int64 `json:"sent,omitempty"`
	Acked int64 `json:"acked,omitempty"`
	// OwnerSuspected means that From has begun to miss heartbeats or acknowledgements
	// of the queue's owner. From then needs to know who receives its own heartbeats.
	OwnerSuspected bool `json:"alarmed,omitempty"`
	// Hubs are the members that From ranks first; empty while the fleet is a full mesh.
	Hubs []Member `json:"hubs,omitempty"`
}

// store returns what From knows of the store.
func (h Heartbeat) store() position.Knowledge {
	return position.Knowledge{At: position.Position{Era: h.StoreEra, Revision: h.StoreRevision}, Before: h.StoreBefore, Entered: h.StoreEntered, Memory: h.StoreMemory, Settled: h.StoreSettled}
}

// Introduction returns the first heartbeat on a connection to the member named to.
func (c *Core) Introduction(now time.Time, store position.Knowledge, to string) Heartbeat {
	return c.WithAck(to, c.buildHeartbeat(now, store, introductionPeers, true))
}

// WithAck returns the heartbeat with the acknowledgement for its receiver, the
// member named to.
func (c *Core) WithAck(to string, h Heartbeat) Heartbeat {
	if p := c.peers[to]; p != nil {
		h.Acked = p.lastSent
	}
	return h
}

// Heartbeat returns the heartbeat to send in a round. It names a few live members,
// different ones each time. Naming all of them each time would cost each member bytes
// and processor time that grow with the square of the fleet's size.
func (c *Core) Heartbeat(now time.Time, store position.Knowledge, round int) Heartbeat {
	if !c.fullMesh && round%idleHeartbeatRounds != 0 {
		// In these rounds normally only the owner sends, five heartbeats per second
		// to each member. It names members and hubs in every fifth only.
		return c.buildHeartbeat(now, store, 0, false)
	}
	hubs := round%hubAdvertiseRounds == 0 || now.Sub(c.startedAt) < hubLearningPeriod
	return c.buildHeartbeat(now, store, peersPerHeartbeat, hubs)
}

// peersPerHeartbeat is the number of members that a heartbeat names. Successive
// heartbeats name different ones, so that a process that knows a single member learns
// of all within seconds.
const peersPerHeartbeat = 3

// buildHeartbeat returns a heartbeat that names at most the given number of live
// members, and the hubs if hubs is set and the fleet is not a full mesh.
func (c *Core) buildHeartbeat(now time.Time, store position.Knowledge, maxPeers int, hubs bool) Heartbeat {
	h := Heartbeat{From: c.self, Leaving: c.leaving, Claim: c.claim, StoreSteady: c.storeSteady, LiveCount: c.liveCount(now)}
	h.StoreEra, h.StoreRevision, h.StoreBefore = store.At.Era, store.At.Revision, store.Before
	h.StoreEntered, h.StoreMemory = store.Entered, store.Memory
	h.StoreSettled = store.Settled && store.At.Era > position.FirstEra
	h.Sent = c.elapsedMs(now)
	h.OwnerSuspected = c.suspectsOwner(now)
	if maxPeers > 0 {
		h.Peers = c.liveAddrs(now)
	}
	if n := len(h.Peers); n > maxPeers {
		c.nextPeer = (c.nextPeer + maxPeers) % n
		h.Peers = append(h.Peers[c.nextPeer:], h.Peers[:c.nextPeer]...)[:maxPeers]
	}
	if hubs && !c.fullMesh {
		h.Hubs = c.hubsToAdvertise(now)
	}
	return h
}

// liveAddrs returns the addresses of the other live members, sorted.
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

// HeartbeatDue reports whether this process sends the heartbeat of this round to the
// member at addr. Heartbeats are sent in each round
//   - by the owner and by recent owners, which still run jobs whose submitters watch
//     for their failure,
//   - while this process or the receiver suspects the owner, so that all know which
//     members can replace it,
//   - to the owner in a full mesh. In a larger fleet the owner would receive hundreds
//     of heartbeats per round and needs none of them sooner.
//
// Otherwise they are sent every idleHeartbeatRounds rounds.
func (c *Core) HeartbeatDue(now time.Time, addr string, round int) bool {
	if now.Sub(c.lastOwned) < formerOwnerPeriod && !c.lastOwned.IsZero() || round%idleHeartbeatRounds == 0 || c.suspectsOwner(now) {
		return true
	}
	p := c.peers[c.claim.Owner]
	return c.fullMesh && p != nil && p.Addr == addr || c.reportsSuspicion(now, addr)
}

// reportsSuspicion reports whether the member at addr has recently said that it
// suspects the owner.
func (c *Core) reportsSuspicion(now time.Time, addr string) bool {
	reportedAt, ok := c.suspicionReports[addr]
	return ok && now.Sub(reportedAt) < suspectAfter
}
