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
	"github.com/mangostage/mangostage/position"
)

const (
	// patience bounds each wait of these tests.
	patience = 10 * time.Second
	// applyBound is the time within which a configuration must be in force; a watch lasts
	// watchFraction of it.
	applyBound = 400 * time.Millisecond
)

// follow runs a follower of the store and returns it and the views that it publishes.
func follow(t *testing.T, store *standin.Store, relay discovery.Relay) (*discovery.Follower, <-chan *catalog.View) {
	t.Helper()
	return followLogged(t, store, relay, zerolog.Nop())
}

// followLogged is like follow, with a log.
func followLogged(t *testing.T, store *standin.Store, relay discovery.Relay, log zerolog.Logger) (*discovery.Follower, <-chan *catalog.View) {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	views := make(chan *catalog.View, 100)
	f := discovery.NewFollower(
		platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient, discovery.StoreTimeouts),
		relay, applyBound, log, func(v *catalog.View) { views <- v },
	)
	run(t, f)
	return f, views
}

// run runs a follower until the test ends.
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

// await waits for a view that meets the condition.
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
			t.Fatal("no such view was published in time")
		}
	}
}

func hasVersion(version uint64) func(*catalog.View) bool {
	return func(v *catalog.View) bool { return v.Index != nil && v.Index.Config.Version == version }
}

// Guards against a new route that stays unknown at one gateway, which answers 404: the
// configuration changed during the process's first list, between its reads of the
// configuration and of the first page of endpoints, and the watch began after the change.
func TestChangeDuringFirstList(t *testing.T) {
	for _, path := range []string{"/kv-range", "/kv-key"} {
		t.Run(path, func(t *testing.T) {
			store := standin.NewStore()
			putConfig(store, 21)
			putEndpoint(store, "a")
			var once sync.Once
			store.SetBeforeCall(func(called string) bool {
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

// Guards against a new route that answers 404 for seconds: the store dropped its history
// during a watch, and the watch did not return the change.
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

// All endpoints must be known if there are more than one page of the list holds.
func TestListOfSeveralPages(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	for i := range 130 {
		putEndpoint(store, fmt.Sprintf("i-%03d", i))
	}
	_, views := follow(t, store, nil)
	await(t, views, func(v *catalog.View) bool { return v.Len() == 130 })
}

// stubRelay is a peer with fixed items.
type stubRelay struct {
	items []platform.Item
	at    uint64
	// othersSteady means that the store has answered the peer without interruption.
	othersSteady bool
}

func (r stubRelay) OthersStoreSteady() bool { return r.othersSteady }

func (r stubRelay) Newer(context.Context, position.Knowledge) discovery.Batch {
	return discovery.Batch{Items: r.items, At: position.Position{Revision: r.at}}
}

func (r stubRelay) Follow(context.Context, position.Knowledge, time.Duration) (discovery.Batch, bool) {
	return discovery.Batch{}, false
}

func (r stubRelay) Informed(context.Context, position.Knowledge) (discovery.Batch, bool) {
	return discovery.Batch{}, false
}

func (r stubRelay) Compare(context.Context, position.Knowledge, uint64) discovery.Comparison {
	return discovery.Comparison{}
}

// Guards against a revoked key that one gateway still accepts because the store answers
// other processes but not this one. The process must read the changes from a peer.
func TestStoreRefusesThisProcess(t *testing.T) {
	store := standin.NewStore()
	store.SetBeforeCall(func(string) bool { return false })
	peer := stubRelay{at: 9, items: []platform.Item{
		{Key: platform.KeyConfig, Revision: 8, Value: []byte(`{"version":3,"routes":[],"services":[{"name":"s"}]}`)},
		{Key: platform.PrefixEndpoints + "a", Revision: 9, Value: []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`)},
	}}
	f, views := follow(t, store, peer)
	v := await(t, views, hasVersion(3))
	assert.Assert(t, v.Endpoint("a") != nil)
	assert.Assert(t, !f.Healthy())
}

// Guards against one gateway that sends orders to an endpoint that has left: its congested
// link carried no answers of the store for seconds, and afterwards it treats the removal as
// the lapse of a running endpoint. If the store has answered a peer without interruption, no
// lease has run out. Without such a peer the endpoint is kept for a while, because the store
// itself may have been down.
func TestOwnTroubleIsNoLapse(t *testing.T) {
	for _, steady := range []bool{true, false} {
		t.Run(fmt.Sprintf("peers steady %v", steady), func(t *testing.T) {
			store := standin.NewStore()
			putConfig(store, 1)
			putEndpoint(store, "a")
			_, views := follow(t, store, stubRelay{othersSteady: steady})
			await(t, views, func(v *catalog.View) bool { return v.Endpoint("a") != nil })
			restored := make(chan struct{})
			var calls atomic.Int64
			store.SetBeforeCall(func(string) bool {
				select {
				case <-restored:
					return true
				default:
					calls.Add(1)
					return false
				}
			})
			testwait.For(t, patience, func() bool { return calls.Load() > 1 })
			store.Remove(platform.PrefixEndpoints + "a")
			putEndpoint(store, "b")
			close(restored)
			v := await(t, views, func(v *catalog.View) bool { return v.Endpoint("b") != nil })
			assert.Equal(t, v.Endpoint("a") == nil, steady)
		})
	}
}

// A malformed item is left out and does not prevent others from being used.
func TestMalformedItem(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	store.Put(platform.PrefixEndpoints+"bad", []byte(`{`))
	putEndpoint(store, "good")
	_, views := follow(t, store, nil)
	await(t, views, func(v *catalog.View) bool { return v.Endpoint("good") != nil && v.Endpoint("bad") == nil })
}

// readerRelay follows a peer that reads the store for the fleet, until the peer is lost.
type readerRelay struct {
	follower *discovery.Follower
	lost     *atomic.Bool
}

func (r readerRelay) OthersStoreSteady() bool { return false }

func (r readerRelay) Newer(context.Context, position.Knowledge) discovery.Batch {
	return discovery.Batch{}
}

func (r readerRelay) Informed(context.Context, position.Knowledge) (discovery.Batch, bool) {
	return discovery.Batch{}, false
}

func (r readerRelay) Compare(context.Context, position.Knowledge, uint64) discovery.Comparison {
	return discovery.Comparison{}
}

func (r readerRelay) Follow(ctx context.Context, known position.Knowledge, wait time.Duration) (discovery.Batch, bool) {
	if r.lost.Load() {
		return discovery.Batch{}, false
	}
	return r.follower.Await(ctx, known.At, wait), true
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
	_, views = follow(t, idle, readerRelay{follower: first, lost: &lost})
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

// A revoked key worked for 2.8 s, with a bound of 2 s: both readers of the fleet were cut
// off from the store, their calls hung, and until the timeout they reported to their
// followers that nothing had changed.
func TestReaderWithAHangingStoreIsNotFresh(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "a")
	release := make(chan struct{})
	f, views := follow(t, store, nil)
	// Registered after follow, so that the calls to the store end before its server closes.
	t.Cleanup(func() { close(release) })
	await(t, views, hasVersion(1))
	// The time of the list's answer is recorded just after the view is published.
	testwait.For(t, patience, f.Fresh)
	store.SetBeforeCall(func(string) bool {
		<-release
		return true
	})
	testwait.For(t, patience, func() bool { return !f.Fresh() })
	assert.Assert(t, f.Healthy(), "it must not count as fresh before its call has timed out")
}
