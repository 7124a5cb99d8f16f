package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// only is the view with just the endpoints of which keep is true.
func only(view *catalog.View, keep func(*catalog.Endpoint) bool) *catalog.View {
	var endpoints []*catalog.Endpoint
	for e := range view.All() {
		if keep(e) {
			endpoints = append(endpoints, e)
		}
	}
	return catalog.NewView(view.Index, endpoints, view.Revision+1)
}

// Guards against a request whose stages are made for nothing because all model
// engines are lost for a moment when the last of them ends.
func TestBegunJobWaitsForLostEngines(t *testing.T) {
	view := testView([]string{"north"}, 2)
	w := newWorld(view)
	w.submit(testJob("begun"))
	w.run(20 * time.Millisecond)
	w.core.SetView(w.now, only(view, func(e *catalog.Endpoint) bool { return e.Service != serviceModel }))
	w.submit(testJob("new"))
	assert.Equal(t, w.ends["new"], string(ReasonNoEndpoint))
	w.run(1200 * time.Millisecond)
	assert.Equal(t, w.ends["begun"], "")
	w.core.SetView(w.now, only(view, func(*catalog.Endpoint) bool { return true }))
	w.run(100 * time.Millisecond)
	assert.Assert(t, w.grants["begun"].Endpoint != "")
}

// Guards against a job that is held until its deadline for engines that do not come back.
func TestBegunJobIsGivenUpInTime(t *testing.T) {
	view := testView([]string{"north"}, 1)
	w := newWorld(view)
	j := testJob("begun")
	w.submit(j)
	w.run(20 * time.Millisecond)
	w.core.SetView(w.now, only(view, func(e *catalog.Endpoint) bool { return e.Service != serviceModel }))
	w.run(time.Duration(deadlineShare*float64(j.Deadline)) + 100*time.Millisecond)
	assert.Equal(t, w.ends["begun"], string(ReasonDeadline))
	w.run(5 * time.Second)
	assertBooksEmpty(t, w.core)
}
