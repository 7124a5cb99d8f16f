package member

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

func (s *Service) onConnect(conn *peer.Conn) {
	hello := conn.Peer()
	if hello.Process == s.cfg.Self {
		conn.Close()
		return
	}
	a := s.links.admit(s.cfg.Now(), conn, &hello)
	if a.Stale {
		s.cfg.Log.Warn().Str("event", logProcessRefused).Str("vm", helloVM(&hello)).
			Str("incarnation", hello.Process.Incarnation).Str("reason", a.Reason).Msg("process refused")
		conn.Close()
		return
	}
	if a.Retire != nil {
		s.retire(a.Retire, a.Reason)
	}
	if a.Link == nil {
		return
	}
	s.linkUp(a.Link, &hello)
	s.spawn(func() { s.sendHeads(a.Link) })
	if s.cfg.OnReport != nil && hello.Process.Role == wire.RoleAgent {
		s.cfg.OnReport(hello.Report)
	}
	// A connection that ended meanwhile was not yet known when its end was reported.
	select {
	case <-conn.Done():
		s.onClose(conn)
	default:
	}
}

// refusedLog bounds the lines about strangers: anyone can make any number.
var refusedLogSampler = &zerolog.BurstSampler{Burst: 5, Period: time.Second}

func (s *Service) onHandshakeFailed(from net.Addr, err error) {
	log := s.cfg.Log.Sample(refusedLogSampler)
	log.Warn().Str("event", logPeerRefused).Stringer("address", from).Err(err).Msg("peer without a valid certificate refused")
}

// lingerTime is how long a connection that another took the place of stays
// open. Calls may be in flight on it; cutting them would lose their results.
const retireTimeout = 30 * time.Second

// retire ends a connection that is not to be used any more, and tells the
// other side at once, which may have chosen it.
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

func (s *Service) onRetire(from *peer.Conn, _ wire.Retire) { s.onClose(from) }

// onClose takes in that a connection ended or is no longer to be used.
func (s *Service) onClose(conn *peer.Conn) {
	gone := s.links.remove(conn)
	if gone == nil {
		return
	}
	s.linkDown(gone)
	signal(s.bundleWake)
}

// linked and unlinked tell the cores of a link that began or ended.
//
// Two connections of one pair come and go at once when both sides dial, and
// each is dealt with in a goroutine of its own. If the end of the first were
// told after the beginning of the second, the VM would count as not connected
// for as long as the second lasts: its endpoint gets no work, and bundles pass
// it by. Therefore each looks, under the core's lock, whether its word still
// holds; the other one then has the last word.
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

func (s *Service) linkDown(gone *link) {
	s.coreMu.Lock()
	if s.links.get(gone.vm) == nil {
		s.views.disconnect(s.cfg.Now(), gone.vm, gone.process)
	}
	s.coreMu.Unlock()
	s.gossipMu.Lock()
	if s.links.get(gone.vm) == nil {
		s.gossip.peerDown(gone.vm)
	}
	s.gossipMu.Unlock()
	s.markDirty()
}
