package member

import (
	"time"

	"github.com/mangostage/mangostage/internal/pause"
	"github.com/mangostage/mangostage/internal/sleep"
)

// reconnectWait is how long a process that resumed from a pause waits for a peer
// connection before it may be ready without one.
const reconnectWait = 3 * time.Second

// pauseLoop detects that the process was paused for a while, for example by a
// signal or a migration of its VM. Each pause triggers onResume, which drops all
// connections together with their unread data, and makes the process not ready
// until it has read the list of VMs again.
func (s *Service) pauseLoop() {
	sleep.Every(s.ctx, pause.TickEvery, func(time.Time) { s.pauses.Tick() })
}

// Stalled reports whether the process was paused and has not yet recovered from
// the pause. It must be checked before each irreversible step.
func (s *Service) Stalled() bool { return s.pauses.Stalled() }

// onResume runs when the process has resumed from a pause of length gap.
func (s *Service) onResume(gap time.Duration) {
	s.stats.Wakes.Add(1)
	resumed := s.cfg.Now()
	s.resumedAt.Store(&resumed)
	s.coreMu.Lock()
	s.listTried.Store(false)
	s.epoch++
	s.views.resetFreshness()
	s.coreMu.Unlock()
	s.cfg.Log.Warn().Str("event", logPaused).Dur("gap", gap).Msg("process was paused; reconnecting")
	s.DropConnections()
	s.markDirty()
	signal(s.listWake)
}

// reconnected reports whether the process has a peer connection again after its
// last pause, or need not wait for one any longer.
func (s *Service) reconnected() bool {
	resumed := s.resumedAt.Load()
	return resumed == nil || s.links.count() > 0 || len(s.targets()) == 0 || s.cfg.Now().Sub(*resumed) > reconnectWait
}
