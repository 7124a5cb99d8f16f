package discovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/discovery"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
	"github.com/mangostage/mangostage/position"
)

const (
	// weakLink is the link of the weakest VMs, 10 Mbit/s, in bytes per second.
	weakLink = 10e6 / 8
	// largeBound is the time within which a configuration must be in force on such a VM.
	largeBound = 3 * time.Second
	// largeRoutes is a number of routes that a deployment reached after its operator had
	// added routes three times; the configuration has about 0.8 MB.
	largeRoutes = 4200
)

// largeConfig returns a configuration with the given number of routes with random names.
func largeConfig(version, routes int) []byte {
	random := rand.New(rand.NewPCG(7, 7))
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"services":[{"name":"s"}],"routes":[`, version)
	for i := range routes {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"route-%06x","host":"h%03x.example","prefix":"/%08x/%08x/","service":"s",`+
			`"route_kind":"idempotent","timeout_ms":2000,"slo_ms":300,"max_attempts":2,"priority":2}`,
			random.Uint32()>>8, random.IntN(4096), random.Uint32(), random.Uint32())
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}

// smallStore serves a store with a small configuration.
func smallStore(t *testing.T) (store *standin.Store, addr string) {
	t.Helper()
	store = standin.NewStore()
	store.Put(platform.KeyConfig, largeConfig(1, 10))
	putEndpoint(store, "a")
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, strings.TrimPrefix(server.URL, "http://")
}

// weakMember runs a follower that reaches the store, at an address, over the link; relay may
// be nil.
func weakMember(t *testing.T, link *throttledLink, store string, relay discovery.Relay) *discovery.Follower {
	t.Helper()
	f := discovery.NewFollower(
		platform.NewStore(link.proxy(t, store), &http.Client{Transport: &http.Transport{}}, discovery.StoreTimeouts),
		relay, largeBound, zerolog.Nop(), func(*catalog.View) {},
	)
	run(t, f)
	return f
}

// dialOver returns a connection over the link to a process that serves the follower's
// items.
func dialOver(t *testing.T, link *throttledLink, f *discovery.Follower) *peer.Conn {
	t.Helper()
	mux := peer.NewMux()
	discovery.ServePeers(mux, f)
	addr, err := node(t, "reader", mux).Listen("127.0.0.1:0")
	assert.NilError(t, err)
	conn, err := node(t, "member", peer.NewMux()).Dial(context.Background(), link.proxy(t, addr.String()))
	assert.NilError(t, err)
	return conn
}

// awaitVersion waits until the follower has the version in force. It returns how long that
// took, and false if it took longer than patience.
func awaitVersion(f *discovery.Follower, version uint64, patience time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < patience {
		if view := f.View(); view.Index != nil && view.Index.Config.Version >= version {
			return time.Since(began), true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return patience, false
}

// Guards against a new route that answers 404 at some gateways for ten seconds and more. The
// configuration has grown to 0.8 MB and changes in quick succession. A gateway behind a link
// of 10 Mbit/s timed out its reader's answer, then the store's, before the last bytes
// arrived, and requested all of it again while the abandoned answers still filled the link,
// so that none ever arrived.
func TestLargeConfigOverWeakLink(t *testing.T) {
	store, addr := smallStore(t)
	reader, views := follow(t, store, nil)
	await(t, views, hasVersion(1))
	link := &throttledLink{bytesPerSecond: weakLink}
	relay := discovery.NewPeerRelay(singleReader{conn: dialOver(t, link, reader)}, zerolog.Nop())
	member := weakMember(t, link, addr, relay)
	_, ok := awaitVersion(member, 1, patience)
	assert.Assert(t, ok, "the first configuration did not arrive")

	before := link.bytesCarried()
	const versions = 4
	for version := 2; version <= versions; version++ {
		time.Sleep(largeBound / 3)
		store.Put(platform.KeyConfig, largeConfig(version, largeRoutes))
	}
	took, ok := awaitVersion(member, versions, largeBound)
	carried := link.bytesCarried() - before
	t.Logf("version %d after %v, %d kB over the link", versions, took, carried/1000)
	assert.Assert(t, ok, "version %d is not in force after %v; %d kB went over the link", versions, largeBound, carried/1000)
	// At most each version once: abandoned bytes only fill the link.
	most := int64((versions - 1) * len(largeConfig(versions, largeRoutes)))
	assert.Assert(t, carried <= most, "%d kB went over the link for %d kB of configurations", carried/1000, most/1000)
}

// As above at a gateway that reads the store itself, as after it was cut off from its peers:
// several versions are written while one is being transferred, the next answer contains all
// of them, and it never arrives within the timeout.
func TestLargeConfigsFromStoreOverWeakLink(t *testing.T) {
	store, addr := smallStore(t)
	link := &throttledLink{bytesPerSecond: weakLink}
	member := weakMember(t, link, addr, nil)
	_, ok := awaitVersion(member, 1, patience)
	assert.Assert(t, ok, "the first configuration did not arrive")

	const versions = 4
	for version := 2; version <= versions; version++ {
		store.Put(platform.KeyConfig, largeConfig(version, largeRoutes))
		time.Sleep(200 * time.Millisecond)
	}
	_, ok = awaitVersion(member, versions, 2*largeBound)
	assert.Assert(t, ok, "version %d is not in force after %v; %d kB went over the link",
		versions, 2*largeBound, link.bytesCarried()/1000)
}

// multipleReaders is the fleet as seen by a member that can follow several readers.
type multipleReaders struct{ conns []*peer.Conn }

func (r multipleReaders) Ahead(position.Position) *peer.Conn { return nil }
func (r multipleReaders) Informed(position.Knowledge) (*peer.Conn, position.Knowledge) {
	return nil, position.Knowledge{}
}

func (r multipleReaders) OthersStoreSteady() bool       { return false }
func (r multipleReaders) Readers() ([]*peer.Conn, bool) { return r.conns, false }

// twoReaders returns a member that follows two readers over a link, and the store that it
// would ask if both failed.
func twoReaders(t *testing.T, link *throttledLink, store *standin.Store) (member *discovery.Follower, conns []*peer.Conn, own *standin.Store) {
	t.Helper()
	for range 2 {
		reader, views := follow(t, store, nil)
		await(t, views, hasVersion(1))
		testwait.For(t, patience, reader.Fresh)
		conns = append(conns, dialOver(t, link, reader))
	}
	own = standin.NewStore()
	own.SetBeforeCall(func(string) bool { return false })
	server := httptest.NewServer(own)
	t.Cleanup(server.Close)
	relay := discovery.NewPeerRelay(multipleReaders{conns: conns}, zerolog.Nop())
	member = weakMember(t, link, strings.TrimPrefix(server.URL, "http://"), relay)
	_, ok := awaitVersion(member, 1, patience)
	assert.Assert(t, ok, "the first configuration did not arrive")
	return member, conns, own
}

// A reader is killed while it sends a large configuration. Its followers must request the
// missing parts from the next reader: otherwise all would turn to the store at once, each
// for the whole configuration.
func TestReaderLostInALargeConfig(t *testing.T) {
	store := standin.NewStore()
	store.Put(platform.KeyConfig, largeConfig(1, 10))
	putEndpoint(store, "a")
	// Slow enough that the configuration, 90 kB packed, takes more than a second.
	link := &throttledLink{bytesPerSecond: 80e3}
	member, conns, own := twoReaders(t, link, store)
	calls := own.Calls()
	before := link.bytesCarried()
	store.Put(platform.KeyConfig, largeConfig(2, largeRoutes))
	testwait.For(t, patience, func() bool { return link.bytesCarried()-before > 50e3 })
	assert.Equal(t, member.View().Index.Config.Version, uint64(1), "the configuration arrived too early for this test")
	conns[0].Close()
	_, ok := awaitVersion(member, 2, patience)
	assert.Assert(t, ok, "the configuration did not arrive from the other reader")
	assert.Equal(t, own.Calls(), calls)
	assert.Assert(t, link.bytesCarried()-before < 170e3, "%d bytes went over the link: parts were sent twice", link.bytesCarried()-before)
}

// An endpoint leaves while a large configuration is being transferred over a link that takes
// seconds for it. The member must learn of it before the configuration is complete, so that
// it sends no requests to the endpoint meanwhile.
func TestEndpointLeavesDuringALargeConfig(t *testing.T) {
	store := standin.NewStore()
	store.Put(platform.KeyConfig, largeConfig(1, 10))
	putEndpoint(store, "a")
	putEndpoint(store, "b")
	link := &throttledLink{bytesPerSecond: 60e3}
	member, _, _ := twoReaders(t, link, store)
	testwait.For(t, patience, func() bool { return member.View().Len() == 2 })
	before := link.bytesCarried()
	store.Put(platform.KeyConfig, largeConfig(2, largeRoutes))
	testwait.For(t, patience, func() bool { return link.bytesCarried()-before > 10e3 })
	store.Remove(platform.PrefixEndpoints + "b")
	testwait.For(t, patience, func() bool { return member.View().Len() == 1 })
	assert.Equal(t, member.View().Index.Config.Version, uint64(1), "the removal arrived only with the configuration")
	_, ok := awaitVersion(member, 2, patience)
	assert.Assert(t, ok, "the configuration did not arrive")
}
