package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// evacuate is the view in which failure domains are evacuated.
func evacuate(view *catalog.View, domains ...string) *catalog.View {
	var endpoints []*catalog.Endpoint
	for e := range view.All() {
		next := *e
		for _, domain := range domains {
			next.Evacuated = next.Evacuated || next.Domain == domain
		}
		endpoints = append(endpoints, &next)
	}
	return catalog.NewView(view.Index, endpoints, view.Revision+1)
}

// The operator empties a failure domain while jobs are under way. What waits goes
// elsewhere at once, results that are there are used, and no call and no request
// goes there until it is taken back.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	view := testView([]string{"north", "south"}, 2)
	w := newWorld(view)
	// before holds the calls that were under way when the domain was evacuated.
	before := make(map[uint64]bool)
	evacuated := false
	w.afterTick = func() {
		for id, c := range w.core.calls {
			assert.Assert(t, !evacuated || before[id] || c.worker.endpoint.Domain != "north", "a call to %s", c.worker.key)
			before[id] = before[id] || !evacuated
		}
	}
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		w.submit(testJob(name))
	}
	w.run(50 * time.Millisecond)
	assert.Assert(t, len(w.grants) == 0 && len(before) > 0, "the jobs must be under way")
	w.core.SetView(w.now, evacuate(view, "north"))
	evacuated = true
	w.drain()
	w.run(3 * time.Second)
	for _, name := range names {
		assert.Assert(t, strings.Contains(w.grants[name].Endpoint, "south"), "%s got %q, ended %q", name, w.grants[name].Endpoint, w.ends[name])
	}
	w.core.SetView(w.now, view)
	evacuated = false
	w.submit(testJob("after"))
	w.run(time.Second)
	assert.Equal(t, w.grants["after"].Ticket, "after")
}

// All domains of a service are evacuated. Clients that wait for it, and those
// that come, are told at once when to come back, and not at their deadline.
func TestEvacuatedServiceRefusesAtOnce(t *testing.T) {
	view := testView([]string{"north", "south"}, 1)
	w := newWorld(view)
	w.submit(testJob("waits"))
	w.run(20 * time.Millisecond)
	w.core.SetView(w.now, evacuate(view, "north", "south"))
	w.drain()
	w.submit(testJob("comes"))
	w.run(10 * time.Millisecond)
	for _, name := range []string{"waits", "comes"} {
		assert.Equal(t, w.ends[name], string(ReasonNoEndpoint), name)
	}
	w.run(3 * time.Second)
	assertBooksEmpty(t, w.core)
}
