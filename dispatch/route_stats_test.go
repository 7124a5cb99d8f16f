package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against figures by which a route that is refused at submission, one that is given up
// later and one that nobody asks for look the same.
func TestRouteStatsTellWhatBecameOfJobs(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	for i := range 40 {
		j := testJob(fmt.Sprint("first", i))
		j.Route, j.RefusedBefore = "first", i%2 == 0
		sim.submit(j)
	}
	unknown := testJob("unknown")
	unknown.Route, unknown.Stages[0].Service = "second", "nowhere"
	sim.submit(unknown)
	sim.run(testJob("").Deadline)

	stats := sim.core.Stats(sim.now).Routes
	first := stats["first"]
	assert.Equal(t, first.Asked, 40)
	assert.Equal(t, first.Returned, 20)
	assert.Equal(t, first.OnTime+first.Late+sumOf(first.Refused), first.Asked)
	assert.Equal(t, first.Granted+sumOf(first.GivenUp), first.OnTime+first.Late)
	assert.Assert(t, sumOf(first.Refused) > 0 && sumOf(first.LateAt) > 0, "%+v", first)
	assert.DeepEqual(t, stats["second"], RouteStats{Asked: 1, Refused: map[string]int{"nowhere unknown_stage/endpoints": 1}})
}

// Guards against memory that grows with the number of routes that a configuration has had.
func TestRouteStatsAreBounded(t *testing.T) {
	c := New("test", nil, nil)
	for i := range 3 * maxRouteStats {
		c.routes.countAsked(newJob(Job{Route: fmt.Sprint(i)}, epoch))
	}
	assert.Equal(t, len(c.routes), maxRouteStats+1)
	assert.Equal(t, c.routes[otherRoutes].Asked, 2*maxRouteStats)
}

func sumOf(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
