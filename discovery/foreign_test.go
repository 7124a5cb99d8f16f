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
	"github.com/mangostage/mangostage/wire"
)

// places are the IDs that stand before, between and behind the good endpoints
// "g1" and "g2" in a list. A fault in the key itself keeps its place.
var places = map[string]string{"first": "a", "middle": "g1-", "last": "z"}

// readingPeer is the fleet as a member sees it that follows one reader.
type readingPeer struct{ conn *peer.Conn }

func (p readingPeer) Ahead(uint64) *peer.Conn { return p.conn }
func (readingPeer) OthersStoreSteady() bool   { return false }

func (p readingPeer) Readers() ([]*peer.Conn, bool) { return []*peer.Conn{p.conn}, false }

// selfReader is the fleet as a member sees it that reads the store itself.
type selfReader struct{ conn *peer.Conn }

func (p selfReader) Ahead(after uint64) *peer.Conn {
	if after > 0 {
		return nil
	}
	return p.conn
}
func (selfReader) OthersStoreSteady() bool { return false }

func (p selfReader) Readers() ([]*peer.Conn, bool) { return nil, true }

// connect returns a connection to a process that serves the follower's knowledge.
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

func node(t *testing.T, name string, mux *peer.Mux) *peer.Node {
	t.Helper()
	hello := wire.Hello{Process: wire.Process{Name: name, Incarnation: "i1"}}
	n := peer.NewNode(peer.Config{Hello: func() wire.Hello { return hello }}, mux)
	t.Cleanup(n.Close)
	return n
}

// pair is a reader of the store and a member that follows it.
type pair struct {
	store          *standin.Store
	reader, member *discovery.Follower
	// turn is held to let the store answer no watch.
	turn sync.Mutex
	// waiting is the number of watches that wait for their turn.
	waiting atomic.Int64
	log     lockedBuffer
}

// lockedBuffer takes log lines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// count is the number of lines that contain all parts.
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

func newPair(t *testing.T, store *standin.Store) *pair {
	t.Helper()
	p := &pair{store: store}
	store.Before(func(path string) bool {
		if path == "/kv-watch" {
			p.waiting.Add(1)
			p.turn.Lock()
			p.waiting.Add(-1)
			p.turn.Unlock()
		}
		return true
	})
	p.reader, _ = followLogged(t, store, nil, zerolog.New(&p.log))
	none := standin.NewStore()
	none.Before(func(string) bool { return false })
	p.member, _ = follow(t, none, discovery.NewPeerRelay(readingPeer{conn: connect(t, p.reader)}, zerolog.Nop()))
	return p
}

// batch makes the writes reach the reader in one answer to a watch. The watch
// that stands is used up by a write of its own.
func (p *pair) batch(t *testing.T, writes func()) {
	t.Helper()
	p.turn.Lock()
	defer p.turn.Unlock()
	p.store.Put("other/tick", nil)
	testwait.For(t, patience, func() bool { return p.waiting.Load() > 0 })
	writes()
}

// both waits until the condition holds of the reader's and the member's view.
func (p *pair) both(t *testing.T, want func(*catalog.View) bool) {
	t.Helper()
	testwait.For(t, patience, func() bool { return want(p.reader.View()) })
	testwait.For(t, patience, func() bool { return want(p.member.View()) })
}

// uses tells whether new work may go to the endpoint.
func uses(v *catalog.View, id string) bool {
	e := v.Endpoint(id)
	return e != nil && !e.Leaving
}

// onlyGood tells that just the good endpoints are known, and are used.
func onlyGood(v *catalog.View) bool {
	return v.Ready() && uses(v, "g1") && uses(v, "g2") && v.Len() == 2 && len(v.Endpoints("s")) == 2
}

// eachForeign runs the test with each foreign entry at each place.
func eachForeign(t *testing.T, test func(t *testing.T, id, raw string)) {
	for _, foreign := range standin.ForeignEntries() {
		for place, id := range places {
			if foreign.ID != "i-foreign" {
				id = foreign.ID
			}
			t.Run(foreign.Name+" "+place, func(t *testing.T) {
				t.Parallel()
				test(t, id, foreign.Raw)
			})
		}
	}
}

// Users get 503 from a fleet that starts: another writer left an entry in the
// store before, and the list with it was read by no gateway, or the entry was
// taken for an endpoint.
func TestForeignEntryInTheList(t *testing.T) {
	eachForeign(t, func(t *testing.T, id, raw string) {
		store := standin.NewStore()
		putConfig(store, 1)
		putEndpoint(store, "g1")
		store.PutRaw(platform.PrefixEndpoints+id, raw)
		putEndpoint(store, "g2")
		p := newPair(t, store)
		p.both(t, onlyGood)
		testwait.For(t, patience, p.reader.Healthy)
		putConfig(store, 2)
		p.both(t, hasVersion(2))
		assert.Assert(t, onlyGood(p.reader.View()))
	})
}

// A new endpoint gets nothing, and a key that was taken away still works: the
// change came in one batch with another writer's entry, and with it the batch
// and all later ones were lost.
func TestForeignEntryInABatch(t *testing.T) {
	eachForeign(t, func(t *testing.T, id, raw string) {
		store := standin.NewStore()
		putConfig(store, 1)
		putEndpoint(store, "old")
		p := newPair(t, store)
		p.both(t, func(v *catalog.View) bool { return hasVersion(1)(v) && uses(v, "old") })
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
		p.both(t, func(v *catalog.View) bool { return hasVersion(2)(v) && onlyGood(v) })
	})
}

// All endpoints are well, and a fleet that started while another writer's
// entry stood alone in the list takes no requests for good. Nor may it call
// itself ready for an entry that names no endpoint.
func TestForeignEntryAlone(t *testing.T) {
	for _, foreign := range standin.ForeignEntries() {
		t.Run(foreign.Name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			putConfig(store, 1)
			store.PutRaw(platform.PrefixEndpoints+foreign.ID, foreign.Raw)
			p := newPair(t, store)
			p.both(t, hasVersion(1))
			assert.Assert(t, !p.reader.View().Ready())
			testwait.For(t, patience, p.reader.Healthy)
			putEndpoint(store, "g1")
			p.both(t, func(v *catalog.View) bool { return v.Ready() && uses(v, "g1") && v.Len() == 1 })
		})
	}
}

// Requests go on to an address that the store names no longer: another writer
// overwrote a good entry, and the endpoint was kept as it had been. The
// endpoint's next heartbeat writes the entry again.
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
			p.both(t, onlyGood)
			store.PutRaw(platform.PrefixEndpoints+"g1", foreign.Raw)
			p.both(t, func(v *catalog.View) bool { return v.Ready() && !uses(v, "g1") && uses(v, "g2") })
			putEndpoint(store, "g1")
			p.both(t, onlyGood)
		})
	}
}

// badConfigs are values under the configuration's key that are none.
var badConfigs = map[string]string{
	"empty":            `""`,
	"number":           `5`,
	"odd base64":       `"eyJ9e"`,
	"null":             raw("null"),
	"list":             raw("[]"),
	"text":             raw("version 9"),
	"empty object":     raw("{}"),
	"cut short":        raw(`{"version":9,"routes":[`),
	"version as text":  raw(`{"version":"9","routes":[],"services":[]}`),
	"version missing":  raw(`{"routes":[],"services":[]}`),
	"version alone":    raw(`{"version":9}`),
	"routes missing":   raw(`{"version":9,"services":[]}`),
	"routes an object": raw(`{"version":9,"routes":{},"services":[]}`),
	"unread bytes":     raw("{\"version\":9,\"routes\":[],\"services\":[],\"x\":\"\xff\"}"),
	"huge":             raw(strings.Repeat("9", 1<<20)),
}

func raw(value string) string { return `"` + base64.StdEncoding.EncodeToString([]byte(value)) + `"` }

// All routes answer 404, or new configurations are never taken: something that
// is no configuration was written under its key. The last good one stays in
// force, the list of endpoints goes on, and the next good one takes over.
func TestConfigurationIsOverwritten(t *testing.T) {
	for name, value := range badConfigs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			putConfig(store, 1)
			putEndpoint(store, "g1")
			p := newPair(t, store)
			p.both(t, func(v *catalog.View) bool { return hasVersion(1)(v) && uses(v, "g1") })
			p.batch(t, func() {
				store.PutRaw(platform.KeyConfig, value)
				putEndpoint(store, "g2")
			})
			p.both(t, func(v *catalog.View) bool { return hasVersion(1)(v) && onlyGood(v) })
			testwait.For(t, patience, p.reader.Healthy)
			putConfig(store, 2)
			p.both(t, func(v *catalog.View) bool { return hasVersion(2)(v) && onlyGood(v) })
		})
	}
}

// A gateway that is started anew never becomes ready, beside others that serve:
// what stands under the configuration's key is none, and only its peers know
// the last good version. It reads the store itself, or follows one that does.
func TestStartWhileTheConfigurationIsOverwritten(t *testing.T) {
	for name, value := range badConfigs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			putConfig(store, 1)
			putEndpoint(store, "g1")
			p := newPair(t, store)
			p.both(t, hasVersion(1))
			store.PutRaw(platform.KeyConfig, value)
			at := store.Put("other/tick", nil)
			testwait.For(t, patience, func() bool { return p.reader.At() >= at })
			fresh, _ := follow(t, store, discovery.NewPeerRelay(selfReader{conn: connect(t, p.reader)}, zerolog.Nop()))
			testwait.For(t, patience, func() bool { return hasVersion(1)(fresh.View()) && fresh.View().Ready() })
			putConfig(store, 2)
			testwait.For(t, patience, func() bool { return hasVersion(2)(fresh.View()) })
		})
	}
}

// A fleet that starts with no good configuration at all is not ready, and is
// with the first good one.
func TestNoConfigurationButABadOne(t *testing.T) {
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
			p.both(t, func(v *catalog.View) bool { return hasVersion(1)(v) && v.Ready() })
		})
	}
}

// An endpoint of a new service gets nothing for good: it was listed before the
// configuration named its service, and was forgotten as another writer's.
func TestServiceIsNamedLater(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	store.Put(platform.PrefixEndpoints+"new", []byte(`{"service":"new","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`))
	p := newPair(t, store)
	p.both(t, func(v *catalog.View) bool { return uses(v, "g1") && v.Endpoint("new") == nil })
	store.Put(platform.KeyConfig, []byte(`{"version":2,"routes":[],"services":[{"name":"s"},{"name":"new"}]}`))
	p.both(t, func(v *catalog.View) bool { return hasVersion(2)(v) && uses(v, "new") && uses(v, "g1") })
}

// A client that holds an endpoint's results sees it vanish with the route that
// used it: a service that the configuration no longer names keeps its
// endpoints, since requests of the version before are still under way there.
func TestServiceIsNoLongerNamed(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	p := newPair(t, store)
	p.both(t, func(v *catalog.View) bool { return uses(v, "g1") })
	store.Put(platform.KeyConfig, []byte(`{"version":2,"routes":[],"services":[{"name":"t"}]}`))
	p.both(t, func(v *catalog.View) bool { return hasVersion(2)(v) && uses(v, "g1") })
}

// The log fills with one line for each bad entry and list or heartbeat, or
// tells nothing: each fault is logged once for each key and revision.
func TestFaultsAreLoggedOnce(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	store.Put(platform.PrefixEndpoints+"bad", []byte(`{`))
	store.Put(platform.PrefixEndpoints+"bad-too", []byte(`[]`))
	store.Put(platform.PrefixEndpoints+"nobody", []byte(`{"service":"t","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`))
	p := newPair(t, store)
	p.both(t, func(v *catalog.View) bool { return v.Ready() && uses(v, "g1") })
	for i := range 3 {
		store.Put(platform.KeyConfig, []byte(`{"version":9,"routes":[{"slo_ms":"x"}]}`))
		store.Compact()
		id := fmt.Sprintf("later-%d", i)
		putEndpoint(store, id)
		p.both(t, func(v *catalog.View) bool { return uses(v, id) })
	}
	const event = `"event":"store_item_malformed"`
	for _, key := range []string{"servers/bad", "servers/bad-too", "servers/nobody"} {
		testwait.For(t, patience, func() bool { return p.log.count(event, `"key":"`+key+`"`) == 1 })
	}
	testwait.For(t, patience, func() bool { return p.log.count(event, `"key":"op/config"`, "slo_ms") == 3 })
	store.Put(platform.PrefixEndpoints+"bad", []byte(`{`))
	testwait.For(t, patience, func() bool { return p.log.count(event, `"key":"servers/bad"`) == 2 })
}

// A gateway hears of no change for good: while its watch was cut, other writers
// filled the history with more than one answer may hold, and each try to read
// it failed. A list, whose pages are bounded, gets past it.
func TestMoreHistoryThanOneAnswerHolds(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpoint(store, "g1")
	p := newPair(t, store)
	p.both(t, func(v *catalog.View) bool { return uses(v, "g1") })
	p.batch(t, func() {
		for range 5 {
			store.Put(platform.PrefixEndpoints+"huge", make([]byte, 1<<20))
		}
		putEndpoint(store, "g2")
	})
	p.both(t, onlyGood)
	testwait.For(t, patience, p.reader.Healthy)
}
