package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// filterView returns the view with only the endpoints that keep accepts.
func filterView(view *catalog.View, keep func(*catalog.Endpoint) bool) *catalog.View {
	var endpoints []*catalog.Endpoint
	for e := range view.All() {
		if keep(e) {
			endpoints = append(endpoints, e)
		}
	}
	return catalog.NewView(view.Index, endpoints, view.Revision+1)
}

// TestBegunJobWaitsForLostEngines guards against stages that ran for nothing
// because all model engines are lost for a moment just when the last stage ends.
func TestBegunJobWaitsForLostEngines(t *testing.T) {
	view := testView([]string{"north"}, 2)
	sim := newSimulation(view)
	sim.submit(testJob("begun"))
	sim.run(20 * time.Millisecond)
	sim.core.SetView(sim.now, filterView(view, func(e *catalog.Endpoint) bool { return e.Service != serviceModel }))
	sim.submit(testJob("new"))
	assert.Equal(t, sim.ends["new"], string(ReasonNoEndpoint))
	sim.run(1200 * time.Millisecond)
	assert.Equal(t, sim.ends["begun"], "")
	sim.core.SetView(sim.now, filterView(view, func(*catalog.Endpoint) bool { return true }))
	sim.run(100 * time.Millisecond)
	assert.Assert(t, sim.grants["begun"].Endpoint != "")
}

// TestStartedJobIsRefusedBeforeDeadline guards against a job that waits until its
// deadline for engines that do not return.
func TestStartedJobIsRefusedBeforeDeadline(t *testing.T) {
	view := testView([]string{"north"}, 1)
	sim := newSimulation(view)
	j := testJob("begun")
	sim.submit(j)
	sim.run(20 * time.Millisecond)
	sim.core.SetView(sim.now, filterView(view, func(e *catalog.Endpoint) bool { return e.Service != serviceModel }))
	sim.run(time.Duration(stageDeadlineShare*float64(j.Deadline)) + 100*time.Millisecond)
	assert.Equal(t, sim.ends["begun"], string(ReasonDeadline))
	sim.run(5 * time.Second)
	assertNothingReserved(t, sim.core)
}
