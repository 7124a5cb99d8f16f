package fleet

import (
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/position"
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

// Ahead returns the connection to the live member with the latest position in the store's
// changes after the given one, or nil if there is none.
func (s *Service) Ahead(after position.Position) *peer.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialedLocked(s.core.Ahead(time.Now(), after))
}

// Informed returns the connection to a live member that is in the era of the store with more
// knowledge, and what it knows; nil if there is none.
func (s *Service) Informed(known position.Knowledge) (*peer.Conn, position.Knowledge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, theirs := s.core.Informed(time.Now(), known)
	return s.dialedLocked(addr), theirs
}

// dialedLocked returns the connection to an address, or nil if there is none.
func (s *Service) dialedLocked(addr string) *peer.Conn {
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

// OthersStay reports whether more of the other live members stay than leave.
func (s *Service) OthersStay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.OthersStay(time.Now())
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
