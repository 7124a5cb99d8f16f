package scheduler

import (
	"sync"
	"time"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/peer"
)

const (
	// maxPlacementAge is how long a placement is worth sending: about as long as engines
	// are expected to keep the cached prefix of a prompt without use.
	maxPlacementAge = 10 * time.Second
	// maxPlacements bounds the placements that a process remembers and sends.
	maxPlacements = 256
)

// placements remembers to which engines this process's requests were sent, to tell the
// next owner of the queue.
//
// The failure that it guards against: a new owner does not know which prefixes the
// engines have cached, places prompts anew, and all shared prefixes are read again. If
// the members of a fleet that has grown are stopped one after another, this happens
// several times.
type placements struct {
	mu   sync.Mutex
	ring []recentPlacement
	// next is the index in ring of the oldest placement, once the ring is full.
	next int
	// lastOwner is the owner to which placements were sent last; nil means this process.
	// It is only valid if hasLastOwner is true.
	lastOwner    *peer.Conn
	hasLastOwner bool
}

// recentPlacement is a placement with its time.
type recentPlacement struct {
	dispatch.Placement
	at time.Time
}

// add remembers to which engine a job was sent. A job without a prefix is skipped.
func (p *placements) add(j dispatch.Job, endpoint string, now time.Time) {
	if len(j.Prefix) == 0 {
		return
	}
	entry := recentPlacement{
		Placement: dispatch.Placement{Service: j.Service, Endpoint: endpoint, Prefix: j.Prefix},
		at:        now,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ring) < maxPlacements {
		p.ring = append(p.ring, entry)
		return
	}
	p.ring[p.next] = entry
	p.next = (p.next + 1) % maxPlacements
}

// takeForOwner returns the recent placements if owner differs from lastOwner, else
// nothing, and sets lastOwner.
func (p *placements) takeForOwner(owner *peer.Conn, now time.Time) []dispatch.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasLastOwner && owner == p.lastOwner {
		return nil
	}
	p.hasLastOwner = true
	p.lastOwner = owner
	var recent []dispatch.Placement
	for _, e := range p.ring {
		if now.Sub(e.at) < maxPlacementAge {
			recent = append(recent, e.Placement)
		}
	}
	return recent
}
