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
	now := s.cfg.Now()
	a := s.links.admit(now, conn, &hello)
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
	s.coreMu.Lock()
	s.views.connect(now, a.Link.vm, &hello)
	s.coreMu.Unlock()
	s.spawn(func() { s.sendHeads(a.Link) })
	s.markDirty()
	s.spreadDo(func(c *spreadCore) spreadEffects { return c.peerUp(now, a.Link.vm, &hello, conn.Dialed()) })
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
var refusedLog = &zerolog.BurstSampler{Burst: 5, Period: time.Second}

func (s *Service) onRefuse(from net.Addr, err error) {
	log := s.cfg.Log.Sample(refusedLog)
	log.Warn().Str("event", logPeerRefused).Stringer("address", from).Err(err).Msg("peer without a valid certificate refused")
}

// lingerTime is how long a connection that another took the place of stays
// open. Calls may be in flight on it; cutting them would lose their results.
const lingerTime = 30 * time.Second

// retire ends a connection that is not to be used any more, and tells the
// other side at once, which may have chosen it.
func (s *Service) retire(conn *peer.Conn, reason string) {
	hello := conn.Peer()
	s.cfg.Log.Debug().Str("event", logRetired).Str("vm", helloVM(&hello)).Str("reason", reason).Msg("connection retired")
	s.spawn(func() {
		_ = conn.Notify(wire.MethodRetireNote, wire.Retire{})
		timer := time.NewTimer(lingerTime)
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
	s.coreMu.Lock()
	s.views.disconnect(s.cfg.Now(), gone.vm, gone.process)
	s.coreMu.Unlock()
	s.spreadMu.Lock()
	s.spread.peerDown(gone.vm)
	s.spreadMu.Unlock()
	signal(s.bundleWake)
	s.markDirty()
}
