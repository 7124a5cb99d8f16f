package discovery

import (
	"context"
	"time"
)

// decode decodes configurations, the newest one each time, until ctx ends. A large
// one takes hundreds of milliseconds on a weak VM. Meanwhile this process goes on
// to read the store, so that it hears of endpoints that leave, and, as a reader,
// passes on what it reads: its followers would take it for lost and turn to the
// store, all at once.
func (f *Follower) decode(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.decodeSignal:
			f.decodePending()
		}
	}
}

// decodePending decodes until no configuration is left to be decoded.
func (f *Follower) decodePending() {
	for {
		f.mu.Lock()
		item, ok := f.state.Awaited()
		f.mu.Unlock()
		if !ok {
			return
		}
		config := prepareConfig(item)
		f.update(func(_ time.Time, s *State) { s.adoptConfig(item, config) })
	}
}

// signalDecoder has configurations decoded.
func (f *Follower) signalDecoder() {
	select {
	case f.decodeSignal <- struct{}{}:
	default:
	}
}

// awaitDecoded returns once no configuration is left to be decoded, or ctx ends.
func (f *Follower) awaitDecoded(ctx context.Context) {
	ticker := time.NewTicker(decodePollInterval)
	defer ticker.Stop()
	for {
		f.mu.Lock()
		_, awaited := f.state.Awaited()
		f.mu.Unlock()
		if !awaited {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// decodePollInterval is how often awaitDecoded looks.
const decodePollInterval = 5 * time.Millisecond
