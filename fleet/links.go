package fleet

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/peer"
)

// link holds the connections to and from one address.
type link struct {
	// dialed is the connection that this process dialled, accepted the one, dialled by
	// the other side, over which its latest heartbeat came; either may be nil.
	dialed   *peer.Conn
	accepted *peer.Conn
	// lastDial is when the latest dial began.
	lastDial time.Time
	// dialing means that a dial is in progress.
	dialing bool
}

// detachUnwantedLocked removes and returns the dialled connections that are no longer
// needed, because the fleet has outgrown the full mesh or the hubs have changed.
// Connections with jobs stay. It forgets addresses without connections.
func (s *Service) detachUnwantedLocked() []*peer.Conn {
	var unwanted []*peer.Conn
	for addr, l := range s.links {
		if l.dialed == nil && l.accepted == nil && !l.dialing && !s.core.IsDialTarget(addr) {
			delete(s.links, addr)
			continue
		}
		if l.dialed != nil && !s.core.IsDialTarget(addr) && s.lost[l.dialed] == nil {
			unwanted = append(unwanted, l.dialed)
			l.dialed = nil
		}
	}
	return unwanted
}

// linkLocked returns the link for an address, and creates it if there is none.
func (s *Service) linkLocked(addr string) *link {
	l := s.links[addr]
	if l == nil {
		l = &link{}
		s.links[addr] = l
	}
	return l
}

// dialLocked starts a dial of the address unless one is in progress or the last one began
// less than redialInterval ago.
func (s *Service) dialLocked(addr string, l *link, now time.Time) {
	if l.dialing || now.Sub(l.lastDial) < redialInterval {
		return
	}
	l.dialing = true
	l.lastDial = now
	go s.dial(addr)
}

// dial connects to the address and sends the first heartbeat. A failed dial is repeated
// in a later round.
func (s *Service) dial(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := s.node.Dial(ctx, addr)
	now := time.Now()
	store := s.cfg.Store()
	s.mu.Lock()
	l := s.linkLocked(addr)
	l.dialing = false
	if err != nil {
		s.mu.Unlock()
		return
	}
	l.dialed = conn
	introduction := s.core.Introduction(now, store, conn.Peer().Process.Name)
	s.mu.Unlock()
	s.cfg.Log.Info().Str("event", logPeerConnected).Str("addr", addr).Str("peer", conn.Peer().Process.Name).Msg("connected to a peer")
	_ = conn.Notify(MethodHeartbeat, introduction)
	s.greet(conn)
}

// greet calls OnPeer.
func (s *Service) greet(conn *peer.Conn) {
	if s.cfg.OnPeer != nil {
		s.cfg.OnPeer(conn)
	}
}

// handleClose removes a closed connection. Its member counts as lost after closedTimeout
// unless it is heard again. Outside a full mesh members close connections that they no
// longer need, so there only the end of the last connection indicates a loss.
func (s *Service) handleClose(conn *peer.Conn) {
	p := conn.Peer().Process
	s.mu.Lock()
	connected := false
	for _, l := range s.links {
		if l.dialed != conn && l.accepted != conn {
			continue
		}
		if l.dialed == conn {
			l.dialed = nil
		}
		if l.accepted == conn {
			l.accepted = nil
		}
		connected = l.dialed != nil || l.accepted != nil
	}
	if !connected || s.core.Mesh() {
		s.core.Closed(time.Now(), p.Name, p.Incarnation)
	}
	s.refreshOwnerLocked(time.Now())
	s.mu.Unlock()
	s.cfg.Log.Info().Str("event", logPeerLost).Str("peer", p.Name).Msg("connection to a peer ended")
}

// Mesh reports whether each member is connected to all others.
func (s *Service) Mesh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Mesh()
}

// Lost returns a channel that is closed when the process at the other end of the
// connection counts as lost, because the connection has ended or Core.Silent reports it.
// An owner that a stronger or newer one has replaced is not lost and finishes its jobs.
func (s *Service) Lost(conn *peer.Conn) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.lost[conn]
	if lost == nil {
		lost = make(chan struct{})
		s.lost[conn] = lost
		s.checkLostLocked(time.Now(), conn)
	}
	return lost
}

// checkLostLocked closes the channel that Lost returned for the connection if the process
// at its other end counts as lost.
func (s *Service) checkLostLocked(now time.Time, conn *peer.Conn) {
	ended := false
	select {
	case <-conn.Done():
		ended = true
	default:
	}
	p := conn.Peer().Process
	if ended || s.core.Silent(now, p.Name, p.Incarnation) {
		close(s.lost[conn])
		delete(s.lost, conn)
	}
}
