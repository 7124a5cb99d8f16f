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
	"github.com/mangostage/mangostage/position"
)

const (
	// watchFraction is the longest duration of a watch as a fraction of the time within
	// which a configuration must be in force. While the store drops its history, a watch
	// can miss changes without an error; only the next one learns that the history is
	// gone.
	watchFraction = 0.3
	// followDivisor divides the duration of a watch for calls to a peer, so that after a
	// call to a silent peer there is time left to ask the store.
	followDivisor = 2
	// freshSlack is how long after the end of a watch the store's answer may be overdue
	// before this process no longer counts as fresh for its followers.
	freshSlack = 300 * time.Millisecond
	// retryFirst and retryMax bound the backoff after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
	// settleRetryInterval is the interval of lists that are to settle and fail.
	settleRetryInterval = time.Second
	// expireInterval is the interval of State.Expire.
	expireInterval = pause.TickEvery
)

// StoreTimeouts holds the timeouts of calls to the store. Answers begin within
// milliseconds, those of a slow store within some hundred. A link that loses packets is
// silent for two retransmissions, 600 ms. Over 10 Mbit/s the longest answer takes 3.4 s,
// and two to three times that beside other traffic.
var StoreTimeouts = platform.Timeouts{
	Read:  2 * time.Second,
	Watch: 900 * time.Millisecond,
	Idle:  900 * time.Millisecond,
	Total: 10 * time.Second,
}

// errFollowed means that a peer answered instead of the store.
var errFollowed = errors.New("followed a peer")

// Relay reads the store's items from peers.
type Relay interface {
	// Newer returns what a process with the knowledge has to be told; the zero Batch if no
	// peer has a later position.
	Newer(ctx context.Context, known position.Knowledge) Batch
	// Follow asks a peer that reads the store for the fleet for what a process with the
	// knowledge has to be told, and waits for a change for at most wait; ok is false if this
	// process has to read the store itself.
	Follow(ctx context.Context, known position.Knowledge, wait time.Duration) (batch Batch, ok bool)
	// Informed returns the changes since Before of a process that is less informed than a
	// peer, none of them settled; ok is false if there is no such peer, or it does not answer.
	Informed(ctx context.Context, known position.Knowledge) (batch Batch, ok bool)
	// Compare compares a process that is not settled, whose digest is zero if it needs all
	// items, with a settled peer.
	Compare(ctx context.Context, known position.Knowledge, digest uint64) Comparison
	// OthersStoreSteady reports whether the store has answered a peer without interruption
	// for some seconds.
	OthersStoreSteady() bool
}

// Comparison is the answer of a settled peer to a process that is not settled.
type Comparison struct {
	// Peer is the name of the peer.
	Peer    string
	Verdict Verdict
	// Batch has all items of the peer if these are different; the zero Batch if it has not
	// sent them.
	Batch Batch
}

// Follower keeps a State up to date from the store or from a peer that reads it.
type Follower struct {
	store *platform.Store
	// relay is nil if there are no peers to read from.
	relay Relay
	// wait is the longest duration of a watch.
	wait time.Duration
	log  zerolog.Logger

	mu    sync.Mutex
	state *State
	view  atomic.Pointer[catalog.View]
	// asOf is as in AsOf.
	asOf time.Time
	// changed is closed and replaced when the state's position has changed.
	changed chan struct{}
	// healthy means that the store answered the latest call to it.
	healthy atomic.Bool
	// badEndpoints and badConfigs count the items that could not be used.
	badEndpoints, badConfigs atomic.Uint64
	// storeReturns counts the returns of the store from a copy, itemsDropped the items that
	// were dropped since they were not written again.
	storeReturns, itemsDropped atomic.Uint64
	// lastAnswer is when the store last answered, in nanoseconds since startedAt.
	lastAnswer atomic.Int64
	startedAt  time.Time
	onChange   func(*catalog.View)
	// settleRetry is when a list that is to settle may be tried again; only Run uses it.
	settleRetry time.Time
	// pauses detects pauses of the process.
	pauses *pause.Watch
	// decodeSignal makes decode look for a configuration.
	decodeSignal chan struct{}
	// catchUpDone is closed when the read after the latest pause has ended; nil before
	// the first pause.
	catchUpDone atomic.Pointer[chan struct{}]
	// confirming is held by the goroutine that confirms the view; nextConfirm, which it
	// guards, is when the store may be asked next.
	confirming  chan struct{}
	nextConfirm time.Time
	// unconfirmed counts the latest calls in a row by which the view could not be confirmed,
	// silentUntil is until when the store is known not to answer, in Unix nanoseconds, or 0.
	unconfirmed atomic.Int32
	silentUntil atomic.Int64
	// onWake are called after a pause, before anything is read.
	onWake []func()
}

// NewFollower returns a Follower of the store; relay may be nil. A configuration must be
// in force within apply of its being written; onChange is called with each new view.
func NewFollower(store *platform.Store, relay Relay, apply time.Duration, log zerolog.Logger, onChange func(*catalog.View)) *Follower {
	f := &Follower{store: store, relay: relay, log: log, state: NewState(), changed: make(chan struct{}), startedAt: time.Now(), onChange: onChange, decodeSignal: make(chan struct{}, 1), confirming: make(chan struct{}, 1)}
	f.state.deferDecoding = true
	f.wait = min(platform.MaxWatchWait, time.Duration(float64(apply)*watchFraction))
	f.view.Store(catalog.NewView(nil, nil, 0))
	f.pauses = pause.NewWatch(time.Now, f.handlePause)
	return f
}

// View returns the current view.
func (f *Follower) View() *catalog.View { return f.view.Load() }

// SetRestTime sets how long an endpoint that leaves may be sent the rest of streams. Call it
// before Run.
func (f *Follower) SetRestTime(d time.Duration) { f.state.restTime = d }

// Healthy reports whether the store answered the latest call to it.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

// StoreEra returns the highest era that the store has named to this process.
func (f *Follower) StoreEra() uint64 { return f.store.Era() }

// Fresh reports whether the store has answered recently. Without this check a reader whose
// call hangs would report to its followers until the call's timeout that nothing has
// changed, and a change such as a revoked key would come into force too late. A long
// answer that is still arriving counts as recent: otherwise all followers would turn to
// the store at once, for the same long answer.
func (f *Follower) Fresh() bool {
	age := time.Since(f.startedAt) - time.Duration(f.lastAnswer.Load())
	age = min(age, time.Since(f.store.LastReceived()))
	return f.Healthy() && age < f.wait+freshSlack
}

// Steady reports whether this process has run for troublePeriod and the store, or a member
// that reads it, has answered it without interruption for that time.
func (f *Follower) Steady() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.startedAt) >= troublePeriod && f.state.Steady(now)
}

// SeenSince returns since when this process has seen all changes as they came; ok is false if
// it may be missing some now.
func (f *Follower) SeenSince() (since time.Time, ok bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return later(f.state.seenSince, f.state.lastGap), f.state.Steady(now)
}

// At returns the position up to which this process is complete.
func (f *Follower) At() position.Position { return f.Knowledge().At }

// Knowledge returns what this process knows of the store.
func (f *Follower) Knowledge() position.Knowledge {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Knowledge()
}

// Since returns the changes after the position, for a peer.
func (f *Follower) Since(after position.Position) Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.state.Changes(time.Now(), after)
	changes.AsOf = f.asOf
	return changes
}

// Item returns the item of a key, see State.Item.
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

// step makes one call, or the calls of one list. Most members of a fleet follow a reader of
// the store: if each watched the store itself, its calls would grow with the fleet, and each
// change would cause one call per member. listed means that the state is complete up to its
// revision, so that a watch is enough.
func (f *Follower) step(ctx context.Context, listed *bool) error {
	if f.lacksConfig() {
		f.fetchLastGoodConfig(ctx)
	}
	f.settleByPeer(ctx)
	f.adoptFromPeer(ctx)
	if f.followPeer(ctx, f.wait/followDivisor) {
		*listed = true
		return errFollowed
	}
	if f.storeReturned() {
		*listed = f.awaitPeers(ctx)
		if *listed {
			return errFollowed
		}
	}
	if !*listed || f.settleDue() {
		f.settleRetry = time.Now().Add(settleRetryInterval)
		err := f.list(ctx)
		*listed = *listed || err == nil
		if errors.Is(err, errNewEra) {
			return nil
		}
		return err
	}
	err := f.watch(ctx, f.wait)
	if errors.Is(err, errNewEra) {
		return nil
	}
	if errorx.IsOfType(err, platform.ErrCompacted) {
		f.log.Info().Str("event", logStoreHistoryGone).Uint64("after", f.At().Revision).Msg("the store has dropped the history; listing all items again")
		*listed = false
		return nil
	}
	// An answer that cannot be read, because it is larger than the limit or than the link
	// carries in time, would be as large again or larger on the next watch, and the process
	// would learn of no further change. A list has only the newest revision of each item,
	// its pages are bounded, and the next watch begins after it.
	if errorx.IsOfType(err, platform.ErrMalformed) || errorx.IsOfType(err, platform.ErrIncomplete) {
		*listed = false
	}
	return err
}

// storeReturned reports whether the store has returned from a copy since this process was
// complete. One member that has listed the items since is enough for the others.
func (f *Follower) storeReturned() bool {
	at := f.At()
	return !at.IsZero() && f.store.Era() > at.Era
}

// settleDue reports whether all items are to be read from the store again, see
// State.SettleDue. Between attempts that fail this process must go on watching.
func (f *Follower) settleDue() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.SettleDue(now) && now.After(f.settleRetry)
}

// Await waits until the state has advanced past the position, for at most wait, and returns
// the changes after it.
func (f *Follower) Await(ctx context.Context, after position.Position, wait time.Duration) Batch {
	f.await(ctx, after, wait)
	return f.Since(after)
}

// await returns when the state has advanced past the position, after wait, or when ctx ends.
func (f *Follower) await(ctx context.Context, after position.Position, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		newer, changed := f.state.At().After(after), f.changed
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

// storeLost notes that a call to the store failed, and logs the first failure after an
// answer.
func (f *Follower) storeLost(err error) {
	f.mu.Lock()
	f.state.NoteTrouble(time.Now())
	f.mu.Unlock()
	if f.healthy.Swap(false) {
		f.log.Warn().Str("event", logStoreLost).Err(err).Msg("the store does not answer")
	}
}

// storeRegained notes that the store answered, and logs the first answer after a failure.
func (f *Follower) storeRegained() {
	f.lastAnswer.Store(int64(time.Since(f.startedAt)))
	if !f.healthy.Swap(true) {
		f.log.Info().Str("event", logStoreRegained).Uint64("at", f.At().Revision).Msg("the store answers")
	}
}
