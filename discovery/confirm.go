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
	f.nextConfirm = time.Now().Add(confirmInterval)
	answered := !f.At().IsZero() && f.confirm(ctx)
	if ctx.Err() != nil {
		return false
	}
	if !answered {
		f.nextConfirm = time.Now().Add(confirmRetryInterval)
	}
	return true
}

// confirm reads from the store what has changed. It reports whether the store answered.
func (f *Follower) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return f.watch(ctx, 0) == nil
}
