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
	"github.com/mangostage/mangostage/position"
)

// putEndpointIn writes the entry of an endpoint in a failure domain.
func putEndpointIn(s *standin.Store, id, domain string) {
	s.Put(platform.PrefixEndpoints+id, fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":%q,"slots":8,"state":"ready"}`, domain))
}

// onlyTheseTakeWork returns a condition: exactly the endpoints with these IDs take work.
func onlyTheseTakeWork(ids ...string) func(*catalog.View) bool {
	return func(v *catalog.View) bool {
		n := 0
		for e := range v.All() {
			if e.TakesWork() {
				n++
			}
		}
		for _, id := range ids {
			if e := v.EndpointByID(id); e == nil || !e.TakesWork() {
				return false
			}
		}
		return n == len(ids)
	}
}

// Guards against requests that are sent to a failure domain that operators have evacuated
// for maintenance. The evacuation must also apply to endpoints that are added later, to two
// domains at once and until it is ended, and must be known to a process that has just
// started or that lists the store again because the history is gone.
func TestEvacuatedDomainGetsNoWork(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpointIn(store, "a", "north")
	putEndpointIn(store, "b", "south")
	p := newPair(t, store)
	p.awaitBoth(t, onlyTheseTakeWork("a", "b"))
	store.Put(platform.PrefixEvacuations+"north", nil)
	p.awaitBoth(t, onlyTheseTakeWork("b"))
	putEndpointIn(store, "a2", "north")
	putEndpointIn(store, "b2", "south")
	p.awaitBoth(t, onlyTheseTakeWork("b", "b2"))
	store.Put(platform.PrefixEvacuations+"south", nil)
	p.awaitBoth(t, onlyTheseTakeWork())

	_, views := follow(t, store, nil)
	await(t, views, func(v *catalog.View) bool { return v.Len() == 4 && onlyTheseTakeWork()(v) })

	p.batch(t, func() {
		store.Remove(platform.PrefixEvacuations + "north")
		store.Compact()
	})
	p.awaitBoth(t, onlyTheseTakeWork("a", "a2"))
	store.Remove(platform.PrefixEvacuations + "south")
	p.awaitBoth(t, onlyTheseTakeWork("a", "a2", "b", "b2"))
}

// Items of another writer under the evacuations' prefix must not affect other items.
func TestForeignEvacuation(t *testing.T) {
	store := standin.NewStore()
	putConfig(store, 1)
	putEndpointIn(store, "a", "north")
	store.Put(platform.PrefixEvacuations, nil)
	store.PutRaw(platform.PrefixEvacuations+"nowhere", `{"no":"text"}`)
	p := newPair(t, store)
	p.awaitBoth(t, onlyTheseTakeWork("a"))
	putConfig(store, 2)
	p.awaitBoth(t, hasVersion(2))
	assert.Assert(t, onlyTheseTakeWork("a")(p.reader.View()))
}

// evacuationModel is the naive model: the newest item of each domain.
type evacuationModel map[string]platform.Item

func (e evacuationModel) apply(item platform.Item) {
	if item.Revision > e[item.Key].Revision {
		e[item.Key] = item
	}
}

func (e evacuationModel) of(domain string) bool {
	item, ok := e[platform.PrefixEvacuations+domain]
	return ok && !item.Gone
}

// In whatever order items arrive, repeatedly or late, from the store or from peers, the
// highest revision decides, and an endpoint takes work if and only if its domain is not
// evacuated.
func TestEvacuationsInAnyOrder(t *testing.T) {
	domains := []string{"north", "south", "east"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		state := discovery.NewState()
		state.Apply(now, platform.Item{Key: platform.KeyConfig, Revision: 1, Value: []byte(`{"version":1,"routes":[],"services":[{"name":"s"}]}`)})
		for i, domain := range domains {
			state.Apply(now, endpointItem(domain, domain, uint64(i)+2))
		}
		model := make(evacuationModel)
		for range rapid.IntRange(0, 30).Draw(t, "news") {
			item := platform.Item{
				Key:      platform.PrefixEvacuations + rapid.SampledFrom(domains).Draw(t, "domain"),
				Revision: rapid.Uint64Range(5, 40).Draw(t, "revision"),
			}
			// An item of the same revision is always the same.
			item.Gone = item.Revision%2 == 0
			state.Apply(now, item)
			model.apply(item)
		}
		relayed := discovery.NewState()
		for _, item := range state.Since(position.Position{}) {
			relayed.Apply(now, item)
		}
		for _, view := range []*catalog.View{state.View(now), relayed.View(now)} {
			for _, domain := range domains {
				assert.Equal(t, view.EndpointByID(domain).TakesWork(), !model.of(domain), "domain %s", domain)
			}
		}
	})
}

func endpointItem(id, domain string, revision uint64) platform.Item {
	return platform.Item{Key: platform.PrefixEndpoints + id, Revision: revision, Value: fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":%q,"slots":8,"state":"ready"}`, domain)}
}

// Endpoints of a domain whose evacuation has ended are cold and crash under the load that
// they had before. The heartbeat in which they report it comes too late.
func TestDomainIsColdAfterEvacuation(t *testing.T) {
	const config = `{"version":1,"routes":[],"services":[{"name":"s","cold_start_s":3,"cold_per_s":11}]}`
	now := time.Now()
	state := discovery.NewState()
	state.Apply(now, platform.Item{Key: platform.KeyConfig, Revision: 1, Value: []byte(config)})
	state.Apply(now, endpointItem("a", "north", 2))
	state.Apply(now, endpointItem("b", "south", 3))
	assert.Assert(t, !state.View(now).EndpointByID("a").Cold(now))

	key := platform.PrefixEvacuations + "north"
	state.Apply(now, platform.Item{Key: key, Revision: 4})
	back := now.Add(time.Minute)
	state.Apply(back, platform.Item{Key: key, Revision: 5, Gone: true})
	view := state.View(back)
	a := view.EndpointByID("a")
	assert.Assert(t, a.TakesWork() && a.Cold(back) && a.Cold(back.Add(2999*time.Millisecond)))
	assert.Equal(t, a.ColdRate, 11.0)
	assert.Assert(t, !a.Cold(back.Add(3*time.Second)))
	assert.Assert(t, !view.EndpointByID("b").Cold(back))
}

// An endpoint reports how long it stays cold; a later entry replaces the report.
func TestEndpointReportsItIsCold(t *testing.T) {
	const config = `{"version":1,"routes":[],"services":[{"name":"s","cold_start_s":3,"cold_per_s":11}]}`
	now := time.Now()
	state := discovery.NewState()
	state.Apply(now, platform.Item{Key: platform.KeyConfig, Revision: 1, Value: []byte(config)})
	entry := func(revision uint64, left int) platform.Item {
		return platform.Item{Key: platform.PrefixEndpoints + "a", Revision: revision, Value: fmt.Appendf(nil,
			`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready","cold_left_ms":%d}`, left)}
	}
	state.Apply(now, entry(2, 1500))
	a := state.View(now).EndpointByID("a")
	assert.Assert(t, a.Cold(now.Add(1499*time.Millisecond)) && !a.Cold(now.Add(1500*time.Millisecond)))
	assert.Equal(t, a.ColdRate, 11.0)
	state.Apply(now, entry(3, 0))
	assert.Assert(t, !state.View(now).EndpointByID("a").Cold(now))
}
