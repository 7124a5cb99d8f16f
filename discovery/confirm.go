package discovery

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/internal/sleep"
)

const (
	// confirmInterval is the interval of the calls by which the view is confirmed, however
	// many wait for it; confirmRetryInterval is that after a call that failed.
	confirmInterval      = 50 * time.Millisecond
	confirmRetryInterval = 300 * time.Millisecond
	// confirmTimeout bounds such a call.
	confirmTimeout = 500 * time.Millisecond
	// silentFrom is the number of calls in a row from which the store is silent: one answer may
	// get lost.
	silentFrom = 2
	// silentTime is how long StoreSilent leaves it to one caller to confirm the view.
	silentTime = confirmRetryInterval + confirmTimeout
)

// Confirm makes sure that this process has all changes as of t, and reports whether it has by
// the end of ctx. It asks the store for them: the next answer to a watch may be a second
// away, and a process that is cut off waits for it in vain and does not know.
func (f *Follower) Confirm(ctx context.Context, t time.Time) bool {
	f.pauses.Check()
	if !sleep.Until(ctx, t) {
		return false
	}
	for f.AsOf().Before(t) {
		if !f.confirmOnce(ctx, t) {
			return !f.AsOf().Before(t)
		}
	}
	return true
}

// confirmOnce waits for its turn and asks the store, unless the view has been confirmed
// meanwhile. It returns false if ctx ends.
func (f *Follower) confirmOnce(ctx context.Context, t time.Time) bool {
	select {
	case f.confirming <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-f.confirming }()
	if !f.AsOf().Before(t) {
		return true
	}
	if !sleep.Until(ctx, f.nextConfirm) {
		return false
	}
	asked := time.Now()
	f.nextConfirm = asked.Add(confirmInterval)
	answered := !f.At().IsZero() && f.confirm(ctx)
	if !answered && (ctx.Err() == nil || time.Since(asked) >= confirmRetryInterval) {
		f.noteUnconfirmed()
	}
	if ctx.Err() != nil {
		return false
	}
	if !answered {
		f.nextConfirm = time.Now().Add(confirmRetryInterval)
	}
	return true
}

// noteUnconfirmed notes that a call by which the view was to be confirmed has failed.
func (f *Follower) noteUnconfirmed() {
	if f.unconfirmed.Add(1) >= silentFrom {
		f.silentUntil.Store(time.Now().Add(confirmRetryInterval).UnixNano())
	}
}

// StoreSilent reports whether the latest calls by which the view was to be confirmed have failed.
// Once in a while it reports false to one caller, which is to confirm the view.
func (f *Follower) StoreSilent() bool {
	now := time.Now()
	until := f.silentUntil.Load()
	switch {
	case until == 0:
		return false
	case now.UnixNano() < until:
		return true
	}
	return !f.silentUntil.CompareAndSwap(until, now.Add(silentTime).UnixNano())
}

// confirm reads from the store what has changed. It reports whether the store answered.
func (f *Follower) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return f.watch(ctx, 0) == nil
}
