package fleet

import (
	"cmp"
	"sort"
	"time"

	"github.com/mangostage/mangostage/peer"
)

// Keeper is a member that keeps a part of what the fleet knows.
type Keeper struct {
	Name string
	// Conn is nil without a connection to the member.
	Conn *peer.Conn
	// Leaving means that the member is about to stop.
	Leaving bool
}

// keepers returns the live members, without this process, among which knowledge is divided,
// sorted by name: all of a full mesh, else the hubs, to which all members connect.
func (c *Core) keepers(now time.Time) []peerState {
	hubs := make(map[string]bool)
	if !c.fullMesh {
		for _, m := range c.hubs(now) {
			hubs[m.Name] = true
		}
	}
	var keepers []peerState
	for _, p := range c.peers {
		if p.live(now) && (c.fullMesh || hubs[p.Name]) {
			keepers = append(keepers, *p)
		}
	}
	sort.Slice(keepers, func(i, j int) bool { return keepers[i].Name < keepers[j].Name })
	return keepers
}

// Keepers returns the live members, without this process, among which knowledge is divided,
// sorted by name.
func (s *Service) Keepers() []Keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keepers []Keeper
	for _, p := range s.core.keepers(time.Now()) {
		k := Keeper{Name: p.Name, Leaving: p.leaving}
		if l := s.links[p.Addr]; l != nil {
			k.Conn = cmp.Or(l.dialed, l.accepted)
		}
		keepers = append(keepers, k)
	}
	return keepers
}
