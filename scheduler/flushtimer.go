package scheduler

import "time"

// flushTimer calls a function once, at the earliest of the times asked for. It is not safe for
// concurrent use; the function runs in a goroutine of its own.
type flushTimer struct {
	// timer is nil while no call is due.
	timer *time.Timer
	due   time.Time
}

// within has flush called after delay, or earlier if that was asked for before.
func (f *flushTimer) within(delay time.Duration, flush func()) {
	due := time.Now().Add(delay)
	switch {
	case f.timer == nil:
		f.due = due
		f.timer = time.AfterFunc(delay, flush)
	case due.Before(f.due):
		f.due = due
		f.timer.Reset(delay)
	}
}

// flushed notes that the function was called.
func (f *flushTimer) flushed() { f.timer = nil }
