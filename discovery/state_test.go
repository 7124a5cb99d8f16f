package discovery

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func config(version, revision uint64) platform.Item {
	return platform.Item{Key: platform.KeyConfig, Revision: revision, Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[{"name":"s"}]}`, version)}
}

func listed(id string, revision uint64) platform.Item {
	return platform.Item{
		Key: platform.PrefixEndpoints + id, Revision: revision,
		Value: []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`),
	}
}

func removed(id string, revision uint64) platform.Item {
	return platform.Item{Key: platform.PrefixEndpoints + id, Revision: revision, Gone: true}
}

func apply(t *testing.T, s *State, now time.Time, items ...platform.Item) {
	t.Helper()
	for _, item := range items {
		s.Apply(now, item)
		assert.Equal(t, len(s.TakeFaults()), 0)
	}
}

// Guards against a new route that works, then answers 404, then works again, because a stale
// read or a peer's older copy restored an older configuration. The version must never
// decrease in a process.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(7, 70), config(5, 50), config(6, 80))
	assert.Equal(t, s.ConfigVersion(), uint64(7))
	apply(t, s, epoch, config(9, 90))
	assert.Equal(t, s.ConfigVersion(), uint64(9))
}

// When the store has been down for seconds, the leases of running endpoints have run out and
// their entries are removed until each has registered again. The endpoints must stay in use:
// otherwise users get 503 for two seconds while all endpoints are healthy.
func TestLapsedEndpointsServeOn(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2))
	s.NoteTrouble(epoch.Add(time.Second))
	now := epoch.Add(2 * time.Second)
	apply(t, s, now, removed("a", 3))
	assert.Assert(t, s.View(now).Endpoint("a") != nil)
	apply(t, s, now.Add(time.Second), listed("a", 4))
	assert.Assert(t, s.View(now.Add(3*time.Second)).Endpoint("a") != nil)
}

// As above, but the endpoint does not register again: it is gone and must get no more work
// within the bound for leaving endpoints (2 s).
func TestLapseGraceEnds(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2), listed("b", 3))
	s.NoteTrouble(epoch)
	apply(t, s, epoch, removed("a", 4))
	assert.Assert(t, s.View(epoch).Endpoint("a") != nil)
	assert.Assert(t, s.View(epoch.Add(lapseGrace)).Endpoint("a") == nil)
}

// Without a store failure a removal takes effect at once.
func TestRemovalWithoutTrouble(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2), listed("b", 3), removed("a", 4))
	assert.Assert(t, s.View(epoch).Endpoint("a") == nil)
}

// An older list from a peer that does not reach the store must not restore an endpoint that
// has left.
func TestOldListDoesNotRestoreEndpoints(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2), removed("a", 5), listed("a", 2))
	assert.Assert(t, s.View(epoch).Endpoint("a") == nil)
}

// A complete list removes the endpoints that are missing from it, except those that were
// written after it.
func TestApplyListRemovesMissingEndpoints(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, listed("a", 2), listed("new", 9))
	s.ApplyList(epoch, []platform.Item{config(1, 1), listed("b", 3)}, position.Position{Revision: 5})
	assert.Equal(t, len(s.TakeFaults()), 0)
	view := s.View(epoch)
	assert.Assert(t, view.Endpoint("a") == nil)
	assert.Assert(t, view.Endpoint("b") != nil)
	assert.Assert(t, view.Endpoint("new") != nil)
}

// unusable returns an entry that names no usable endpoint, in one of three ways.
func unusable(id string, revision uint64) platform.Item {
	values := []string{`{`, `{"service":"s"}`, `{"service":"other","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready"}`}
	return platform.Item{
		Key: platform.PrefixEndpoints + id, Revision: revision,
		Value: []byte(values[revision%uint64(len(values))]),
	}
}

// Another writer overwrites the entry of a running endpoint. The endpoint must get no new
// work but stay in the view, so that its results and streams are not abandoned at once. When
// its heartbeat has written the entry again, it must be in use as before.
func TestOverwrittenEndpointIsRestored(t *testing.T) {
	for revision := uint64(3); revision < 6; revision++ {
		s := NewState()
		apply(t, s, epoch, config(1, 1), listed("a", 2))
		s.Apply(epoch, unusable("a", revision))
		e := s.View(epoch).Endpoint("a")
		assert.Assert(t, e != nil && e.Leaving)
		assert.Equal(t, e.Addr, "10.0.0.1:80", "another writer's address must not be used")
		assert.Equal(t, len(s.TakeFaults()), 1)
		apply(t, s, epoch.Add(2*time.Second), listed("a", 6))
		assert.Assert(t, !s.View(epoch.Add(2*time.Second)).Endpoint("a").Leaving)
		assert.Assert(t, s.View(epoch.Add(time.Minute)) == nil, "the view must not change later")
	}
}

// As above, but the endpoint does not write its entry again: it must leave the view after
// unusableGrace, however often the other writer repeats its write, and at once if the
// unusable entry is removed.
func TestOverwrittenEndpointExpires(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2), listed("b", 3))
	s.Apply(epoch, unusable("a", 4))
	s.Apply(epoch, unusable("b", 5))
	s.Apply(epoch.Add(unusableGrace/2), unusable("a", 6))
	s.Apply(epoch.Add(unusableGrace/2), removed("b", 7))
	view := s.View(epoch.Add(unusableGrace / 2))
	assert.Assert(t, view.Endpoint("a") != nil)
	assert.Assert(t, view.Endpoint("b") == nil)
	assert.Assert(t, s.View(epoch.Add(unusableGrace)).Endpoint("a") == nil)
	assert.Equal(t, len(s.TakeFaults()), 3)
}

// Peers must learn of unusable entries, or they would go on sending work to the endpoint.
// They must not get the value, which may be too large for a message between peers.
func TestPeersReceiveUnusableEntries(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2))
	bad := platform.Item{Key: platform.PrefixEndpoints + "a", Revision: 3, Value: make([]byte, 1<<20)}
	s.Apply(epoch, bad)
	items := s.Since(position.Position{Revision: 2})
	assert.Equal(t, len(items), 1)
	assert.Equal(t, len(items[0].Value), 0)

	other := NewState()
	apply(t, other, epoch, config(1, 1), listed("a", 2))
	other.Apply(epoch, items[0])
	assert.Assert(t, other.View(epoch).Endpoint("a").Leaving)
	faults := other.TakeFaults()
	assert.Equal(t, len(faults), 1)
	assert.Equal(t, faults[0].Revision, uint64(3))
}

// The first list has the entries before the configuration. Entries must not be reported as
// faults before that, and must be afterwards if it does not name their service.
func TestFaultsOfServicesAwaitTheConfiguration(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, listed("a", 2))
	s.Apply(epoch, unusable("b", 5))
	assert.Equal(t, len(s.TakeFaults()), 0)
	s.Apply(epoch, config(1, 6))
	faults := s.TakeFaults()
	assert.Equal(t, len(faults), 1)
	assert.Equal(t, faults[0].Key, platform.PrefixEndpoints+"b")
	assert.Equal(t, s.View(epoch).Len(), 1)
	s.Apply(epoch, config(2, 7))
	assert.Equal(t, len(s.TakeFaults()), 0)
}

// In whatever order and however often items are applied, the view must follow from the
// highest revision of each key: a usable endpoint, none, or one that is leaving because its
// entry is unusable. The naive model keeps the highest revisions.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "writes")
		var items []platform.Item
		latest := make(map[string]platform.Item)
		use := make(map[string]bool)
		for rev := uint64(1); rev <= uint64(n); rev++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			write := rapid.SampledFrom([]func(string, uint64) platform.Item{listed, removed, unusable}).Draw(t, "write")
			item := write(id, rev)
			items = append(items, item)
			latest[id] = item
			use[id] = string(item.Value) == string(listed(id, rev).Value)
		}
		order := rapid.Permutation(append(items, items...)).Draw(t, "order")
		s := NewState()
		for _, item := range append([]platform.Item{config(1, 1)}, order...) {
			s.Apply(epoch, item)
		}
		view := s.View(epoch)
		for id, item := range latest {
			e := view.Endpoint(id)
			assert.Equal(t, e != nil && !e.Leaving, use[id], id)
			assert.Assert(t, !item.Gone || e == nil, id)
		}
		later := s.View(epoch.Add(unusableGrace))
		for id := range latest {
			assert.Assert(t, later == nil || (later.Endpoint(id) != nil) == use[id], id)
		}
	})
}
