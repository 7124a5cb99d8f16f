package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/discovery"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// putIn lists an endpoint in a failure domain.
func putIn(s *standin.Store, id, domain string) {
	s.Put(platform.PrefixEndpoints+id, fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":%q,"slots":8,"state":"ready"}`, domain))
}

// working tells that just the endpoints with these IDs take work.
func working(ids ...string) func(*catalog.View) bool {
	return func(v *catalog.View) bool {
		n := 0
		for e := range v.All() {
			if e.TakesWork() {
				n++
			}
		}
		for _, id := range ids {
			if e := v.Present(id); e == nil || !e.TakesWork() {
				return false
			}
		}
		return n == len(ids)
	}
}

// Operators empty a failure domain before work on it, and requests still go
// there: nothing read what they had written. It holds for endpoints that come
// later too, for two domains at once, and until it is taken back; a process that
// starts, or that lost the store's history, knows of it as well.
func TestEvacuatedDomainGetsNoWork(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putIn(store, "a", "north")
	putIn(store, "b", "south")
	p := newPair(t, store)
	p.both(t, working("a", "b"))
	store.Put(platform.PrefixEvacuations+"north", nil)
	p.both(t, working("b"))
	putIn(store, "a2", "north")
	putIn(store, "b2", "south")
	p.both(t, working("b", "b2"))
	store.Put(platform.PrefixEvacuations+"south", nil)
	p.both(t, working())

	_, views := follow(t, store, nil)
	await(t, views, func(v *catalog.View) bool { return v.Len() == 4 && working()(v) })

	p.batch(t, func() {
		store.Remove(platform.PrefixEvacuations + "north")
		store.Compact()
	})
	p.both(t, working("a", "a2"))
	store.Remove(platform.PrefixEvacuations + "south")
	p.both(t, working("a", "a2", "b", "b2"))
}

// What another writer leaves there changes nothing else.
func TestForeignEvacuation(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putIn(store, "a", "north")
	store.Put(platform.PrefixEvacuations, nil)
	store.PutRaw(platform.PrefixEvacuations+"nowhere", `{"no":"text"}`)
	p := newPair(t, store)
	p.both(t, working("a"))
	putConfig(store, 2)
	p.both(t, hasVersion(2))
	assert.Assert(t, working("a")(p.reader.View()))
}

// evacuations is the naive counterpart: the newest news of each domain.
type evacuations map[string]platform.Item

func (e evacuations) apply(item platform.Item) {
	if item.Revision > e[item.Key].Revision {
		e[item.Key] = item
	}
}

func (e evacuations) of(domain string) bool {
	item, ok := e[platform.PrefixEvacuations+domain]
	return ok && !item.Gone
}

// However news come, twice, late or out of order, from the store or from peers,
// the last word of the operator holds, and an endpoint takes work if and only if
// its domain is not evacuated.
func TestEvacuationsInAnyOrder(t *testing.T) {
	domains := []string{"north", "south", "east"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		state := discovery.NewState()
		state.Apply(now, platform.Item{Key: platform.KeyConfig, Revision: 1, Value: []byte(`{"version":1,"routes":[],"services":[{"name":"s"}]}`)})
		for i, domain := range domains {
			state.Apply(now, endpointItem(domain, domain, uint64(i)+2))
		}
		naive := make(evacuations)
		for range rapid.IntRange(0, 30).Draw(t, "news") {
			item := platform.Item{
				Key:      platform.PrefixEvacuations + rapid.SampledFrom(domains).Draw(t, "domain"),
				Revision: rapid.Uint64Range(5, 40).Draw(t, "revision"),
			}
			// The store's word on one revision never changes.
			item.Gone = item.Revision%2 == 0
			state.Apply(now, item)
			naive.apply(item)
		}
		relayed := discovery.NewState()
		for _, item := range state.Since(0) {
			relayed.Apply(now, item)
		}
		for _, view := range []*catalog.View{state.View(now), relayed.View(now)} {
			for _, domain := range domains {
				assert.Equal(t, view.Present(domain).TakesWork(), !naive.of(domain), "domain %s", domain)
			}
		}
	})
}

func endpointItem(id, domain string, revision uint64) platform.Item {
	return platform.Item{Key: platform.PrefixEndpoints + id, Revision: revision, Value: fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":%q,"slots":8,"state":"ready"}`, domain)}
}

// Endpoints that come back after an evacuation are cold and crash under what
// they got before. Their own word comes with a heartbeat, which is too late.
func TestTakenBackDomainIsCold(t *testing.T) {
	const config = `{"version":1,"routes":[],"services":[{"name":"s","cold_start_s":3,"cold_per_s":11}]}`
	now := time.Now()
	state := discovery.NewState()
	state.Apply(now, platform.Item{Key: platform.KeyConfig, Revision: 1, Value: []byte(config)})
	state.Apply(now, endpointItem("a", "north", 2))
	state.Apply(now, endpointItem("b", "south", 3))
	assert.Assert(t, !state.View(now).Present("a").Cold(now))

	key := platform.PrefixEvacuations + "north"
	state.Apply(now, platform.Item{Key: key, Revision: 4})
	back := now.Add(time.Minute)
	state.Apply(back, platform.Item{Key: key, Revision: 5, Gone: true})
	view := state.View(back)
	a := view.Present("a")
	assert.Assert(t, a.TakesWork() && a.Cold(back) && a.Cold(back.Add(2999*time.Millisecond)))
	assert.Equal(t, a.ColdRate, 11.0)
	assert.Assert(t, !a.Cold(back.Add(3*time.Second)))
	assert.Assert(t, !view.Present("b").Cold(back))
}

// An endpoint says itself how long it is cold; a later entry replaces that.
func TestEndpointThatSaysItIsCold(t *testing.T) {
	const config = `{"version":1,"routes":[],"services":[{"name":"s","cold_start_s":3,"cold_per_s":11}]}`
	now := time.Now()
	state := discovery.NewState()
	state.Apply(now, platform.Item{Key: platform.KeyConfig, Revision: 1, Value: []byte(config)})
	entry := func(revision uint64, left int) platform.Item {
		return platform.Item{Key: platform.PrefixEndpoints + "a", Revision: revision, Value: fmt.Appendf(nil,
			`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready","cold_left_ms":%d}`, left)}
	}
	state.Apply(now, entry(2, 1500))
	a := state.View(now).Present("a")
	assert.Assert(t, a.Cold(now.Add(1499*time.Millisecond)) && !a.Cold(now.Add(1500*time.Millisecond)))
	assert.Equal(t, a.ColdRate, 11.0)
	state.Apply(now, entry(3, 0))
	assert.Assert(t, !state.View(now).Present("a").Cold(now))
}
