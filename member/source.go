package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/internal/sleep"
)

const (
	// watchTimeout is how long the configuration service holds one watch open if
	// the value does not change.
	watchTimeout = 30 * time.Second
	// minWatchInterval is the least time between two calls. Without it, a service
	// that replies to each watch at once, as a stale replica may, would be called
	// in a tight loop.
	minWatchInterval = 500 * time.Millisecond
	// unusableRetryDelay is the delay before an unusable value is read again.
	unusableRetryDelay = time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 15 * time.Second
)

// bundleSource reads and watches the bundle in the configuration service and
// offers each new value.
type bundleSource struct {
	s *Service
	// revision is the revision of the last usable value; a watch waits for a
	// higher one.
	revision uint64
	// lastOffered is the hash of the last value offered, which is not offered again.
	lastOffered uint64
	// unusable means that the last value offered was malformed or lacked a valid
	// signature of an operator.
	unusable bool
	// retryBackoff gives the delays after failed calls.
	retryBackoff *backoff.ExponentialBackOff
}

// platformLoop reads the bundle once and then watches it, if the gossip core has
// selected this process as a watcher, or else polls it.
func (s *Service) platformLoop() {
	src := &bundleSource{s: s, retryBackoff: backoff.NewExponentialBackOff()}
	src.retryBackoff.InitialInterval = minRetryDelay
	src.retryBackoff.MaxInterval = maxRetryDelay
	if !sleep.For(s.ctx, startupDelay(s.cfg.FleetSize)) {
		return
	}
	minDelay := src.read()
	s.platformTried.Store(true)
	signal(s.collectWake)
	lastCall, draw := time.Now(), rand.Float64()
	for {
		s.gossipMu.Lock()
		watcher, pollDelay := s.gossip.watcher, s.gossip.pollInterval(draw)
		s.gossipMu.Unlock()
		wait := minDelay
		if !watcher {
			wait = max(minDelay, pollDelay)
		}
		// A wake-up only recomputes the delay and does not call at once, or many
		// processes that lose their peers together would all read together.
		if remaining := wait - time.Since(lastCall); remaining > 0 {
			if !s.sleepOrWake(remaining, s.bundleWake) {
				return
			}
			continue
		}
		minDelay = src.call(watcher)
		lastCall, draw = time.Now(), rand.Float64()
	}
}

// call makes one call and returns the least time to the next.
func (src *bundleSource) call(watch bool) time.Duration {
	if watch {
		return src.watch()
	}
	return src.read()
}

// read makes one read and returns the least time to the next call.
func (src *bundleSource) read() time.Duration {
	ctx, cancel := context.WithTimeout(src.s.ctx, platformTimeout)
	defer cancel()
	src.s.stats.ReadCalls.Add(1)
	value, err := src.s.cfg.Platform.Read(ctx, confsvc.ValueBundle)
	return src.handleResult(value, err)
}

// watch makes one watch and returns the least time to the next call.
func (src *bundleSource) watch() time.Duration {
	ctx, cancel := context.WithTimeout(src.s.ctx, watchTimeout+platformTimeout)
	defer cancel()
	src.s.stats.WatchCalls.Add(1)
	value, err := src.s.cfg.Platform.Watch(ctx, confsvc.ValueBundle, src.revision, watchTimeout)
	return src.handleResult(value, err)
}

// handleResult processes the result of a call and returns the least time to the
// next call.
func (src *bundleSource) handleResult(value confsvc.Value, err error) time.Duration {
	if err != nil {
		if !src.s.canceledByStop(err) {
			src.s.stats.PlatformFailures.Add(1)
			src.s.cfg.Log.Debug().Str("event", logConfigNotRead).Err(err).Msg("cannot read the bundle from the configuration service")
		}
		return src.retryBackoff.NextBackOff()
	}
	src.retryBackoff.Reset()
	src.s.stats.PlatformBytes.Add(int64(len(value.Data)))
	if hash := xxhash.Sum64(value.Data); len(value.Data) > 0 && hash != src.lastOffered {
		src.lastOffered = hash
		src.unusable = possiblyPartial[src.s.offer(value.Data, "platform").Result]
	}
	// A value that was read while being written may soon be complete under the
	// same revision. A watch after that revision would only return at its
	// timeout, and the version would be in force half a minute late. So the
	// revision is not recorded as seen, and the value is read again soon.
	if src.unusable {
		return unusableRetryDelay
	}
	// The revision is recorded even if it is lower than before: a service that
	// was restored counts its revisions anew, and a watch after a higher revision
	// would never return before its timeout.
	src.revision = value.Revision
	return minWatchInterval
}

// possiblyPartial has the results of offers whose value may be an incompletely
// written bundle.
var possiblyPartial = map[bundle.AdoptionResult]bool{
	bundle.ResultMalformed:    true,
	bundle.ResultBadSignature: true,
}
