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

// coldRate is how many requests a second the cold endpoints of these tests bear.
const coldRate = 10.0

// cold is the view in which the model engines of a domain are cold for a time.
func cold(view *catalog.View, domain string, until time.Time) *catalog.View {
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

// flood submits jobs without stages, one each step, and counts the grants of a
// domain in each second.
func flood(w *world, domain string, jobs int, step time.Duration) map[int]int {
	seconds := make(map[int]int)
	for i := range jobs {
		j := testJob(fmt.Sprint(i))
		j.Stages = nil
		at := int(w.now.Sub(epoch) / time.Second)
		w.submit(j)
		if g, ok := w.grants[j.Ticket]; ok && strings.Contains(g.Endpoint, domain) {
			seconds[at]++
		}
		w.run(step)
	}
	return seconds
}

// A failure domain comes back cold and empty. All requests went there, to the
// engines with nothing to do, which crashed under them; they must get what they
// bear, the others the rest, and all again once they are warm.
func TestColdEnginesGetWhatTheyBear(t *testing.T) {
	w := newWorld(cold(testView([]string{"north", "south"}, 1), "north", epoch.Add(3*time.Second)))
	seconds := flood(w, "north", 1000, 5*time.Millisecond)
	for at := range 3 {
		n := seconds[at]
		assert.Assert(t, n <= int(coldRate*warm.OwnerShare), "%d requests in second %d", n, at)
		assert.Assert(t, n > 0, "none in second %d: it would never get warm", at)
	}
	assert.Assert(t, seconds[4] > 2*coldRate, "only %d once it is warm", seconds[4])
}

// All engines are cold. What they do not bear waits, and is served in time or
// refused; nothing is sent beyond what they bear.
func TestAllEnginesAreCold(t *testing.T) {
	w := newWorld(cold(testView([]string{"north"}, 1), "north", epoch.Add(time.Second)))
	jobs := int(coldRate)
	seconds := flood(w, "north", jobs, time.Millisecond)
	assert.Equal(t, seconds[0], int(coldRate*warm.OwnerShare))
	w.run(1200 * time.Millisecond)
	for i := range jobs {
		name := fmt.Sprint(i)
		assert.Assert(t, w.grants[name].Ticket == name, "%s ended %q", name, w.ends[name])
	}
}
