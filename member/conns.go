package member

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// onConnect decides whether a new authenticated connection is used, and closes or
// retires the one that is not.
func (s *Service) onConnect(conn *peer.Conn) {
	hello := conn.Peer()
	if hello.Process == s.cfg.Self {
		conn.Close()
		return
	}
	admitted := s.links.admit(s.cfg.Now(), conn, &hello)
	if admitted.Stale {
		s.cfg.Log.Warn().Str("event", logProcessRefused).Str("vm", helloVM(&hello)).
			Str("incarnation", hello.Process.Incarnation).Str("reason", admitted.Reason).Msg("connection of a superseded process refused")
		conn.Close()
		return
	}
	if admitted.Retire != nil {
		s.retire(admitted.Retire, admitted.Reason)
	}
	if admitted.Link == nil {
		return
	}
	s.linkUp(admitted.Link, &hello)
	s.spawn(func() { s.sendHeads(admitted.Link) })
	if s.cfg.OnReport != nil && hello.Process.Role == wire.RoleAgent {
		s.cfg.OnReport(hello.Report)
	}
	// If the connection ended before it was registered, onClose did not find it.
	select {
	case <-conn.Done():
		s.onClose(conn)
	default:
	}
}

// refusedLogSampler limits the log lines about failed TLS handshakes to bursts of
// 5 a second, because any client can cause any number of them.
var refusedLogSampler = &zerolog.BurstSampler{Burst: 5, Period: time.Second}

// onHandshakeFailed logs an incoming connection whose TLS handshake failed.
func (s *Service) onHandshakeFailed(from net.Addr, err error) {
	log := s.cfg.Log.Sample(refusedLogSampler)
	log.Warn().Str("event", logPeerRefused).Stringer("address", from).Err(err).Msg("incoming peer connection refused: TLS handshake failed")
}

// retireTimeout is how long a retired connection stays open. Calls may be in
// flight on it, whose results an immediate close would lose.
const retireTimeout = 30 * time.Second

// retire notifies the peer that the connection is no longer used, since the peer
// may have kept it as the one in use, and closes it after retireTimeout.
func (s *Service) retire(conn *peer.Conn, reason string) {
	hello := conn.Peer()
	s.cfg.Log.Debug().Str("event", logRetired).Str("vm", helloVM(&hello)).Str("reason", reason).Msg("connection retired")
	s.spawn(func() {
		_ = conn.Notify(wire.MethodRetireNote, wire.Retire{})
		timer := time.NewTimer(retireTimeout)
		defer timer.Stop()
		select {
		case <-conn.Done():
		case <-s.ctx.Done():
		case <-timer.C:
		}
		conn.Close()
	})
}

// onRetire handles a peer's notification that it no longer uses the connection.
func (s *Service) onRetire(from *peer.Conn, _ wire.Retire) { s.onClose(from) }

// onClose removes the link of a connection that ended or that the peer retired.
func (s *Service) onClose(conn *peer.Conn) {
	l := s.links.remove(conn)
	if l == nil {
		return
	}
	s.linkDown(l)
	signal(s.bundleWake)
}

// linkUp and linkDown notify the view core and the gossip core that a link has
// been established or has ended.
//
// When both processes of a pair dial, two connections between them open and close
// at about the same time, each handled in its own goroutine. If the end of the
// first were applied after the start of the second, the VM would count as not
// connected for as long as the second lasts: its endpoint would get no work, and
// it would get no bundles. Therefore each function checks, under the core's lock,
// that its event still matches s.links, and otherwise leaves the update to the
// goroutine of the other connection.
func (s *Service) linkUp(l *link, hello *wire.Hello) {
	now := s.cfg.Now()
	s.coreMu.Lock()
	if s.links.get(l.vm) == l {
		s.views.connect(now, l.vm, hello)
	}
	s.coreMu.Unlock()
	s.markDirty()
	s.updateGossip(func(c *gossipCore) gossipEffects {
		if s.links.get(l.vm) != l {
			return gossipEffects{}
		}
		return c.peerUp(now, l.vm, hello, l.conn.Dialed())
	})
}

func (s *Service) linkDown(l *link) {
	s.coreMu.Lock()
	if s.links.get(l.vm) == nil {
		s.views.disconnect(s.cfg.Now(), l.vm, l.process)
	}
	s.coreMu.Unlock()
	s.gossipMu.Lock()
	if s.links.get(l.vm) == nil {
		s.gossip.peerDown(l.vm)
	}
	s.gossipMu.Unlock()
	s.markDirty()
}
