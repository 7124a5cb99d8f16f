package discovery

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/platform"
)

// list reads all items from the store. The next watch begins at the revision of the first
// page of endpoints, so that page is read first. A configuration that was read earlier and
// changed before that page would stay outdated, because the watch begins after the change.
func (f *Follower) list(ctx context.Context) error {
	items, at, err := f.listPrefix(ctx, platform.PrefixEndpoints)
	if err != nil {
		return err
	}
	evacuations, _, err := f.listPrefix(ctx, platform.PrefixEvacuations)
	if err != nil {
		return err
	}
	items = append(items, evacuations...)
	config, err := f.readConfig(ctx)
	if err != nil {
		return err
	}
	if config != nil {
		items = append(items, *config)
	}
	f.logList(len(items), at)
	f.update(func(now time.Time, s *State) { s.ApplyList(now, items, at) })
	return nil
}

// logList logs that all items were read from the store, and whether its revision is lower
// than the one that this process knows.
func (f *Follower) logList(items int, at uint64) {
	event := f.log.Info()
	known := f.At()
	if at < known {
		event = f.log.Warn()
	}
	event.Str("event", logStoreListed).Uint64("era", f.store.Era()).Uint64("at", at).Uint64("known", known).
		Int("items", items).Msg("all items read from the store")
}

// listPrefix reads all items under a prefix; at is the store revision of the first page.
func (f *Follower) listPrefix(ctx context.Context, prefix string) (items []platform.Item, at uint64, err error) {
	after := ""
	for {
		page, err := f.store.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		items = append(items, page.Items...)
		if at == 0 {
			at = page.At
		}
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
	changes, err := f.store.Watch(ctx, "", f.At(), wait)
	if err != nil {
		return err
	}
	f.update(func(now time.Time, s *State) { applyAll(now, s, changes.Events, changes.At) })
	return nil
}

// applyAll applies the items of an answer that is complete up to revision at.
func applyAll(now time.Time, s *State, items []platform.Item, at uint64) {
	for _, item := range items {
		s.Apply(now, item)
	}
	s.Advance(at)
}

// followPeer applies the changes from a peer that reads the store. It returns false if this
// process has to read the store itself.
func (f *Follower) followPeer(ctx context.Context, wait time.Duration) bool {
	if f.relay == nil {
		return false
	}
	items, at, ok := f.relay.Follow(ctx, f.At(), wait)
	if ok && at > 0 {
		f.update(func(now time.Time, s *State) { applyAll(now, s, items, at) })
	}
	return ok && at > 0
}

// fetchFromPeers asks a peer with a higher revision for the changes that the store does
// not return.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.relay == nil {
		return
	}
	items, at := f.relay.Newer(ctx, f.At())
	if at == 0 {
		return
	}
	f.log.Info().Str("event", logViewFromPeer).Int("items", len(items)).Uint64("at", at).Msg("changes read from a peer")
	f.update(func(now time.Time, s *State) { applyAll(now, s, items, at) })
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
	items, _ := f.relay.Newer(ctx, 0)
	f.update(func(now time.Time, s *State) {
		for _, item := range items {
			s.Apply(now, item)
		}
	})
}
