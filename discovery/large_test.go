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
)

const (
	// weakLink is the link of the weakest VMs, 10 Mbit/s, in bytes per second.
	weakLink = 10e6 / 8
	// largeBound is the time within which a configuration must be in force there.
	largeBound = 3 * time.Second
	// largeRoutes make a configuration of the size that a deployment had whose
	// operator added routes three times: about 0.8 MB.
	largeRoutes = 4200
)

// largeConfig returns a configuration with so many routes of random names.
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

// smallStore serves a store whose configuration is not large yet.
func smallStore(t *testing.T) (store *standin.Store, addr string) {
	t.Helper()
	store = standin.NewStore()
	store.Put(platform.KeyConfig, largeConfig(1, 10))
	putEndpoint(store, "a")
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, strings.TrimPrefix(server.URL, "http://")
}

// weakMember runs a follower that reaches the store over the link; relay may be nil.
func weakMember(t *testing.T, link *narrowLink, store string, relay discovery.Relay) *discovery.Follower {
	t.Helper()
	f := discovery.NewFollower(
		platform.NewStore(link.to(t, store), &http.Client{Transport: &http.Transport{}}, discovery.StorePatience),
		relay, largeBound, zerolog.Nop(), func(*catalog.View) {},
	)
	run(t, f)
	return f
}

// dialOver returns a connection over the link to a process that serves the
// follower's knowledge.
func dialOver(t *testing.T, link *narrowLink, f *discovery.Follower) *peer.Conn {
	t.Helper()
	mux := peer.NewMux()
	discovery.ServePeers(mux, f)
	addr, err := node(t, "reader", mux).Listen("127.0.0.1:0")
	assert.NilError(t, err)
	conn, err := node(t, "member", peer.NewMux()).Dial(context.Background(), link.to(t, addr.String()))
	assert.NilError(t, err)
	return conn
}

// inForce waits until the follower has the version and returns how long it took.
func inForce(f *discovery.Follower, version uint64, patience time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < patience {
		if view := f.View(); view.Index != nil && view.Index.Config.Version >= version {
			return time.Since(began), true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return patience, false
}

// A route that the operator added answers 404 at some gateways for ten seconds
// and more. The configuration has grown to 0.8 MB and is changed twice; a
// gateway behind a link of 10 Mbit/s gives up its reader's answer, then the
// store's, before the last bytes are there, and asks again from the start, while
// what it gave up still fills the link. Its link is full and nothing gets through.
func TestLargeConfigOverWeakLink(t *testing.T) {
	store, addr := smallStore(t)
	reader, views := follow(t, store, nil)
	await(t, views, hasVersion(1))
	link := &narrowLink{bytesPerSecond: weakLink}
	relay := discovery.NewPeerRelay(readingPeer{conn: dialOver(t, link, reader)}, zerolog.Nop())
	member := weakMember(t, link, addr, relay)
	_, ok := inForce(member, 1, patience)
	assert.Assert(t, ok, "the first configuration did not come")

	before := link.total()
	const versions = 4
	for version := 2; version <= versions; version++ {
		time.Sleep(largeBound / 3)
		store.Put(platform.KeyConfig, largeConfig(version, largeRoutes))
	}
	took, ok := inForce(member, versions, largeBound)
	carried := link.total() - before
	t.Logf("version %d after %v, %d kB over the link", versions, took, carried/1000)
	assert.Assert(t, ok, "version %d is not in force after %v; %d kB went over the link", versions, largeBound, carried/1000)
	// Each version once and no more: bytes that are given up serve nobody.
	most := int64((versions - 1) * len(largeConfig(versions, largeRoutes)))
	assert.Assert(t, carried <= most, "%d kB went over the link for %d kB of configurations", carried/1000, most/1000)
}

// The same at a gateway that reads the store itself, as one that is cut off from
// its peers does: several versions are written while one is on its way, all of
// them are in the next answer, and that never gets through within its time limit.
func TestLargeConfigsFromStoreOverWeakLink(t *testing.T) {
	store, addr := smallStore(t)
	link := &narrowLink{bytesPerSecond: weakLink}
	member := weakMember(t, link, addr, nil)
	_, ok := inForce(member, 1, patience)
	assert.Assert(t, ok, "the first configuration did not come")

	const versions = 4
	for version := 2; version <= versions; version++ {
		store.Put(platform.KeyConfig, largeConfig(version, largeRoutes))
		time.Sleep(200 * time.Millisecond)
	}
	_, ok = inForce(member, versions, 2*largeBound)
	assert.Assert(t, ok, "version %d is not in force after %v; %d kB went over the link",
		versions, 2*largeBound, link.total()/1000)
}

// readers is the fleet as a member sees it that has several readers.
type readers struct{ conns []*peer.Conn }

func (r readers) Ahead(uint64) *peer.Conn       { return nil }
func (r readers) OthersStoreSteady() bool       { return false }
func (r readers) Readers() ([]*peer.Conn, bool) { return r.conns, false }

// twoReaders returns a member over a link with two readers, and the store that
// it would ask if both failed.
func twoReaders(t *testing.T, link *narrowLink, store *standin.Store) (member *discovery.Follower, conns []*peer.Conn, own *standin.Store) {
	t.Helper()
	for range 2 {
		reader, views := follow(t, store, nil)
		await(t, views, hasVersion(1))
		testwait.For(t, patience, reader.Fresh)
		conns = append(conns, dialOver(t, link, reader))
	}
	own = standin.NewStore()
	own.Before(func(string) bool { return false })
	server := httptest.NewServer(own)
	t.Cleanup(server.Close)
	relay := discovery.NewPeerRelay(readers{conns: conns}, zerolog.Nop())
	member = weakMember(t, link, strings.TrimPrefix(server.URL, "http://"), relay)
	_, ok := inForce(member, 1, patience)
	assert.Assert(t, ok, "the first configuration did not come")
	return member, conns, own
}

// A reader is killed while it passes a large configuration on. All that follow
// it would turn to the store at once, each for the whole configuration; they go
// on at the next reader with what is missing.
func TestReaderLostInALargeConfig(t *testing.T) {
	store := standin.NewStore()
	store.Put(platform.KeyConfig, largeConfig(1, 10))
	putEndpoint(store, "a")
	// Slow enough that the configuration, 90 kB packed, takes more than a second.
	link := &narrowLink{bytesPerSecond: 80e3}
	member, conns, own := twoReaders(t, link, store)
	calls := own.Calls()
	before := link.total()
	store.Put(platform.KeyConfig, largeConfig(2, largeRoutes))
	testwait.For(t, patience, func() bool { return link.total()-before > 50e3 })
	assert.Equal(t, member.View().Index.Config.Version, uint64(1), "the configuration came too soon for this test")
	conns[0].Close()
	_, ok := inForce(member, 2, patience)
	assert.Assert(t, ok, "the configuration did not come from the other reader")
	assert.Equal(t, own.Calls(), calls)
	assert.Assert(t, link.total()-before < 170e3, "%d bytes went over the link: parts came twice", link.total()-before)
}

// An endpoint leaves while a large configuration is on its way over a link that
// needs seconds for it. Requests must not go to the endpoint for so long.
func TestEndpointLeavesDuringALargeConfig(t *testing.T) {
	store := standin.NewStore()
	store.Put(platform.KeyConfig, largeConfig(1, 10))
	putEndpoint(store, "a")
	putEndpoint(store, "b")
	link := &narrowLink{bytesPerSecond: 60e3}
	member, _, _ := twoReaders(t, link, store)
	testwait.For(t, patience, func() bool { return member.View().Len() == 2 })
	before := link.total()
	store.Put(platform.KeyConfig, largeConfig(2, largeRoutes))
	testwait.For(t, patience, func() bool { return link.total()-before > 10e3 })
	store.Remove(platform.PrefixEndpoints + "b")
	testwait.For(t, patience, func() bool { return member.View().Len() == 1 })
	assert.Equal(t, member.View().Index.Config.Version, uint64(1), "the endpoint was heard of only with the configuration")
	_, ok := inForce(member, 2, patience)
	assert.Assert(t, ok, "the configuration did not come")
}
