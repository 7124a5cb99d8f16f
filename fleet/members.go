package fleet

import (
	"time"

	"github.com/mangostage/mangostage/peer"
)

// Readers returns the connections to the members that read the store for the
// fleet, those in this failure domain first; self is true if this process is
// one of them, or reaches none.
func (s *Service) Readers() (conns []*peer.Conn, self bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var far []*peer.Conn
	for _, m := range s.core.Readers(time.Now()) {
		if m.Name == s.cfg.Self.Name {
			return nil, true
		}
		l := s.conns[m.Addr]
		switch {
		case l == nil || l.conn == nil:
		case m.Domain == s.cfg.Self.Domain:
			conns = append(conns, l.conn)
		default:
			far = append(far, l.conn)
		}
	}
	conns = append(conns, far...)
	return conns, len(conns) == 0
}

// Ahead returns the connection to a member that knows more of the store than
// the revision; nil if none does.
func (s *Service) Ahead(after uint64) *peer.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.core.Ahead(time.Now(), after)
	if l := s.conns[addr]; l != nil {
		return l.conn
	}
	return nil
}

// OthersStay tells whether another live member is not leaving.
func (s *Service) OthersStay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.OthersStay(time.Now())
}

// OthersSteady tells whether the store has answered another member all along.
func (s *Service) OthersSteady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.OthersSteady(time.Now())
}

// Size is the number of live members.
func (s *Service) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Size(time.Now())
}
