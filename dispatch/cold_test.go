package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/warm"
)

// coldRate is the request rate per second that a cold endpoint of these tests
// accepts.
const coldRate = 10.0

// coldView returns the view in which the model engines of a failure domain are
// cold until a time.
func coldView(view *catalog.View, domain string, until time.Time) *catalog.View {
	var endpoints []*catalog.Endpoint
	for e := range view.All() {
		next := *e
		if e.Domain == domain && e.Service == serviceModel {
			next.ColdUntil, next.ColdRate = until, coldRate
		}
		endpoints = append(endpoints, &next)
	}
	return catalog.NewView(view.Index, endpoints, view.Revision+1)
}

// countGrants submits jobs without stages, one each step, and counts the grants to
// engines of a failure domain in each second.
func countGrants(sim *simulation, domain string, jobs int, step time.Duration) map[int]int {
	seconds := make(map[int]int)
	for i := range jobs {
		j := testJob(fmt.Sprint(i))
		j.Stages = nil
		at := int(sim.now.Sub(epoch) / time.Second)
		sim.submit(j)
		if g, ok := sim.grants[j.Ticket]; ok && strings.Contains(g.Endpoint, domain) {
			seconds[at]++
		}
		sim.run(step)
	}
	return seconds
}

// TestColdEnginesAreRateLimited guards against crashes of cold engines. A failure
// domain returned cold and idle, all requests went to its engines because they had
// no load, and they crashed. Cold engines must only get the requests that they
// accept, the others the rest, and all engines their full share once they are
// warm.
func TestColdEnginesAreRateLimited(t *testing.T) {
	sim := newSimulation(coldView(testView([]string{"north", "south"}, 1), "north", epoch.Add(3*time.Second)))
	seconds := countGrants(sim, "north", 1000, 5*time.Millisecond)
	for at := range 3 {
		n := seconds[at]
		assert.Assert(t, n <= int(coldRate*warm.OwnerShare), "%d requests in second %d", n, at)
		assert.Assert(t, n > 0, "no request in second %d: the engine would never get warm", at)
	}
	assert.Assert(t, seconds[4] > 2*coldRate, "only %d requests once it is warm", seconds[4])
}

// TestRequestsWaitWhileAllEnginesAreCold checks that requests beyond the limit of
// the cold engines wait and are then served in time.
func TestRequestsWaitWhileAllEnginesAreCold(t *testing.T) {
	sim := newSimulation(coldView(testView([]string{"north"}, 1), "north", epoch.Add(time.Second)))
	jobs := int(coldRate)
	seconds := countGrants(sim, "north", jobs, time.Millisecond)
	assert.Equal(t, seconds[0], int(coldRate*warm.OwnerShare))
	sim.run(1200 * time.Millisecond)
	for i := range jobs {
		name := fmt.Sprint(i)
		assert.Assert(t, sim.grants[name].Ticket == name, "%s ended %q", name, sim.ends[name])
	}
}
