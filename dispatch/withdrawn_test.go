package dispatch

import (
	"fmt"
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

// TestEvacuatedDomainGetsNoCalls checks that, when a failure domain is evacuated
// while jobs are in progress, waiting pieces go elsewhere at once, existing
// results are used, and no call or request goes there until the evacuation ends.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	view := testView([]string{"north", "south"}, 2)
	sim := newSimulation(view)
	// before holds the IDs of the calls in flight when the failure domain was
	// evacuated.
	before := make(map[uint64]bool)
	evacuated := false
	sim.afterTick = func() {
		for id, c := range sim.core.calls {
			assert.Assert(t, !evacuated || before[id] || c.worker.endpoint.Domain != "north", "a new call to %s", c.worker.key)
			before[id] = before[id] || !evacuated
		}
	}
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		sim.submit(testJob(name))
	}
	sim.run(50 * time.Millisecond)
	assert.Assert(t, len(sim.grants) == 0 && len(before) > 0, "the jobs must be in progress")
	sim.core.SetView(sim.now, evacuatedView(view, "north"))
	evacuated = true
	sim.drain()
	sim.run(3 * time.Second)
	for _, name := range names {
		assert.Assert(t, strings.Contains(sim.grants[name].Endpoint, "south"), "%s got %q, ended %q", name, sim.grants[name].Endpoint, sim.ends[name])
	}
	sim.core.SetView(sim.now, view)
	evacuated = false
	sim.submit(testJob("after"))
	sim.run(time.Second)
	assert.Equal(t, sim.grants["after"].Ticket, "after")
}

// TestEvacuatedServiceRefusesAtOnce guards against holding clients until their
// deadlines when all failure domains of a service are evacuated: waiting and new
// ones must be refused at once with a time to retry.
func TestEvacuatedServiceRefusesAtOnce(t *testing.T) {
	view := testView([]string{"north", "south"}, 1)
	sim := newSimulation(view)
	sim.submit(testJob("waits"))
	sim.run(20 * time.Millisecond)
	sim.core.SetView(sim.now, evacuatedView(view, "north", "south"))
	sim.drain()
	sim.submit(testJob("comes"))
	sim.run(10 * time.Millisecond)
	for _, name := range []string{"waits", "comes"} {
		assert.Equal(t, sim.ends[name], string(ReasonNoEndpoint), name)
	}
	sim.run(3 * time.Second)
	assertNothingReserved(t, sim.core)
}

// Guards against jobs that wait until their deadline for a stage all of whose endpoints
// leave: their successors have other IDs and may never come.
func TestLeavingServiceRefusesAtOnce(t *testing.T) {
	view := testView([]string{"north"}, 1)
	sim := newSimulation(view)
	for i := range 4 {
		sim.submit(testJob(fmt.Sprint(i)))
	}
	var endpoints []*catalog.Endpoint
	for e := range view.All() {
		next := *e
		next.Leaving = next.Service == serviceLight
		endpoints = append(endpoints, &next)
	}
	sim.core.SetView(sim.now, catalog.NewView(view.Index, endpoints, view.Revision+1))
	sim.drain()
	for i := range 4 {
		assert.Equal(t, sim.ends[fmt.Sprint(i)], string(ReasonNoEndpoint))
	}
}

// versionedView returns the view in which the model engines have the versions in turn.
func versionedView(view *catalog.View, change func(*catalog.Endpoint), versions ...string) *catalog.View {
	var endpoints []*catalog.Endpoint
	for i, e := range view.Endpoints(serviceModel) {
		next := *e
		next.Version = versions[i%len(versions)]
		if change != nil {
			change(&next)
		}
		endpoints = append(endpoints, &next)
	}
	for e := range view.All() {
		if e.Service != serviceModel {
			endpoints = append(endpoints, e)
		}
	}
	return catalog.NewView(view.Index, endpoints, view.Revision+1)
}

// Guards against a grant that its submitter cannot use: a job that goes on with a stream is
// granted an engine of another version, or one that may not run what its entry says.
func TestJobIsGrantedItsVersion(t *testing.T) {
	view := versionedView(testView([]string{"north"}, 4), nil, "v1", "v2")
	sim := newSimulation(view)
	for i := range 12 {
		j := testJob(fmt.Sprint("job-", i))
		version := []string{"v1", "v2"}[i%2]
		j.Version = &version
		sim.submit(j)
	}
	sim.run(10 * time.Second)
	for i := range 12 {
		grant := sim.grants[fmt.Sprint("job-", i)]
		e := view.Endpoint(grant.Endpoint)
		assert.Assert(t, e != nil, "job %d ended %q", i, sim.ends[fmt.Sprint("job-", i)])
		assert.Equal(t, e.Version, []string{"v1", "v2"}[i%2])
	}
}

// Guards against a job that waits until its deadline for a version that is gone, before or
// after its stages have begun, or whose engines may run another one.
func TestJobOfAGoneVersionIsRefusedAtOnce(t *testing.T) {
	all := testView([]string{"north"}, 4)
	version := "v1"
	for name, after := range map[string]*catalog.View{
		"gone":    versionedView(all, nil, "v2"),
		"leaving": versionedView(all, func(e *catalog.Endpoint) { e.Leaving = e.Version == version }, version, "v2"),
		"unclear": versionedView(all, func(e *catalog.Endpoint) { e.VersionUnclear = e.Version == version }, version, "v2"),
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(versionedView(all, nil, version, "v2"))
			waiting, later := testJob("waiting"), testJob("later")
			waiting.Version, later.Version = &version, &version
			sim.submit(waiting)
			sim.run(50 * time.Millisecond)
			assert.Equal(t, sim.grants["waiting"].Ticket, "", "the stages must be in progress")
			sim.core.SetView(sim.now, after)
			sim.drain()
			sim.submit(later)
			sim.drain()
			assert.Equal(t, sim.ends["waiting"], string(ReasonNoVersion))
			assert.Equal(t, sim.ends["later"], string(ReasonNoVersion))
		})
	}
}
