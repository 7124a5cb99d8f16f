package entry

import (
	"sync"
	"time"
)

// hiccup is the time between two ticks from which on this process has taken a
// visible share in how long its calls seemed to take.
const hiccup = 3 * tickInterval

// pauseWatch knows when this process was last stopped.
//
// It guards against estimates that hold this process's own pause: after a stop
// of a second all calls that were out seem to have taken a second, and requests
// with less time than that would be refused as hopeless until the samples are
// forgotten, many seconds later, while the endpoints are idle.
type pauseWatch struct {
	mu       sync.Mutex
	lastTick time.Time
	woke     time.Time
}

// tick notes that the process runs.
func (p *pauseWatch) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.check(now)
	p.lastTick = now
}

func (p *pauseWatch) check(now time.Time) {
	if !p.lastTick.IsZero() && now.Sub(p.lastTick) > hiccup {
		p.woke = now
	}
}

// spanned tells whether the process was stopped after start.
func (p *pauseWatch) spanned(start, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.check(now)
	return start.Before(p.woke)
}
