package entry

import (
	"sync"
	"time"
)

// minPause is the time between two ticks above which a pause of this process
// visibly distorts the measured durations of its calls.
const minPause = 3 * tickInterval

// pauseDetector records when this process last resumed after a pause.
//
// It keeps pauses of this process out of the latency estimates. After a pause of
// a second all calls in flight seem to have taken a second, and requests with a
// shorter deadline would be refused as infeasible until those samples expire,
// many seconds later, although the endpoints are idle.
type pauseDetector struct {
	mu       sync.Mutex
	lastTick time.Time
	// resumedAt is when the end of the last pause was detected.
	resumedAt time.Time
}

// tick records that the process is running at now.
func (p *pauseDetector) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detect(now)
	p.lastTick = now
}

// detect records a pause if the last tick is more than minPause ago.
func (p *pauseDetector) detect(now time.Time) {
	if !p.lastTick.IsZero() && now.Sub(p.lastTick) > minPause {
		p.resumedAt = now
	}
}

// pausedSince reports whether the process was paused between start and now.
func (p *pauseDetector) pausedSince(start, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detect(now)
	return start.Before(p.resumedAt)
}
