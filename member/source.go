package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
)

const (
	// watchWait is how long one watch of the configuration service waits.
	watchTimeout = 30 * time.Second
	// watchGap is the least time between two watches, so that a service that
	// answers at once, as a stale replica may, is not called without end.
	minWatchInterval = 500 * time.Millisecond
	// brokenRetry is the wait before a value that cannot be used is read again.
	unusableRetryDelay = time.Second
	// firstRewatch and slowestRewatch bound the wait after a failed call.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 15 * time.Second
)

// source follows the bundle's value in the configuration service.
type bundleSource struct {
	s        *Service
	revision uint64
	// offered is the hash of the value offered last; the same is not offered twice.
	lastOffered uint64
	// broken: the value offered last was no bundle that an operator signed.
	unusable     bool
	retryBackoff *backoff.ExponentialBackOff
}

// platformLoop reads the bundle once, then watches or polls it, whichever the
// spread core says this process is to do.
func (s *Service) platformLoop() {
	src := &bundleSource{s: s, retryBackoff: backoff.NewExponentialBackOff()}
	src.retryBackoff.InitialInterval = minRetryDelay
	src.retryBackoff.MaxInterval = maxRetryDelay
	if !s.sleep(startupDelay(s.cfg.FleetSize)) {
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
		// A wake only looks at the schedule anew; many processes that lose
		// their peers at once must not all read at once.
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

func (src *bundleSource) handleResult(value confsvc.Value, err error) time.Duration {
	if err != nil {
		if !src.s.isStopping(err) {
			src.s.stats.PlatformFailures.Add(1)
			src.s.cfg.Log.Debug().Str("event", logConfigNotRead).Err(err).Msg("configuration service not read")
		}
		return src.retryBackoff.NextBackOff()
	}
	src.retryBackoff.Reset()
	src.s.stats.PlatformBytes.Add(int64(len(value.Data)))
	if hash := xxhash.Sum64(value.Data); len(value.Data) > 0 && hash != src.lastOffered {
		src.lastOffered = hash
		src.unusable = possiblyPartial[src.s.offer(value.Data, "platform").Result]
	}
	// A value that was read half written may be whole in a moment under the same
	// revision, and a watch from that revision on would not end before its time
	// is over: the version would be in force half a minute late. So the revision
	// does not count as seen, and the value is read again soon.
	if src.unusable {
		return unusableRetryDelay
	}
	// The revision seen last counts even if it is lower: a service that was
	// restored starts again, and a watch beyond its revision would never end early.
	src.revision = value.Revision
	return minWatchInterval
}

// unreadable are the results of a value that may be a part of a good one.
var possiblyPartial = map[bundle.AdoptionResult]bool{
	bundle.ResultMalformed:    true,
	bundle.ResultBadSignature: true,
}
