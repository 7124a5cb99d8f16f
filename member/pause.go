package member

import "time"

const (
	// tickEvery is the cadence by which a pause of the process is noticed, and
	// maxGap the longest time between two ticks that is not a pause.
	tickEvery = 100 * time.Millisecond
	maxGap    = time.Second
	// reconnectWait is how long a process that woke waits for its peers before
	// it counts as ready without any.
	reconnectWait = 3 * time.Second
)

// pauseLoop notices that the process was stopped for a while, as by a signal
// or a migration of its VM. On waking everything it believes may be out of
// date, and messages that waited in socket buffers look new. It shows as a gap
// between two ticks. The guard drops all connections, with what they hold
// unread, and makes the process unready until it has read the list again.
func (s *Service) pauseLoop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		s.look()
	}
}

// look deals with a pause if there was one since the last look. The time of the
// look is noted only then, so that the process counts as stalled from the
// moment at which it wakes until nothing from before the pause is in use; it is
// the time at which the look began, so that a second pause meanwhile shows at
// the next.
func (s *Service) look() {
	now := s.cfg.Now()
	if last := s.lastLook.Load(); last != nil {
		if gap := gapBetween(*last, now); gap > maxGap {
			s.onWake(gap)
		}
	}
	s.lastLook.Store(&now)
}

// gapBetween is the time between two looks. The wall clock counts too: the
// monotonic clock stands still while a whole VM is suspended. A step of the
// wall clock looks like a pause and costs only a reconnection.
func gapBetween(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// Stalled tells whether the process was paused just now and has not yet dealt
// with it. It is asked before each irreversible step, so it takes no lock: it
// costs an atomic load and a look at the clock.
func (s *Service) Stalled() bool {
	last := s.lastLook.Load()
	return last != nil && gapBetween(*last, s.cfg.Now()) > maxGap
}

func (s *Service) onWake(gap time.Duration) {
	s.stats.Wakes.Add(1)
	woke := s.cfg.Now()
	s.wokeAt.Store(&woke)
	s.coreMu.Lock()
	s.listTried.Store(false)
	s.epoch++
	s.views.wake()
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
