// Package pause detects that this process was paused, for example by a signal or
// because its VM was suspended, so that the process can handle the pause before
// it acts on outdated state.
package pause

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// TickEvery is the interval at which Tick must be called.
	TickEvery = 100 * time.Millisecond
	// Limit is the longest time between two ticks that does not count as a pause.
	// It is ten intervals because ticks are late on a busy VM.
	Limit = time.Second
)

// Watch detects pauses as gaps between the ticks of a running process.
//
// After a pause, all state of a process may be out of date, messages that waited
// in socket buffers look new, and its connections may be dead. The process may
// use any of these before its first tick after the pause. Therefore each such use
// first calls Stalled or Check, and the time of a tick is stored only after the
// pause that it found has been handled: until then the process counts as stalled.
type Watch struct {
	now     func() time.Time
	onPause func(gap time.Duration)
	// mu is held while a pause is handled.
	mu sync.Mutex
	// lastTick is the time of the last completed tick; nil before the first.
	lastTick atomic.Pointer[time.Time]
}

// NewWatch returns a Watch that detects pauses after its first tick. onPause is
// called once for each pause with the time since the last tick; it must neither
// block for as long as Limit nor call the Watch.
func NewWatch(now func() time.Time, onPause func(gap time.Duration)) *Watch {
	return &Watch{now: now, onPause: onPause}
}

// Tick handles the pause, if any, since the last tick.
func (w *Watch) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The time of a tick is that of its beginning, so that a second pause, during
	// the handling of the first, is detected at the next tick.
	now := w.now()
	if gap := w.gap(now); gap > Limit {
		w.onPause(gap)
	}
	w.lastTick.Store(&now)
}

// Stalled reports whether the process was paused and has not yet handled the
// pause. It takes no lock and costs only an atomic load and a clock reading.
func (w *Watch) Stalled() bool { return w.gap(w.now()) > Limit }

// Check handles a pause that has not been handled yet, or waits for a Tick that
// is handling it. Without one it returns immediately.
func (w *Watch) Check() {
	if w.Stalled() {
		w.Tick()
	}
}

// gap returns the time since the last tick; 0 before the first. It also compares
// wall clock times, because the monotonic clock stops while the VM is suspended.
// A step of the wall clock looks like a pause and costs no more than one.
func (w *Watch) gap(now time.Time) time.Duration {
	last := w.lastTick.Load()
	if last == nil {
		return 0
	}
	return max(now.Sub(*last), now.Round(0).Sub(last.Round(0)))
}
