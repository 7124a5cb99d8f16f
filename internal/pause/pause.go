// Package pause notices that this process stood still, as when it was stopped
// by a signal or its VM was suspended, so that it can deal with that before it
// acts on what it knew.
package pause

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// TickEvery is how often Tick is to be called.
	TickEvery = 100 * time.Millisecond
	// Limit is the longest time between two ticks that is not a pause: ten
	// ticks, since those of a busy VM come late.
	Limit = time.Second
)

// Watch notices pauses by gaps between the ticks of a process that runs.
//
// On waking everything that a process believes may be out of date, messages that
// waited in socket buffers look new, and its connections may be dead. The first
// tick may come after the first step that relies on them. Therefore each such
// step asks first, and the time of a tick is noted only when the pause that it
// found has been dealt with: from the moment of the wake until then the process
// counts as stalled.
type Watch struct {
	now  func() time.Time
	deal func(gap time.Duration)
	// mu is held while a pause is dealt with.
	mu   sync.Mutex
	last atomic.Pointer[time.Time]
}

// NewWatch returns a Watch that begins with its first tick. Deal is called once
// for each pause; it must neither block for as long as Limit nor call the Watch.
func NewWatch(now func() time.Time, deal func(gap time.Duration)) *Watch {
	return &Watch{now: now, deal: deal}
}

// Tick deals with a pause if there was one since the last tick.
func (w *Watch) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The tick counts from its beginning, so that a second pause, while the
	// first is dealt with, shows at the next.
	now := w.now()
	if gap := w.gap(now); gap > Limit {
		w.deal(gap)
	}
	w.last.Store(&now)
}

// Stalled tells whether the process was paused and has not dealt with it yet. It
// takes no lock: an atomic load and a look at the clock.
func (w *Watch) Stalled() bool { return w.gap(w.now()) > Limit }

// Check returns once no pause is left to be dealt with; unless there was one
// that is at once.
func (w *Watch) Check() {
	if w.Stalled() {
		w.Tick()
	}
}

// gap is the time since the last tick. The wall clock counts too: the monotonic
// clock stands still while a whole VM is suspended. A step of the wall clock
// looks like a pause and costs no more than one.
func (w *Watch) gap(now time.Time) time.Duration {
	last := w.last.Load()
	if last == nil {
		return 0
	}
	return max(now.Sub(*last), now.Round(0).Sub(last.Round(0)))
}
