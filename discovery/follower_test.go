package discovery_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/discovery"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// patience bounds each wait of these tests.
	patience = 10 * time.Second
	// applyBound is the bound for configurations; watches stand for half of it.
	applyBound = 400 * time.Millisecond
)

// follow runs a follower of the store and returns it with the views it tells of.
func follow(t *testing.T, store *standin.Store, relay discovery.Relay) (*discovery.Follower, <-chan *catalog.View) {
	t.Helper()
	return followLogged(t, store, relay, zerolog.Nop())
}

// followLogged is follow with a log.
func followLogged(t *testing.T, store *standin.Store, relay discovery.Relay, log zerolog.Logger) (*discovery.Follower, <-chan *catalog.View) {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	views := make(chan *catalog.View, 100)
	f := discovery.NewFollower(
		platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient, discovery.StorePatience),
		relay, applyBound, log, func(v *catalog.View) { views <- v },
	)
	run(t, f)
	return f, views
}

// run lets a follower run until the test ends.
func run(t *testing.T, f *discovery.Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

func putConfig(s *standin.Store, version int) {
	s.Put(platform.KeyConfig, fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[{"name":"s"}]}`, version))
}

func putEndpoint(s *standin.Store, id string) {
	s.Put(platform.PrefixEndpoints+id, []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`))
}

// await waits for a view of which want holds.
func await(t *testing.T, views <-chan *catalog.View, want func(*catalog.View) bool) *catalog.View {
	t.Helper()
	timeout := time.After(patience)
	for {
		select {
		case v := <-views:
			if want(v) {
				return v
			}
		case <-timeout:
			t.Fatal("the view did not come")
		}
	}
}

func hasVersion(version uint64) func(*catalog.View) bool {
	return func(v *catalog.View) bool { return v.Index != nil && v.Index.Config.Version == version }
}

// A new route answers 404 at one gateway for good: the configuration changed
// while the process made its first list, between reading the configuration
// and the first page of endpoints, and the watch began behind the change.
func TestChangeDuringFirstList(t *testing.T) {
	for _, path := range []string{"/kv-range", "/kv-key"} {
		t.Run(path, func(t *testing.T) {
			store := standin.NewStore()
			putConfig(store, 21)
			putEndpoint(store, "a")
			var once sync.Once
			store.Before(func(called string) bool {
				if called == path {
					once.Do(func() { putConfig(store, 25) })
				}
				return true
			})
			_, views := follow(t, store, nil)
			await(t, views, hasVersion(25))
		})
	}
}

// A new route answers 404 for seconds: the store dropped its history while a
// watch stood, and the watch heard nothing of the change.
func TestChangeWhileHistoryIsDropped(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "a")
	_, views := follow(t, store, nil)
	await(t, views, hasVersion(1))
	putConfig(store, 2)
	store.Remove(platform.PrefixEndpoints + "a")
	putEndpoint(store, "b")
	store.Compact()
	await(t, views, func(v *catalog.View) bool {
		return hasVersion(2)(v) && v.Endpoint("b") != nil && v.Endpoint("a") == nil
	})
}

// More endpoints than a page of the list holds are all known.
func TestPages(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	for i := range 130 {
		putEndpoint(store, fmt.Sprintf("i-%03d", i))
	}
	_, views := follow(t, store, nil)
	await(t, views, func(v *catalog.View) bool { return v.Len() == 130 })
}

// relay is a peer's knowledge.
type relay struct {
	items []platform.Item
	at    uint64
	// steady says that the store has answered the peer all along.
	steady bool
}

func (r relay) OthersStoreSteady() bool { return r.steady }

func (r relay) Newer(context.Context, uint64) ([]platform.Item, uint64) { return r.items, r.at }

func (r relay) Follow(context.Context, uint64, time.Duration) ([]platform.Item, uint64, bool) {
	return nil, 0, false
}

// A key that was taken away still opens one gateway: the store turns this
// process away and serves the others. It learns from a peer.
func TestStoreTurnsThisProcessAway(t *testing.T) {
	store := standin.NewStore()
	store.Before(func(string) bool { return false })
	peer := relay{at: 9, items: []platform.Item{
		{Key: platform.KeyConfig, Revision: 8, Value: []byte(`{"version":3,"routes":[],"services":[{"name":"s"}]}`)},
		{Key: platform.PrefixEndpoints + "a", Revision: 9, Value: []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`)},
	}}
	f, views := follow(t, store, peer)
	v := await(t, views, hasVersion(3))
	assert.Assert(t, v.Endpoint("a") != nil)
	assert.Assert(t, !f.Healthy())
}

// Orders still go to an endpoint that has left, from one gateway only: its link
// was full for seconds, it did not hear the store, and when it is back it takes
// the removal for the lapse of an endpoint that lives. A peer that the store
// has answered all along shows that nothing has lapsed. Without such a peer the
// endpoint is kept for a while, since it may be the store that was away.
func TestOwnTroubleIsNoLapse(t *testing.T) {
	for _, steady := range []bool{true, false} {
		t.Run(fmt.Sprintf("peers steady %v", steady), func(t *testing.T) {
			store := standin.NewStore()
			putConfig(store, 1)
			putEndpoint(store, "a")
			_, views := follow(t, store, relay{steady: steady})
			await(t, views, func(v *catalog.View) bool { return v.Endpoint("a") != nil })
			away := make(chan struct{})
			var calls atomic.Int64
			store.Before(func(string) bool {
				select {
				case <-away:
					return true
				default:
					calls.Add(1)
					return false
				}
			})
			testwait.For(t, patience, func() bool { return calls.Load() > 1 })
			store.Remove(platform.PrefixEndpoints + "a")
			putEndpoint(store, "b")
			close(away)
			v := await(t, views, func(v *catalog.View) bool { return v.Endpoint("b") != nil })
			assert.Equal(t, v.Endpoint("a") == nil, steady)
		})
	}
}

// A malformed item is left out and does not keep the others from being known.
func TestMalformedItem(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	store.Put(platform.PrefixEndpoints+"bad", []byte(`{`))
	putEndpoint(store, "good")
	_, views := follow(t, store, nil)
	await(t, views, func(v *catalog.View) bool { return v.Endpoint("good") != nil && v.Endpoint("bad") == nil })
}

// reader is a peer that reads the store for the fleet, until it is lost.
type reader struct {
	follower *discovery.Follower
	lost     *atomic.Bool
}

func (r reader) OthersStoreSteady() bool { return false }

func (r reader) Newer(context.Context, uint64) ([]platform.Item, uint64) { return nil, 0 }

func (r reader) Follow(ctx context.Context, after uint64, wait time.Duration) ([]platform.Item, uint64, bool) {
	if r.lost.Load() {
		return nil, 0, false
	}
	items, at := r.follower.Await(ctx, after, wait)
	return items, at, true
}

// A fleet's store calls must not grow with its members, and a member whose
// reader is lost must learn of changes from the store itself.
func TestFollowsAReader(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "a")
	first, views := follow(t, store, nil)
	await(t, views, hasVersion(1))

	idle := standin.NewStore()
	var lost atomic.Bool
	_, views = follow(t, idle, reader{follower: first, lost: &lost})
	await(t, views, hasVersion(1))
	putConfig(store, 2)
	await(t, views, hasVersion(2))
	store.Remove(platform.PrefixEndpoints + "a")
	await(t, views, func(v *catalog.View) bool { return v.Endpoint("a") == nil })
	assert.Equal(t, idle.Calls(), 0)

	for range 20 {
		putConfig(idle, 3)
	}
	lost.Store(true)
	await(t, views, hasVersion(3))
}

// A key that was taken away worked for 2.8 s with a bound of 2 s: both readers
// of the fleet were cut off from the store, their calls hung, and until the
// time-out they told their followers that nothing had changed.
func TestReaderWithAHangingStoreIsNotFresh(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "a")
	release := make(chan struct{})
	f, views := follow(t, store, nil)
	// After follow, so that the store's calls end before its server does.
	t.Cleanup(func() { close(release) })
	await(t, views, hasVersion(1))
	// The answer to the list is noted right after the view is told of.
	testwait.For(t, patience, f.Fresh)
	store.Before(func(string) bool {
		<-release
		return true
	})
	testwait.For(t, patience, func() bool { return !f.Fresh() })
	assert.Assert(t, f.Healthy(), "it must not count as fresh before its call has timed out")
}
