package scheduler

import (
	"sync"
	"time"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/peer"
)

const (
	// placementSpan is how long a placement is worth telling: about as long as
	// engines are expected to keep a prompt's shared parts unused.
	placementSpan = 10 * time.Second
	// maxPlacements bounds what a process remembers and tells.
	maxPlacements = 256
)

// placements remembers which engines this process's requests were sent to, for
// the next owner of the queue.
//
// The failure that it guards against: an owner that takes over knows nothing
// of what engines keep, places prompts anew, and all shared parts are read
// again; in a rolling stop of a grown fleet, several times.
type placements struct {
	mu   sync.Mutex
	ring []placed
	next int
	// told is the owner that has heard of them; nil means this process.
	told  *peer.Conn
	asked bool
}

type placed struct {
	dispatch.Placement
	at time.Time
}

// add remembers where a job went.
func (p *placements) add(j dispatch.Job, endpoint string, now time.Time) {
	if len(j.Prefix) == 0 {
		return
	}
	entry := placed{
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

// news returns what an owner has to be told: the recent placements, if it is
// another than the last one, else nothing.
func (p *placements) news(owner *peer.Conn, now time.Time) []dispatch.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked && owner == p.told {
		return nil
	}
	p.asked = true
	p.told = owner
	var recent []dispatch.Placement
	for _, e := range p.ring {
		if now.Sub(e.at) < placementSpan {
			recent = append(recent, e.Placement)
		}
	}
	return recent
}
