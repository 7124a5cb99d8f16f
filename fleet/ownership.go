package fleet

import (
	"time"

	"github.com/mangostage/mangostage/peer"
)

// Ownership is the queue's owner as this process sees it. Self means that this process is
// the owner; Term is the term of its claim.
type Ownership struct {
	Owner string `json:"owner"`
	Self  bool   `json:"self"`
	Term  uint64 `json:"term"`
}

// Ownership returns the current owner.
func (s *Service) Ownership() Ownership {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, self := s.refreshOwnerLocked(time.Now())
	return Ownership{Owner: owner.Name, Self: self, Term: s.core.Claim().Term}
}

// Allowance returns which share of what the fleet may use this process may use, 0
// unless it owns the queue, and since when it has owned it.
func (s *Service) Allowance() (share float64, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if _, self := s.refreshOwnerLocked(now); !self {
		return 0, time.Time{}
	}
	return s.core.Share(now), s.core.ClaimedAt()
}

// Owns reports whether this process owns the queue.
func (s *Service) Owns() bool { return s.Ownership().Self }

// OwnerConn returns the connection to the queue's owner, or nil if this process is the
// owner or is not connected to it.
func (s *Service) OwnerConn() *peer.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, self := s.refreshOwnerLocked(time.Now())
	if l := s.links[owner.Addr]; l != nil && !self {
		return l.dialed
	}
	return nil
}
