package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// catchUpTimeout bounds the read after a pause: a call to a peer that does not
// answer, and then one to the store, whose answers take milliseconds.
const catchUpTimeout = peerCallTimeout + 200*time.Millisecond

// FreshView returns a view that includes the changes made during a pause of the process.
//
// It guards against final decisions by the view from before the pause: a client of a route
// added meanwhile would learn that there is no such route and not retry, and requests that
// may run only once would be sent to leaving endpoints. After a pause it waits for the read
// of the changes from a peer or the store, for at most catchUpTimeout, after which it
// returns the old view. Use it only for decisions that cannot be corrected later.
func (f *Follower) FreshView() *catalog.View {
	f.pauses.Check()
	if caughtUp := f.catchUpDone.Load(); caughtUp != nil {
		<-*caughtUp
	}
	return f.View()
}

// CheckPause returns once any pause of the process has been handled, see OnWake. Call it
// before each step that relies on earlier state, such as an idle connection.
func (f *Follower) CheckPause() { f.pauses.Check() }

// OnWake registers fn to be called after each pause, before anything is read. Call it before
// Run.
func (f *Follower) OnWake(fn func()) { f.onWake = append(f.onWake, fn) }

// handlePause calls the registered functions after a pause and starts a read of what has
// changed meanwhile.
func (f *Follower) handlePause(gap time.Duration) {
	f.mu.Lock()
	f.state.lastGap = time.Now()
	f.mu.Unlock()
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
		f.log.Warn().Str("event", logPaused).Dur("gap", gap).Uint64("at", f.At().Revision).Err(err).Msg("process was paused")
	}()
}

// catchUp reads and decodes what has changed, without waiting for further changes. What it
// fails to read is left to Run.
func (f *Follower) catchUp(ctx context.Context) error {
	defer f.awaitDecoded(ctx)
	if f.At().IsZero() || f.followPeer(ctx, 0) {
		return nil
	}
	err := f.watch(ctx, 0)
	if errors.Is(err, errNewEra) && !f.awaitPeers(ctx) {
		return f.list(ctx)
	}
	return err
}
