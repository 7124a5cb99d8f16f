package discovery

import (
	"context"
	"time"
)

// decode decodes configurations, always the newest one, until ctx ends. A large one takes
// hundreds of milliseconds on a weak VM. Meanwhile this process must go on reading the
// store, to learn of endpoints that leave, and as a reader answer its followers, which
// would otherwise consider it lost and all turn to the store at once.
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

// decodePending decodes configurations until none is left.
func (f *Follower) decodePending() {
	for {
		f.mu.Lock()
		item, ok := f.state.UndecodedConfig()
		f.mu.Unlock()
		if !ok {
			return
		}
		config := prepareConfig(item)
		f.update(func(now time.Time, s *State) { s.adoptConfig(now, item, config) })
	}
}

// signalDecoder makes decode look for a configuration.
func (f *Follower) signalDecoder() {
	select {
	case f.decodeSignal <- struct{}{}:
	default:
	}
}

// awaitDecoded returns once no configuration is left to be decoded, or when ctx ends.
func (f *Follower) awaitDecoded(ctx context.Context) {
	ticker := time.NewTicker(decodePollInterval)
	defer ticker.Stop()
	for {
		f.mu.Lock()
		_, undecoded := f.state.UndecodedConfig()
		f.mu.Unlock()
		if !undecoded {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// decodePollInterval is how often awaitDecoded checks the state.
const decodePollInterval = 5 * time.Millisecond
