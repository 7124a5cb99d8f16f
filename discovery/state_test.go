package discovery

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/platform"
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
		assert.NilError(t, s.Apply(now, item))
	}
}

// A user's new route answers, then 404, then answers again: a stale read or a
// peer's older copy brought an older configuration back. The version must
// never go down in one process.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(7, 70), config(5, 50), config(6, 80))
	assert.Equal(t, s.ConfigVersion(), uint64(7))
	apply(t, s, epoch, config(9, 90))
	assert.Equal(t, s.ConfigVersion(), uint64(9))
}

// The store is away for seconds; the entries of endpoints that live lapse and
// are removed when it is back, until each has registered anew. Users would get
// 503 for two seconds while all endpoints are well.
func TestLapsedEndpointsServeOn(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2))
	s.Trouble(epoch.Add(time.Second))
	now := epoch.Add(2 * time.Second)
	apply(t, s, now, removed("a", 3))
	assert.Assert(t, s.View(now).Endpoint("a") != nil)
	apply(t, s, now.Add(time.Second), listed("a", 4))
	assert.Assert(t, s.View(now.Add(3*time.Second)).Endpoint("a") != nil)
}

// As above, but the endpoint does not come back: it is gone and must get
// nothing more within the bound for leaving endpoints (2 s).
func TestLapseEnds(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2), listed("b", 3))
	s.Trouble(epoch)
	apply(t, s, epoch, removed("a", 4))
	assert.Assert(t, s.View(epoch).Endpoint("a") != nil)
	assert.Assert(t, s.View(epoch.Add(lapseGrace)).Endpoint("a") == nil)
}

// Without trouble at the store a removal is at once in force.
func TestRemovalWithoutTrouble(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2), listed("b", 3), removed("a", 4))
	assert.Assert(t, s.View(epoch).Endpoint("a") == nil)
}

// A peer that does not reach the store passes on its older list after an
// endpoint has left: the endpoint must stay gone.
func TestOldListDoesNotBringBack(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), listed("a", 2), removed("a", 5), listed("a", 2))
	assert.Assert(t, s.View(epoch).Endpoint("a") == nil)
}

// What a whole list lacks is gone, unless it was written after the list.
func TestListedRemovesWhatIsMissing(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, listed("a", 2), listed("new", 9))
	assert.NilError(t, s.Listed(epoch, []platform.Item{config(1, 1), listed("b", 3)}, 5))
	view := s.View(epoch)
	assert.Assert(t, view.Endpoint("a") == nil)
	assert.Assert(t, view.Endpoint("b") != nil)
	assert.Assert(t, view.Endpoint("new") != nil)
}

// Whatever order items come in, and however often, the view is that of the
// highest revision of each key. The naive counterpart keeps just that.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "writes")
		var items []platform.Item
		latest := make(map[string]platform.Item)
		for rev := uint64(1); rev <= uint64(n); rev++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			item := listed(id, rev)
			if rapid.Bool().Draw(t, "gone") {
				item = removed(id, rev)
			}
			items = append(items, item)
			latest[id] = item
		}
		order := rapid.Permutation(append(items, items...)).Draw(t, "order")
		s := NewState()
		for _, item := range append([]platform.Item{config(1, 1)}, order...) {
			assert.NilError(t, s.Apply(epoch, item))
		}
		view := s.View(epoch)
		for id, item := range latest {
			assert.Equal(t, view.Endpoint(id) != nil, !item.Gone, id)
		}
	})
}
