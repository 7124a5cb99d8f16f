package fleet

import (
	"time"

	"github.com/mangostage/mangostage/peer"
)

// Readers returns the connections to the members that read the store for the fleet,
// those in this failure domain first; self is true if this process is one of them or is
// connected to none of them.
func (s *Service) Readers() (conns []*peer.Conn, self bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var otherDomains []*peer.Conn
	for _, m := range s.core.Readers(time.Now()) {
		if m.Name == s.cfg.Self.Name {
			return nil, true
		}
		l := s.links[m.Addr]
		switch {
		case l == nil || l.dialed == nil:
		case m.Domain == s.cfg.Self.Domain:
			conns = append(conns, l.dialed)
		default:
			otherDomains = append(otherDomains, l.dialed)
		}
	}
	conns = append(conns, otherDomains...)
	return conns, len(conns) == 0
}

// Ahead returns the connection to the live member with the highest store revision above
// after, or nil if there is none.
func (s *Service) Ahead(after uint64) *peer.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.core.Ahead(time.Now(), after)
	if l := s.links[addr]; l != nil {
		return l.dialed
	}
	return nil
}

// OthersAvailable reports whether another live member is not leaving.
func (s *Service) OthersAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.OthersAvailable(time.Now())
}

// OthersStoreSteady reports whether the store has answered another live member without
// interruption for some seconds.
func (s *Service) OthersStoreSteady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.OthersStoreSteady(time.Now())
}

// Size returns the number of live members, see Core.Size.
func (s *Service) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Size(time.Now())
}
