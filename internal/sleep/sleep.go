// Package sleep provides a sleep that ends early when its context does.
package sleep

import (
	"context"
	"time"
)

// For returns after d, or when ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
