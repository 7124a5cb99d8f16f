package member

import (
	"time"

	"github.com/mangostage/mangostage/internal/pause"
)

// reconnectWait is how long a process that woke waits for its peers before it
// counts as ready without any.
const reconnectWait = 3 * time.Second

// pauseLoop notices that the process was stopped for a while, as by a signal
// or a migration of its VM. The guard drops all connections, with what they hold
// unread, and makes the process unready until it has read the list again.
func (s *Service) pauseLoop() {
	ticker := time.NewTicker(pause.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		s.pauses.Tick()
	}
}

// Stalled tells whether the process was paused just now and has not yet dealt
// with it. It is asked before each irreversible step.
func (s *Service) Stalled() bool { return s.pauses.Stalled() }

func (s *Service) onWake(gap time.Duration) {
	s.stats.Wakes.Add(1)
	woke := s.cfg.Now()
	s.wokeAt.Store(&woke)
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

// reconnected tells whether the process has dealt with its last pause as far
// as its peers allow.
func (s *Service) reconnected() bool {
	woke := s.wokeAt.Load()
	return woke == nil || s.links.count() > 0 || len(s.targets()) == 0 || s.cfg.Now().Sub(*woke) > reconnectWait
}
