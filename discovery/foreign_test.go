package discovery_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/discovery"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
	"github.com/mangostage/mangostage/position"
	"github.com/mangostage/mangostage/wire"
)

// listPositions are IDs that sort before, between and after the good endpoints "g1" and
// "g2" in a list. Foreign entries whose key itself is invalid keep their own ID.
var listPositions = map[string]string{"first": "a", "middle": "g1-", "last": "z"}

// singleReader is the fleet as seen by a member that follows one reader.
type singleReader struct{ conn *peer.Conn }

func (p singleReader) Ahead(position.Position) *peer.Conn { return p.conn }
func (singleReader) Informed(position.Knowledge) (*peer.Conn, position.Knowledge) {
	return nil, position.Knowledge{}
}

func (singleReader) OthersStoreSteady() bool { return false }

func (p singleReader) Readers() ([]*peer.Conn, bool) { return []*peer.Conn{p.conn}, false }

// selfReader is the fleet as seen by a member that reads the store itself.
type selfReader struct{ conn *peer.Conn }

func (p selfReader) Ahead(after position.Position) *peer.Conn {
	if !after.IsZero() {
		return nil
	}
	return p.conn
}
func (selfReader) Informed(position.Knowledge) (*peer.Conn, position.Knowledge) {
	return nil, position.Knowledge{}
}

func (selfReader) OthersStoreSteady() bool { return false }

func (p selfReader) Readers() ([]*peer.Conn, bool) { return nil, true }

// connect returns a connection to a process that serves the follower's items.
func connect(t *testing.T, f *discovery.Follower) *peer.Conn {
	t.Helper()
	mux := peer.NewMux()
	discovery.ServePeers(mux, f)
	server := node(t, "reader", mux)
	addr, err := server.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	conn, err := node(t, "member", peer.NewMux()).Dial(context.Background(), addr.String())
	assert.NilError(t, err)
	return conn
}

// node returns a peer node with a name; it is closed when the test ends.
func node(t *testing.T, name string, mux *peer.Mux) *peer.Node {
	t.Helper()
	hello := wire.Hello{Process: wire.Process{Name: name, Incarnation: "i1"}}
	n := peer.NewNode(peer.Config{Hello: func() wire.Hello { return hello }}, mux)
	t.Cleanup(n.Close)
	return n
}

// pair has a reader of the store and a member that follows it.
type pair struct {
	store          *standin.Store
	reader, member *discovery.Follower
	// watchGate is locked to keep the store from answering watches.
	watchGate sync.Mutex
	// blockedWatches is the number of watches that wait for watchGate.
	blockedWatches atomic.Int64
	log            lockedBuffer
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// count returns the number of lines that contain all parts.
func (b *lockedBuffer) count(parts ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.text.String()) {
		all := true
		for _, part := range parts {
			all = all && strings.Contains(line, part)
		}
		if all {
			n++
		}
	}
	return n
}

// newPair runs a reader of the store and a member that reaches the store only through it.
func newPair(t *testing.T, store *standin.Store) *pair {
	t.Helper()
	p := &pair{store: store}
	store.SetBeforeCall(func(path string) bool {
		if path == "/kv-watch" {
			p.blockedWatches.Add(1)
			p.watchGate.Lock()
			p.blockedWatches.Add(-1)
			p.watchGate.Unlock()
		}
		return true
	})
	p.reader, _ = followLogged(t, store, nil, zerolog.New(&p.log))
	unreachable := standin.NewStore()
	unreachable.SetBeforeCall(func(string) bool { return false })
	p.member, _ = follow(t, unreachable, discovery.NewPeerRelay(singleReader{conn: connect(t, p.reader)}, zerolog.Nop()))
	return p
}

// batch makes the reader receive the writes in one answer to a watch. An extra write ends
// the watch that is in progress.
func (p *pair) batch(t *testing.T, writes func()) {
	t.Helper()
	p.watchGate.Lock()
	defer p.watchGate.Unlock()
	p.store.Put("other/tick", nil)
	testwait.For(t, patience, func() bool { return p.blockedWatches.Load() > 0 })
	writes()
}

// awaitBoth waits until the reader's and the member's view meet the condition.
func (p *pair) awaitBoth(t *testing.T, want func(*catalog.View) bool) {
	t.Helper()
	testwait.For(t, patience, func() bool { return want(p.reader.View()) })
	testwait.For(t, patience, func() bool { return want(p.member.View()) })
}

// takesNewWork reports whether new work may go to the endpoint.
func takesNewWork(v *catalog.View, id string) bool {
	e := v.Endpoint(id)
	return e != nil && !e.Leaving
}

// hasOnlyGood reports whether exactly the good endpoints are in the view and get new work.
func hasOnlyGood(v *catalog.View) bool {
	return v.Ready() && takesNewWork(v, "g1") && takesNewWork(v, "g2") && v.Len() == 2 && len(v.Endpoints("s")) == 2
}

// forEachForeign runs the test with each foreign entry at each position in the list.
func forEachForeign(t *testing.T, test func(t *testing.T, id, raw string)) {
	for _, foreign := range standin.ForeignEntries() {
		for position, id := range listPositions {
			if foreign.ID != "i-foreign" {
				id = foreign.ID
			}
			t.Run(foreign.Name+" "+position, func(t *testing.T) {
				t.Parallel()
				test(t, id, foreign.Raw)
			})
		}
	}
}

// Guards against a starting fleet that answers 503 because of an earlier entry of another
// writer: no gateway could read the list that contains it, or the entry counted as an
// endpoint.
func TestForeignEntryInTheList(t *testing.T) {
	forEachForeign(t, func(t *testing.T, id, raw string) {
		store := standin.NewStore()
		putConfig(store, 1)
		putEndpoint(store, "g1")
		store.PutRaw(platform.PrefixEndpoints+id, raw)
		putEndpoint(store, "g2")
		p := newPair(t, store)
		p.awaitBoth(t, hasOnlyGood)
		testwait.For(t, patience, p.reader.Healthy)
		putConfig(store, 2)
		p.awaitBoth(t, hasVersion(2))
		assert.Assert(t, hasOnlyGood(p.reader.View()))
	})
}

// Guards against a new endpoint that gets no work, and a revoked key that still works: the
// change came in one batch with an entry of another writer, because of which this batch and
// all later ones were lost.
func TestForeignEntryInABatch(t *testing.T) {
	forEachForeign(t, func(t *testing.T, id, raw string) {
		store := standin.NewStore()
		putConfig(store, 1)
		putEndpoint(store, "old")
		p := newPair(t, store)
		p.awaitBoth(t, func(v *catalog.View) bool { return hasVersion(1)(v) && takesNewWork(v, "old") })
		p.batch(t, func() {
			if id < "g1" {
				store.PutRaw(platform.PrefixEndpoints+id, raw)
			}
			putEndpoint(store, "g1")
			if id > "g1" && id < "g2" {
				store.PutRaw(platform.PrefixEndpoints+id, raw)
			}
			putEndpoint(store, "g2")
			store.Remove(platform.PrefixEndpoints + "old")
			putConfig(store, 2)
			if id > "g2" {
				store.PutRaw(platform.PrefixEndpoints+id, raw)
			}
		})
		p.awaitBoth(t, func(v *catalog.View) bool { return hasVersion(2)(v) && hasOnlyGood(v) })
	})
}

// Guards against a fleet that, if it started while another writer's entry was the only one
// in the list, never accepts requests although endpoints are healthy later. It must not be
// ready because of an entry that names no endpoint either.
func TestForeignEntryAlone(t *testing.T) {
	for _, foreign := range standin.ForeignEntries() {
		t.Run(foreign.Name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			putConfig(store, 1)
			store.PutRaw(platform.PrefixEndpoints+foreign.ID, foreign.Raw)
			p := newPair(t, store)
			p.awaitBoth(t, hasVersion(1))
			assert.Assert(t, !p.reader.View().Ready())
			testwait.For(t, patience, p.reader.Healthy)
			putEndpoint(store, "g1")
			p.awaitBoth(t, func(v *catalog.View) bool { return v.Ready() && takesNewWork(v, "g1") && v.Len() == 1 })
		})
	}
}

// Guards against requests to an address that the store no longer has: another writer has
// overwritten a good entry, and the endpoint was kept in use. The endpoint's next heartbeat
// writes the entry again.
func TestGoodEntryIsOverwritten(t *testing.T) {
	for _, foreign := range standin.ForeignEntries() {
		if foreign.ID != "i-foreign" {
			continue
		}
		t.Run(foreign.Name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			putConfig(store, 1)
			putEndpoint(store, "g1")
			putEndpoint(store, "g2")
			p := newPair(t, store)
			p.awaitBoth(t, hasOnlyGood)
			store.PutRaw(platform.PrefixEndpoints+"g1", foreign.Raw)
			p.awaitBoth(t, func(v *catalog.View) bool { return v.Ready() && !takesNewWork(v, "g1") && takesNewWork(v, "g2") })
			putEndpoint(store, "g1")
			p.awaitBoth(t, hasOnlyGood)
		})
	}
}

// badConfigs are values that are not valid configurations.
var badConfigs = map[string]string{
	"empty":            `""`,
	"number":           `5`,
	"odd base64":       `"eyJ9e"`,
	"null":             encodeValue("null"),
	"list":             encodeValue("[]"),
	"text":             encodeValue("version 9"),
	"empty object":     encodeValue("{}"),
	"cut short":        encodeValue(`{"version":9,"routes":[`),
	"version as text":  encodeValue(`{"version":"9","routes":[],"services":[]}`),
	"version missing":  encodeValue(`{"routes":[],"services":[]}`),
	"version alone":    encodeValue(`{"version":9}`),
	"routes missing":   encodeValue(`{"version":9,"services":[]}`),
	"routes an object": encodeValue(`{"version":9,"routes":{},"services":[]}`),
	"unread bytes":     encodeValue("{\"version\":9,\"routes\":[],\"services\":[],\"x\":\"\xff\"}"),
	"huge":             encodeValue(strings.Repeat("9", 1<<20)),
}

// encodeValue returns a value as the store's JSON has it, in base64.
func encodeValue(value string) string {
	return `"` + base64.StdEncoding.EncodeToString([]byte(value)) + `"`
}

// Guards against routes that all answer 404, or later configurations that never come into
// force, after an invalid value was written under the configuration's key. The last valid
// configuration must stay in force, endpoints must be updated further, and the next valid
// configuration must replace it.
func TestConfigurationIsOverwritten(t *testing.T) {
	for name, value := range badConfigs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			putConfig(store, 1)
			putEndpoint(store, "g1")
			p := newPair(t, store)
			p.awaitBoth(t, func(v *catalog.View) bool { return hasVersion(1)(v) && takesNewWork(v, "g1") })
			p.batch(t, func() {
				store.PutRaw(platform.KeyConfig, value)
				putEndpoint(store, "g2")
			})
			p.awaitBoth(t, func(v *catalog.View) bool { return hasVersion(1)(v) && hasOnlyGood(v) })
			testwait.For(t, patience, p.reader.Healthy)
			putConfig(store, 2)
			p.awaitBoth(t, func(v *catalog.View) bool { return hasVersion(2)(v) && hasOnlyGood(v) })
		})
	}
}

// newOverwrittenPair returns a pair that has version 1 of the configuration, which another
// writer has overwritten in the store with the JSON text value.
func newOverwrittenPair(t *testing.T, value string) *pair {
	t.Helper()
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	p := newPair(t, store)
	p.awaitBoth(t, hasVersion(1))
	store.PutRaw(platform.KeyConfig, value)
	at := store.Put("other/tick", nil)
	testwait.For(t, patience, func() bool { return p.reader.At().Revision >= at })
	return p
}

// Guards against a starting gateway that never becomes ready although others serve requests:
// the value under the configuration's key is invalid, and only its peers have the last valid
// version. Here the gateway is one that reads the store itself.
func TestStartWhileTheConfigurationIsOverwritten(t *testing.T) {
	for name, value := range badConfigs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newOverwrittenPair(t, value)
			fresh, _ := follow(t, p.store, discovery.NewPeerRelay(selfReader{conn: connect(t, p.reader)}, zerolog.Nop()))
			testwait.For(t, patience, func() bool { return hasVersion(1)(fresh.View()) && fresh.View().Ready() })
			putConfig(p.store, 2)
			testwait.For(t, patience, func() bool { return hasVersion(2)(fresh.View()) })
		})
	}
}

// As above for a gateway that follows a reader, from which it hears of the last valid version
// and of the invalid one at once.
func TestFollowerStartsWhileTheConfigurationIsOverwritten(t *testing.T) {
	for name, value := range badConfigs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newOverwrittenPair(t, value)
			fresh, _ := follow(t, p.store, discovery.NewPeerRelay(singleReader{conn: connect(t, p.reader)}, zerolog.Nop()))
			testwait.For(t, patience, func() bool { return hasVersion(1)(fresh.View()) && fresh.View().Ready() })
		})
	}
}

// A fleet that starts without a valid configuration must not be ready, and must become ready
// with the first valid one.
func TestOnlyAnInvalidConfiguration(t *testing.T) {
	for name, value := range badConfigs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			store.PutRaw(platform.KeyConfig, value)
			putEndpoint(store, "g1")
			p := newPair(t, store)
			testwait.For(t, patience, p.reader.Healthy)
			assert.Assert(t, !p.reader.View().Ready())
			putConfig(store, 1)
			p.awaitBoth(t, func(v *catalog.View) bool { return hasVersion(1)(v) && v.Ready() })
		})
	}
}

// Guards against an endpoint of a new service that never gets work: it was listed before the
// configuration named its service, and its entry was dropped as another writer's.
func TestServiceIsNamedLater(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	store.Put(platform.PrefixEndpoints+"new", []byte(`{"service":"new","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`))
	p := newPair(t, store)
	p.awaitBoth(t, func(v *catalog.View) bool { return takesNewWork(v, "g1") && v.Endpoint("new") == nil })
	store.Put(platform.KeyConfig, []byte(`{"version":2,"routes":[],"services":[{"name":"s"},{"name":"new"}]}`))
	p.awaitBoth(t, func(v *catalog.View) bool { return hasVersion(2)(v) && takesNewWork(v, "new") && takesNewWork(v, "g1") })
}

// Guards against an endpoint that disappears, with results that clients still need, when the
// route that used it is removed. A service that the configuration no longer names must keep
// its endpoints, because requests of the previous version are still in flight there.
func TestServiceIsNoLongerNamed(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	p := newPair(t, store)
	p.awaitBoth(t, func(v *catalog.View) bool { return takesNewWork(v, "g1") })
	store.Put(platform.KeyConfig, []byte(`{"version":2,"routes":[],"services":[{"name":"t"}]}`))
	p.awaitBoth(t, func(v *catalog.View) bool { return hasVersion(2)(v) && takesNewWork(v, "g1") })
}

// Guards against a log that gets a line for each bad entry with every list or heartbeat, or
// none at all: each fault must be logged once per key and revision.
func TestFaultsAreLoggedOnce(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	store.Put(platform.PrefixEndpoints+"bad", []byte(`{`))
	store.Put(platform.PrefixEndpoints+"bad-too", []byte(`[]`))
	store.Put(platform.PrefixEndpoints+"nobody", []byte(`{"service":"t","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`))
	p := newPair(t, store)
	p.awaitBoth(t, func(v *catalog.View) bool { return v.Ready() && takesNewWork(v, "g1") })
	for i := range 3 {
		store.Put(platform.KeyConfig, []byte(`{"version":9,"routes":[{"slo_ms":"x"}]}`))
		store.Compact()
		id := fmt.Sprintf("later-%d", i)
		putEndpoint(store, id)
		p.awaitBoth(t, func(v *catalog.View) bool { return takesNewWork(v, id) })
	}
	const event = `"event":"store_item_malformed"`
	for _, key := range []string{"servers/bad", "servers/bad-too", "servers/nobody"} {
		testwait.For(t, patience, func() bool { return p.log.count(event, `"key":"`+key+`"`) == 1 })
	}
	testwait.For(t, patience, func() bool { return p.log.count(event, `"key":"op/config"`, "slo_ms") == 3 })
	store.Put(platform.PrefixEndpoints+"bad", []byte(`{`))
	testwait.For(t, patience, func() bool { return p.log.count(event, `"key":"servers/bad"`) == 2 })
}

// Guards against a gateway that learns of no further change: while its watch was interrupted,
// other writers filled the history with more than one answer may hold, and each attempt to
// read it failed. It must list instead, because the pages of a list are bounded.
func TestMoreHistoryThanOneAnswerHolds(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	p := newPair(t, store)
	p.awaitBoth(t, func(v *catalog.View) bool { return takesNewWork(v, "g1") })
	p.batch(t, func() {
		for range 5 {
			store.Put(platform.PrefixEndpoints+"huge", make([]byte, 1<<20))
		}
		putEndpoint(store, "g2")
	})
	p.awaitBoth(t, hasOnlyGood)
	testwait.For(t, patience, p.reader.Healthy)
}
