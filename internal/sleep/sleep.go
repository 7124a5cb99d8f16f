// Package sleep provides a sleep and a loop that end early when their context does.
package sleep

import (
	"context"
	"time"
)

// For returns after d, or when ctx ends; then it returns false.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until is For with a time instead of a duration.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }

// Every calls fn once per interval until ctx ends, first after one interval.
func Every(ctx context.Context, interval time.Duration, fn func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fn(now)
		}
	}
}
