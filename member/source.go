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
	watchWait = 30 * time.Second
	// watchGap is the least time between two watches, so that a service that
	// answers at once, as a stale replica may, is not called without end.
	watchGap = 500 * time.Millisecond
	// brokenRetry is the wait before a value that cannot be used is read again.
	brokenRetry = time.Second
	// firstRewatch and slowestRewatch bound the wait after a failed call.
	firstRewatch   = 500 * time.Millisecond
	slowestRewatch = 15 * time.Second
)

// source follows the bundle's value in the configuration service.
type source struct {
	s        *Service
	revision uint64
	// offered is the hash of the value offered last; the same is not offered twice.
	offered uint64
	// broken: the value offered last was no bundle that an operator signed.
	broken bool
	wait   *backoff.ExponentialBackOff
}

// platformLoop reads the bundle once, then watches or polls it, whichever the
// spread core says this process is to do.
func (s *Service) platformLoop() {
	src := &source{s: s, wait: backoff.NewExponentialBackOff()}
	src.wait.InitialInterval = firstRewatch
	src.wait.MaxInterval = slowestRewatch
	if !s.sleep(firstDelay(s.cfg.FleetSize)) {
		return
	}
	pause := src.read()
	s.platformTried.Store(true)
	signal(s.settleWake)
	called, spread := time.Now(), rand.Float64()
	for {
		s.spreadMu.Lock()
		watcher, every := s.spread.watcher, s.spread.pollEvery(spread)
		s.spreadMu.Unlock()
		wait := pause
		if !watcher {
			wait = max(pause, every)
		}
		// A wake only looks at the schedule anew; many processes that lose
		// their peers at once must not all read at once.
		if left := wait - time.Since(called); left > 0 {
			if !s.sleepUnless(left, s.bundleWake) {
				return
			}
			continue
		}
		pause = src.call(watcher)
		called, spread = time.Now(), rand.Float64()
	}
}

// call makes one call and returns the least time to the next.
func (src *source) call(watch bool) time.Duration {
	if watch {
		return src.watch()
	}
	return src.read()
}

// read makes one read and returns the least time to the next call.
func (src *source) read() time.Duration {
	ctx, cancel := context.WithTimeout(src.s.ctx, platformTimeout)
	defer cancel()
	src.s.stats.ReadCalls.Add(1)
	value, err := src.s.cfg.Platform.Read(ctx, confsvc.ValueBundle)
	return src.take(value, err)
}

// watch makes one watch and returns the least time to the next call.
func (src *source) watch() time.Duration {
	ctx, cancel := context.WithTimeout(src.s.ctx, watchWait+platformTimeout)
	defer cancel()
	src.s.stats.WatchCalls.Add(1)
	value, err := src.s.cfg.Platform.Watch(ctx, confsvc.ValueBundle, src.revision, watchWait)
	return src.take(value, err)
}

func (src *source) take(value confsvc.Value, err error) time.Duration {
	if err != nil {
		if !src.s.canceled(err) {
			src.s.stats.PlatformFailures.Add(1)
			src.s.cfg.Log.Debug().Str("event", logConfigNotRead).Err(err).Msg("configuration service not read")
		}
		return src.wait.NextBackOff()
	}
	src.wait.Reset()
	src.s.stats.PlatformBytes.Add(int64(len(value.Data)))
	if hash := xxhash.Sum64(value.Data); len(value.Data) > 0 && hash != src.offered {
		src.offered = hash
		src.broken = unreadable[src.s.offer(value.Data, "platform").Result]
	}
	// A value that was read half written may be whole in a moment under the same
	// revision, and a watch from that revision on would not end before its time
	// is over: the version would be in force half a minute late. So the revision
	// does not count as seen, and the value is read again soon.
	if src.broken {
		return brokenRetry
	}
	// The revision seen last counts even if it is lower: a service that was
	// restored starts again, and a watch beyond its revision would never end early.
	src.revision = value.Revision
	return watchGap
}

// unreadable are the results of a value that may be a part of a good one.
var unreadable = map[bundle.AdoptionResult]bool{
	bundle.ResultMalformed:    true,
	bundle.ResultBadSignature: true,
}
