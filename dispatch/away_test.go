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

// All model engines are lost for a moment just when the last stage of a job ends.
// The job must wait for their return: otherwise its stages have run for nothing.
func TestBegunJobWaitsForLostEngines(t *testing.T) {
	view := testView([]string{"north"}, 2)
	w := newSimulation(view)
	w.submit(testJob("begun"))
	w.run(20 * time.Millisecond)
	w.core.SetView(w.now, filterView(view, func(e *catalog.Endpoint) bool { return e.Service != serviceModel }))
	w.submit(testJob("new"))
	assert.Equal(t, w.ends["new"], string(ReasonNoEndpoint))
	w.run(1200 * time.Millisecond)
	assert.Equal(t, w.ends["begun"], "")
	w.core.SetView(w.now, filterView(view, func(*catalog.Endpoint) bool { return true }))
	w.run(100 * time.Millisecond)
	assert.Assert(t, w.grants["begun"].Endpoint != "")
}

// Engines that do not return must not keep a job waiting until its deadline.
func TestStartedJobIsRefusedBeforeDeadline(t *testing.T) {
	view := testView([]string{"north"}, 1)
	w := newSimulation(view)
	j := testJob("begun")
	w.submit(j)
	w.run(20 * time.Millisecond)
	w.core.SetView(w.now, filterView(view, func(e *catalog.Endpoint) bool { return e.Service != serviceModel }))
	w.run(time.Duration(stageDeadlineShare*float64(j.Deadline)) + 100*time.Millisecond)
	assert.Equal(t, w.ends["begun"], string(ReasonDeadline))
	w.run(5 * time.Second)
	assertNothingReserved(t, w.core)
}
