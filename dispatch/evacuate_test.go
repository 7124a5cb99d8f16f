package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// evacuatedView returns the view in which failure domains are evacuated.
func evacuatedView(view *catalog.View, domains ...string) *catalog.View {
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

// An operator evacuates a failure domain while jobs are in progress. Waiting
// pieces must go elsewhere at once, existing results must be used, and no call or
// request may go there until the evacuation ends.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	view := testView([]string{"north", "south"}, 2)
	w := newSimulation(view)
	// before holds the IDs of the calls in flight when the failure domain was
	// evacuated.
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
	w.core.SetView(w.now, evacuatedView(view, "north"))
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

// All failure domains of a service are evacuated. Waiting and new clients must be
// refused at once with a time to retry, not held until their deadlines.
func TestEvacuatedServiceRefusesAtOnce(t *testing.T) {
	view := testView([]string{"north", "south"}, 1)
	w := newSimulation(view)
	w.submit(testJob("waits"))
	w.run(20 * time.Millisecond)
	w.core.SetView(w.now, evacuatedView(view, "north", "south"))
	w.drain()
	w.submit(testJob("comes"))
	w.run(10 * time.Millisecond)
	for _, name := range []string{"waits", "comes"} {
		assert.Equal(t, w.ends[name], string(ReasonNoEndpoint), name)
	}
	w.run(3 * time.Second)
	assertNothingReserved(t, w.core)
}
