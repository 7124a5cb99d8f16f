package discovery

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/platform"
)

// list reads everything. The changes since its first page follow by watch, so
// that page is read before anything else: a configuration that was read before
// it and changed in between would be missed for good, since the watch begins
// behind the change.
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
	f.update(func(now time.Time, s *State) { s.ApplyList(now, items, at) })
	return nil
}

// listPrefix reads all items under a prefix; at is the store's revision at the first page.
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
		if !page.More || len(page.Items) == 0 {
			return items, at, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// readConfig returns nil if there is no configuration yet.
func (f *Follower) readConfig(ctx context.Context) (*platform.Item, error) {
	item, err := f.store.Get(ctx, platform.KeyConfig)
	if errorx.IsOfType(err, platform.ErrNotFound) {
		return nil, nil
	}
	return &item, err
}

func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	changes, err := f.store.Watch(ctx, "", f.At(), wait)
	if err != nil {
		return err
	}
	f.update(func(now time.Time, s *State) { applyAll(now, s, changes.Events, changes.At) })
	return nil
}

func applyAll(now time.Time, s *State, items []platform.Item, at uint64) {
	for _, item := range items {
		s.Apply(now, item)
	}
	s.Advance(at)
}

// followPeer takes the changes from a peer that reads the store, if it should.
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

// fetchFromPeers asks a peer for what the store does not say.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.relay == nil {
		return
	}
	items, at := f.relay.Newer(ctx, f.At())
	if at == 0 {
		return
	}
	f.log.Info().Str("event", logViewFromPeer).Int("items", len(items)).Uint64("at", at).Msg("view taken from a peer")
	f.update(func(now time.Time, s *State) { applyAll(now, s, items, at) })
}

// lacksConfig tells whether the process waits for a configuration that the
// store does not have.
func (f *Follower) lacksConfig() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.LacksConfig()
}

// fetchLastGoodConfig asks a peer for the configuration that was overwritten by
// something that is none. Without it a process that starts would not be ready
// until the operator writes again, while its peers serve.
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
