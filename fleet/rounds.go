package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangostage/mangostage/peer"
)

// sendHeartbeats runs one round: it updates the owner, dials the targets that are not
// connected, sends the heartbeats that are due and closes connections that are no longer
// needed.
func (s *Service) sendHeartbeats(round int) {
	now := time.Now()
	store := s.cfg.Store()
	steady := s.cfg.StoreSteady != nil && s.cfg.StoreSteady()
	s.mu.Lock()
	s.core.SetStoreSteady(steady)
	s.refreshOwnerLocked(now)
	for conn := range s.lost {
		s.checkLostLocked(now, conn)
	}
	if s.ownsQueue && s.cfg.OnReach != nil {
		go s.cfg.OnReach(s.reachLocked(now))
	}
	heartbeat := s.core.Heartbeat(now, store, round)
	messages := s.addressHeartbeatsLocked(heartbeat, s.recipientsLocked(now, round))
	unwanted := s.detachUnwantedLocked()
	s.mu.Unlock()
	for _, m := range messages {
		// Each in its own goroutine: a frozen peer whose socket buffer is full must not
		// delay the heartbeats to others. A connection on which this fails is closed,
		// and OnClose is called.
		go func() { _ = m.conn.Notify(MethodHeartbeat, m.heartbeat) }()
	}
	for _, conn := range unwanted {
		conn.Close()
	}
}

// reachLocked returns what this process reaches as the owner, and logs when the
// unreached failure domains have changed.
func (s *Service) reachLocked(now time.Time) Reach {
	r := s.core.Reach(now)
	if !slices.Equal(r.Unreached, s.unreached) {
		s.unreached = r.Unreached
		s.cfg.Log.Warn().Str("event", logReachChanged).Strs("unreached", r.Unreached).Float64("share", r.Share).
			Msg("the failure domains that the queue's owner cannot reach have changed")
	}
	return r
}

// outgoingHeartbeat is a heartbeat and the connection to send it on.
type outgoingHeartbeat struct {
	conn      *peer.Conn
	heartbeat Heartbeat
}

// addressHeartbeatsLocked returns the heartbeat for each connection, with the receiver's
// acknowledgement.
func (s *Service) addressHeartbeatsLocked(heartbeat Heartbeat, to []*peer.Conn) []outgoingHeartbeat {
	messages := make([]outgoingHeartbeat, len(to))
	for i, conn := range to {
		messages[i] = outgoingHeartbeat{conn: conn, heartbeat: s.core.WithAck(conn.Peer().Process.Name, heartbeat)}
	}
	return messages
}

// recipientsLocked returns the connections on which to send the heartbeat of this round,
// and dials the targets that are not connected. In round 0 all connected targets receive
// it.
func (s *Service) recipientsLocked(now time.Time, round int) []*peer.Conn {
	var due []*peer.Conn
	for _, addr := range s.core.Addrs(now) {
		l := s.linkLocked(addr)
		if l.dialed == nil {
			s.dialLocked(addr, l, now)
			continue
		}
		if round == 0 || s.core.HeartbeatDue(now, addr, round) {
			due = append(due, l.dialed)
		}
	}
	for addr, l := range s.links {
		// The other side has dialled this process, which does not dial it.
		if l.accepted != nil && !s.core.IsDialTarget(addr) && s.core.HeartbeatDue(now, addr, round) {
			due = append(due, l.accepted)
		}
	}
	return due
}

// handleHeartbeat processes a heartbeat, dials its sender if that is a target that is not
// connected, and answers at once where a round's delay would matter.
func (s *Service) handleHeartbeat(conn *peer.Conn, h Heartbeat) {
	now := time.Now()
	store := s.cfg.Store()
	s.mu.Lock()
	claimChanged := s.core.HandleHeartbeat(now, h)
	if s.core.Confirmed() {
		s.decideOwnerLocked()
	}
	s.refreshOwnerLocked(now)
	l := s.linkLocked(h.From.Addr)
	first := l.accepted != conn && !conn.Dialed()
	if first {
		l.accepted = conn
	}
	target := s.core.IsDialTarget(h.From.Addr)
	if l.dialed == nil && target {
		// The member has just started or returned: dial without waiting for the next
		// round.
		s.dialLocked(h.From.Addr, l, now)
	}
	acceptedOnly := first && l.dialed == nil && !target
	// A changed claim is sent at once: the other side, and requests there, may wait for
	// its claim to be confirmed. So is the answer to a member that this process does not
	// dial.
	var answer *Heartbeat
	if claimChanged || acceptedOnly {
		introduction := s.core.Introduction(now, store, h.From.Name)
		answer = &introduction
	}
	s.mu.Unlock()
	if answer != nil {
		_ = conn.Notify(MethodHeartbeat, *answer)
	}
	if acceptedOnly {
		s.greet(conn)
	}
}

// Broadcast sends a notification to all connected members, each in its own goroutine, so that
// a peer that does not read cannot delay the others.
func (s *Service) Broadcast(method string, params any) {
	s.mu.Lock()
	var conns []*peer.Conn
	for _, l := range s.links {
		if conn := cmp.Or(l.dialed, l.accepted); conn != nil {
			conns = append(conns, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range conns {
		// A connection on which this fails is closed, and OnClose is called.
		go func() { _ = conn.Notify(method, params) }()
	}
}
