package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnreachedDomainGetsNoFullCalls guards against an owner that takes over while
// a failure domain is cut off: its first call to each endpoint there would be lost
// with all its pieces, and so would requests to the engines there.
func TestUnreachedDomainGetsNoFullCalls(t *testing.T) {
	const cut = "north"
	view := testView([]string{cut, "south"}, 3)
	sim := newSimulation(view)
	sim.core.BecomeOwner(1)
	sim.core.Reach([]string{cut})
	in := func(endpoint string) bool { return view.Endpoint(endpoint).Domain == cut }
	sim.decide = func(c StartCall) (CallFault, Fault) {
		if !in(c.Endpoint) {
			return CallOK, FaultNone
		}
		assert.Equal(t, len(c.Pieces), 1, c.Endpoint)
		return CallLost, FaultNone
	}
	sim.burst(20, 2*time.Second)
	sim.run(time.Second)
	assert.Assert(t, len(sim.grants) > 0)
	for _, g := range sim.grants {
		assert.Assert(t, !in(g.Endpoint), "%s was granted", g.Endpoint)
	}
	// The domain can be reached again.
	sim.core.Reach(nil)
	sim.decide = nil
	calls := recordCalls(sim)
	sim.burst(40, 3*time.Second)
	most, granted := 0, 0
	for _, e := range view.Endpoints(serviceHeavy) {
		for _, c := range calls[e.ID] {
			if in(c.Endpoint) {
				most = max(most, len(c.Pieces))
			}
		}
	}
	for _, g := range sim.grants {
		if in(g.Endpoint) {
			granted++
		}
	}
	assert.Assert(t, most > 1 && granted > 0, "at most %d pieces a call and %d grants after the domain was reachable again", most, granted)
}

// TestUnreachedDomainThatAnswersIsUsed guards against idle endpoints in a failure
// domain whose gateways were all lost while its endpoints are healthy.
func TestUnreachedDomainThatAnswersIsUsed(t *testing.T) {
	sim := newSimulation(testView([]string{"north", "south"}, 2))
	sim.core.BecomeOwner(1)
	sim.core.Reach([]string{"north"})
	calls := recordCalls(sim)
	sim.burst(40, 2*time.Second)
	for i := range 2 {
		most := 0
		for _, c := range calls[fmt.Sprintf("encode-north-%d", i)] {
			most = max(most, len(c.Pieces))
		}
		assert.Assert(t, most > 1, "at most %d pieces a call", most)
	}
}
