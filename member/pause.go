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
		now := s.cfg.Now()
		if gap := s.tick(now); gap > maxGap {
			s.onWake(gap)
		}
	}
}

// tick notes the time and returns the gap since the last tick. The wall clock
// counts too: the monotonic clock stands still while a whole VM is suspended.
// A step of the wall clock looks like a pause and costs only a reconnection.
func (s *Service) tick(now time.Time) time.Duration {
	last := s.lastTick.Swap(&now)
	if last == nil {
		return 0
	}
	return gapBetween(*last, now)
}

func gapBetween(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// Stalled tells whether the process was paused just now and has not yet dealt
// with it. It may be asked before each irreversible step.
func (s *Service) Stalled() bool {
	last := s.lastTick.Load()
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
	s.node.DropAll()
	s.markDirty()
	signal(s.listWake)
}

// reconnected tells whether the process has dealt with its last pause as far
// as its peers allow.
func (s *Service) reconnected() bool {
	woke := s.wokeAt.Load()
	return woke == nil || s.links.count() > 0 || len(s.targets()) == 0 || s.cfg.Now().Sub(*woke) > reconnectWait
}
