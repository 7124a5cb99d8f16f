package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

var (
	// errNewEra means that the store has returned from a copy since the revision from which
	// changes were asked for, or during a list.
	errNewEra = errors.New("the store has returned from a copy")
	// errOldEra means that an answer is from before a return of the store that is known.
	errOldEra = errors.New("the answer is from before the store's return from a copy")
)

// checkEra returns an error if an answer is not from the era that is wanted.
func checkEra(answer, wanted uint64) error {
	switch {
	case answer > wanted:
		return errNewEra
	case answer < wanted:
		return errOldEra
	}
	return nil
}

// list reads all items from the store. The next watch begins at the revision of the first
// page of endpoints, so that page is read first. A configuration that was read earlier and
// changed before that page would stay outdated, because the watch begins after the change.
func (f *Follower) list(ctx context.Context) error {
	began := time.Now()
	items, at, err := f.readAll(ctx)
	if err != nil {
		return err
	}
	if f.At().IsZero() && at.Era > position.FirstEra && f.askPeersFirst(ctx, at.Era, startupPeerWait) {
		return nil
	}
	f.logList(len(items), at)
	f.update(func(now time.Time, s *State) {
		// Meanwhile a peer may have told of a later era.
		if s.At().Era > at.Era {
			err = errOldEra
			return
		}
		s.ApplyStoreList(now, began, items, at)
		f.advanceAsOf(began)
	})
	return err
}

// readAll reads all items from the store. All answers must be of one era: a list of two
// would be of no use for either.
func (f *Follower) readAll(ctx context.Context) ([]platform.Item, position.Position, error) {
	items, at, err := f.listPrefix(ctx, platform.PrefixEndpoints)
	if err != nil {
		return nil, at, err
	}
	evacuations, evacuationsAt, err := f.listPrefix(ctx, platform.PrefixEvacuations)
	if err != nil {
		return nil, at, err
	}
	if err := checkEra(evacuationsAt.Era, at.Era); err != nil {
		return nil, at, err
	}
	items = append(items, evacuations...)
	config, err := f.readConfig(ctx)
	if err != nil {
		return nil, at, err
	}
	if config != nil {
		items = append(items, *config)
	}
	return items, at, checkEra(f.store.Era(), at.Era)
}

const (
	// startupPeerWait is how long a starting process waits for a peer that knows more than
	// the copy from which the store has returned. It is enough to connect to a peer.
	startupPeerWait = time.Second
	// returnPeerWait is the same for a process that has just started when the store returns.
	returnPeerWait = 300 * time.Millisecond
	// peerWaitInterval is how often it looks for one.
	peerWaitInterval = 20 * time.Millisecond
)

// askPeersFirst waits for a peer that has entered the era, for at most wait, and reads from
// it what it knows; it reports whether there is one. A store that has returned from a copy
// may say less than the fleet knows; without peers the copy is all that is known.
func (f *Follower) askPeersFirst(ctx context.Context, era uint64, wait time.Duration) bool {
	if f.relay == nil {
		return false
	}
	for until := time.Now().Add(wait); time.Now().Before(until) && ctx.Err() == nil; {
		f.fetchFromPeers(ctx)
		if f.At().Era >= era {
			return true
		}
		sleep.For(ctx, peerWaitInterval)
	}
	return false
}

// awaitPeers gives the peers a chance to say what they know, before a process that has
// returned or just started lists the items of a new era by itself. It reports whether one
// has entered that era.
func (f *Follower) awaitPeers(ctx context.Context) bool {
	f.fetchFromPeers(ctx)
	if !f.storeReturned() {
		return true
	}
	f.mu.Lock()
	remembers := f.state.RemembersCopy(time.Now())
	f.mu.Unlock()
	return !remembers && f.askPeersFirst(ctx, f.store.Era(), returnPeerWait)
}

// logList logs that all items were read from the store, and whether its revision is lower
// than the one that this process knows.
func (f *Follower) logList(items int, at position.Position) {
	event := f.log.Info()
	known := f.At()
	if at.Revision < known.Revision {
		event = f.log.Warn()
	}
	event.Str("event", logStoreListed).Uint64("era", at.Era).Uint64("at", at.Revision).
		Uint64("known_era", known.Era).Uint64("known", known.Revision).
		Int("items", items).Msg("all items read from the store")
}

// listPrefix reads all items under a prefix; at is the position of the first page.
func (f *Follower) listPrefix(ctx context.Context, prefix string) (items []platform.Item, at position.Position, err error) {
	after := ""
	for {
		page, err := f.store.Range(ctx, prefix, after)
		if err != nil {
			return nil, at, err
		}
		if after == "" {
			at = page.At
		}
		if err := checkEra(page.At.Era, at.Era); err != nil {
			return nil, at, err
		}
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			return items, at, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// readConfig reads the item of the configuration. It returns nil if there is none yet.
func (f *Follower) readConfig(ctx context.Context) (*platform.Item, error) {
	item, err := f.store.Get(ctx, platform.KeyConfig)
	if errorx.IsOfType(err, platform.ErrNotFound) {
		return nil, nil
	}
	return &item, err
}

// watch reads the changes since the state's revision from the store, which waits for one
// for at most wait.
func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	began, at := time.Now(), f.At()
	changes, err := f.store.Watch(ctx, "", at.Revision, wait)
	if err != nil {
		return err
	}
	if err := checkEra(changes.At.Era, at.Era); err != nil {
		return err
	}
	f.update(func(now time.Time, s *State) {
		// Meanwhile a peer may have told of a new era, in which the answer means nothing.
		if s.At().Era == at.Era {
			s.applyAll(now, changes.Events, changes.At)
			f.advanceAsOf(watchedUntil(began, wait, len(changes.Events)))
		}
	})
	return nil
}

// followPeer applies the changes from a peer that reads the store. It returns false if this
// process has to read the store itself.
func (f *Follower) followPeer(ctx context.Context, wait time.Duration) bool {
	if f.relay == nil {
		return false
	}
	batch, ok := f.relay.Follow(ctx, f.Knowledge(), wait)
	if !ok || batch.At.IsZero() {
		return false
	}
	f.update(func(now time.Time, s *State) {
		s.ApplyBatch(now, batch)
		f.advanceAsOf(batch.AsOf)
	})
	return true
}

// adoptFromPeer asks a peer that entered the era of the store with more knowledge, if there
// is one, for what this process has missed.
func (f *Follower) adoptFromPeer(ctx context.Context) {
	if f.relay == nil || f.Knowledge().At.Era <= position.FirstEra {
		return
	}
	known := f.Knowledge()
	batch, ok := f.relay.Informed(ctx, known)
	if !ok {
		return
	}
	f.log.Info().Str("event", logKnowledgeAdopted).Int("items", len(batch.Items)).Uint64("era", batch.At.Era).
		Uint64("at", batch.At.Revision).Uint64("before_era", batch.Before.Era).Uint64("before", batch.Before.Revision).
		Msg("a peer knows more of what was before the store returned from a copy")
	f.update(func(now time.Time, s *State) { s.Adopt(now, batch) })
}

// settleByPeer compares what this process lists with a peer that is settled, if there is one
// and this process is not.
func (f *Follower) settleByPeer(ctx context.Context) {
	if f.relay == nil {
		return
	}
	f.mu.Lock()
	known := f.state.Knowledge()
	if known.At.IsZero() || known.Settled {
		f.mu.Unlock()
		return
	}
	digest := f.state.ComparisonDigest(time.Now())
	f.mu.Unlock()
	c := f.relay.Compare(ctx, known, digest)
	if c.Verdict == VerdictElsewhere {
		return
	}
	f.update(func(now time.Time, s *State) { s.ApplyComparison(now, c, known.At, digest) })
}

// compare returns what State.Compare does, for a peer.
func (f *Follower) compare(at position.Position, digest uint64) Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Compare(at, digest)
}

// fetchFromPeers asks a peer with a later position for the changes that the store does
// not return.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.relay == nil {
		return
	}
	batch := f.relay.Newer(ctx, f.Knowledge())
	if batch.At.IsZero() {
		return
	}
	f.log.Info().Str("event", logViewFromPeer).Int("items", len(batch.Items)).Uint64("era", batch.At.Era).
		Uint64("at", batch.At.Revision).Msg("changes read from a peer")
	f.update(func(now time.Time, s *State) { s.ApplyBatch(now, batch) })
}

// lacksConfig reports whether there is no configuration in force while the item under its
// key in the store is not a valid one.
func (f *Follower) lacksConfig() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.LacksConfig()
}

// fetchLastGoodConfig asks a peer for the last valid configuration after an invalid one has
// overwritten it in the store. Otherwise a starting process would not become ready until
// the operator writes again, while its peers serve requests.
func (f *Follower) fetchLastGoodConfig(ctx context.Context) {
	if f.relay == nil {
		return
	}
	batch := f.relay.Newer(ctx, position.Knowledge{})
	f.update(func(now time.Time, s *State) {
		for _, item := range batch.Items {
			if item.Key == platform.KeyConfig {
				s.Apply(now, item)
			}
		}
	})
}
