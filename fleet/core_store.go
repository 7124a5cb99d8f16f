package fleet

import (
	"time"

	"github.com/mangostage/mangostage/position"
)

const (
	// smallFleet is the fleet size up to which two members read the store for all.
	// Larger fleets have a third reader, so that the loss of two has no effect.
	smallFleet    = 8
	readersSmall  = 2
	readersLarger = 3
)

// Readers returns the live members that read the store for the fleet: those that rank
// first, because what they read goes to all others over their links. A weak member that
// relays a large configuration would be cut off from all others for seconds. All
// processes that see the same members choose the same readers.
func (c *Core) Readers(now time.Time) []Member {
	members := c.Live(now)
	if !c.fullMesh {
		members = c.hubs(now)
	}
	n := readersSmall
	if len(members) > smallFleet {
		n = readersLarger
	}
	return firstRanked(members, n)
}

// Ahead returns the address of the live member with the latest position in the store's
// changes after the given one, or an empty string if there is none.
func (c *Core) Ahead(now time.Time, after position.Position) string {
	addr, latest := "", after
	for _, p := range c.peers {
		if p.store.At.After(latest) && p.live(now) {
			addr, latest = p.Addr, p.store.At
		}
	}
	return addr
}

// Informed returns the address of the live member that is in the era of the store with the
// most knowledge, and what it knows, if that is more than the given one, or an empty string.
func (c *Core) Informed(now time.Time, known position.Knowledge) (addr string, most position.Knowledge) {
	most = known
	for _, p := range c.peers {
		if most.LessInformed(p.store) && p.live(now) {
			addr, most = p.Addr, p.store
		}
	}
	return addr, most
}

// SetStoreSteady notes whether the store has answered this process without interruption
// for some seconds.
func (c *Core) SetStoreSteady(steady bool) { c.storeSteady = steady }

// OthersStoreSteady reports whether the store has answered another live member without
// interruption for some seconds.
func (c *Core) OthersStoreSteady(now time.Time) bool {
	for _, p := range c.peers {
		if p.storeSteady && p.live(now) {
			return true
		}
	}
	return false
}
