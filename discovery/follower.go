package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/pause"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/platform"
)

const (
	// watchFraction is the part of the time in which a configuration must be in
	// force for which a watch may stand. A standing watch can miss changes
	// without a sign while the store drops its history; the next one is told
	// that the history is gone.
	watchFraction = 0.3
	// followDivisor divides the wait for a call to a peer, so that a silent peer
	// leaves time to ask the store within the bound.
	followDivisor = 2
	// freshSlack is how long an answer may be overdue until this process's
	// knowledge no longer counts as fresh for the members that follow it.
	freshSlack = 300 * time.Millisecond
	// retryFirst and retryMax bound the pause after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
	// expireInterval is how often lapsed endpoints are looked at.
	expireInterval = pause.TickEvery
	// catchUpTimeout bounds the read on waking from a pause: a peer that does not
	// answer, and then the store, whose answers take milliseconds.
	catchUpTimeout = peerCallTimeout + 200*time.Millisecond
)

// StorePatience bounds the calls to the store. Its answers begin within
// milliseconds, those of a slow store within some hundred; a link that loses
// packets is silent for two repeats of a packet, 600 ms. Over 10 Mbit/s the
// longest answer takes 3.4 s, and twice to three times that beside other traffic.
var StorePatience = platform.Patience{
	Read:    2 * time.Second,
	Watch:   900 * time.Millisecond,
	Silence: 900 * time.Millisecond,
	Whole:   10 * time.Second,
}

// errFollowed says that a peer answered in the store's place.
var errFollowed = errors.New("followed a peer")

// Relay reads from peers what the store does not say to this process.
type Relay interface {
	// Newer returns items that changed after the revision and the peer's own
	// revision; at is 0 if no peer knows more.
	Newer(ctx context.Context, after uint64) (items []platform.Item, at uint64)
	// Follow waits for changes at a peer that reads the store for the fleet;
	// ok is false if this process has to read the store itself.
	Follow(ctx context.Context, after uint64, wait time.Duration) (items []platform.Item, at uint64, ok bool)
	// OthersStoreSteady tells whether the store has answered a peer all along.
	OthersStoreSteady() bool
}

// Follower keeps a State up to date from the store.
type Follower struct {
	store *platform.Store
	relay Relay
	// wait is how long a watch may stand.
	wait time.Duration
	log  zerolog.Logger

	mu    sync.Mutex
	state *State
	view  atomic.Pointer[catalog.View]
	// changed is closed, and made anew, when the state has advanced.
	changed chan struct{}
	// healthy is true while the store answers.
	healthy atomic.Bool
	// badEndpoints and badConfigs count the items that could not be used.
	badEndpoints, badConfigs atomic.Uint64
	// lastAnswer is when the store last lastAnswer, in nanoseconds since began.
	lastAnswer atomic.Int64
	startedAt  time.Time
	onChange   func(*catalog.View)
	pauses     *pause.Watch
	// decodeSignal wakes what decodes configurations.
	decodeSignal chan struct{}
	// catchUpDone is closed when the read after the last pause has ended.
	catchUpDone atomic.Pointer[chan struct{}]
	// onWake is called before anything is read after a pause.
	onWake []func()
}

// NewFollower returns a follower. A configuration must be in force within
// apply; onChange is called with each new view.
func NewFollower(store *platform.Store, relay Relay, apply time.Duration, log zerolog.Logger, onChange func(*catalog.View)) *Follower {
	f := &Follower{store: store, relay: relay, log: log, state: NewState(), changed: make(chan struct{}), startedAt: time.Now(), onChange: onChange, decodeSignal: make(chan struct{}, 1)}
	f.state.deferDecoding = true
	f.wait = min(platform.MaxWatch, time.Duration(float64(apply)*watchFraction))
	f.view.Store(catalog.NewView(nil, nil, 0))
	f.pauses = pause.NewWatch(time.Now, f.handlePause)
	return f
}

// View returns the present view.
func (f *Follower) View() *catalog.View { return f.view.Load() }

// Current returns the view that has what changed during a pause of the process.
//
// It guards against a process that was paused and decides for good by the view
// from before: clients of a route that was added meanwhile read that there is
// none and stay away, and requests that may run once go to endpoints that leave.
// Only what cannot be made good afterwards asks for it: after a pause it waits
// for a read of peers or the store, and at most for wakeTimeout; then the old
// view holds.
func (f *Follower) Current() *catalog.View {
	f.pauses.Check()
	if caughtUp := f.catchUpDone.Load(); caughtUp != nil {
		<-*caughtUp
	}
	return f.View()
}

// CheckPause returns once no pause is left to be dealt with. It is asked before
// each step that relies on what was there before, as on a kept connection.
func (f *Follower) CheckPause() { f.pauses.Check() }

// OnWake has fn called after each pause, before anything is read. It is called
// before Run.
func (f *Follower) OnWake(fn func()) { f.onWake = append(f.onWake, fn) }

// handlePause deals with a pause of the process.
func (f *Follower) handlePause(gap time.Duration) {
	for _, fn := range f.onWake {
		fn()
	}
	caughtUp := make(chan struct{})
	f.catchUpDone.Store(&caughtUp)
	go func() {
		defer close(caughtUp)
		ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
		defer cancel()
		err := f.catchUp(ctx)
		f.log.Warn().Str("event", logPaused).Dur("gap", gap).Uint64("at", f.At()).Err(err).Msg("process was paused")
	}()
}

// catchUp reads what has changed and does not wait for more. What it does not
// get the run of the follower does.
func (f *Follower) catchUp(ctx context.Context) error {
	defer f.awaitDecoded(ctx)
	if f.At() == 0 || f.followPeer(ctx, 0) {
		return nil
	}
	return f.watch(ctx, 0)
}

// Healthy tells whether the store answered the last call.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

// Fresh tells whether the store answered lately. While a call hangs, a reader
// would otherwise go on telling its followers that nothing has changed until
// the call's time-out: both readers of a fleet were cut off from the store and
// a key that was taken away still worked for 2.8 s, with a bound of 2 s. A long
// answer that is still coming counts: otherwise all followers turn to the store
// at once, for the same long answer.
func (f *Follower) Fresh() bool {
	age := time.Since(f.startedAt) - time.Duration(f.lastAnswer.Load())
	age = min(age, time.Since(f.store.Heard()))
	return f.Healthy() && age < f.wait+freshSlack
}

// Steady tells whether the store, or a member that reads it, has answered this
// process for some seconds.
func (f *Follower) Steady() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.startedAt) >= troublePeriod && f.state.Steady(now)
}

// At is the store's revision that this process knows.
func (f *Follower) At() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.At()
}

// Since lists the items that changed after the revision, and the own revision.
func (f *Follower) Since(after uint64) ([]platform.Item, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Since(after), f.state.At()
}

// Item returns what is known of one key of the store.
func (f *Follower) Item(key string) (platform.Item, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Item(key)
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.pauses.Tick()
	go f.expire(ctx)
	go f.decode(ctx)
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = retryFirst
	retries.MaxInterval = retryMax
	listed := false
	for ctx.Err() == nil {
		err := f.step(ctx, &listed)
		if errors.Is(err, errFollowed) {
			retries.Reset()
			continue
		}
		if err == nil {
			f.storeRegained()
			retries.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.storeLost(err)
		f.fetchFromPeers(ctx)
		sleep.For(ctx, retries.NextBackOff())
	}
}

// step makes one call, or the calls of one list. Most members of a fleet
// follow one that reads the store: if each watched it itself, the calls would
// grow with the fleet, and each change would set off one for each member.
func (f *Follower) step(ctx context.Context, listed *bool) error {
	if f.lacksConfig() {
		f.fetchLastGoodConfig(ctx)
	}
	if f.followPeer(ctx, f.wait/followDivisor) {
		*listed = true
		return errFollowed
	}
	if !*listed {
		if err := f.list(ctx); err != nil {
			return err
		}
		*listed = true
		return nil
	}
	err := f.watch(ctx, f.wait)
	if errorx.IsOfType(err, platform.ErrCompacted) {
		f.log.Info().Str("event", logStoreHistoryGone).Uint64("after", f.At()).Msg("listing anew")
		*listed = false
		return nil
	}
	// An answer that cannot be read, since more was written than it may hold or
	// than the link carries in time, would be the same again, and longer: the
	// process would hear of no change any more. A list has the newest of each item
	// only, its pages are bounded, and the next watch begins behind them.
	if errorx.IsOfType(err, platform.ErrMalformed) || errorx.IsOfType(err, platform.ErrBroken) {
		*listed = false
	}
	return err
}

// Await waits until the state has advanced past the revision, at most for
// wait, and returns what changed after it, and the own revision.
func (f *Follower) Await(ctx context.Context, after uint64, wait time.Duration) ([]platform.Item, uint64) {
	f.await(ctx, after, wait)
	return f.Since(after)
}

// await returns when the state has advanced past the revision, or after wait.
func (f *Follower) await(ctx context.Context, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		newer, changed := f.state.At() > after, f.changed
		f.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) storeLost(err error) {
	f.mu.Lock()
	f.state.NoteTrouble(time.Now())
	f.mu.Unlock()
	if f.healthy.Swap(false) {
		f.log.Warn().Str("event", logStoreLost).Err(err).Msg("the store does not answer")
	}
}

func (f *Follower) storeRegained() {
	f.lastAnswer.Store(int64(time.Since(f.startedAt)))
	if !f.healthy.Swap(true) {
		f.log.Info().Str("event", logStoreRegained).Uint64("at", f.At()).Msg("the store answers")
	}
}
