package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/retryafter"
)

// Guards against an endpoint of a stage that gets no call after its backoff, since what was
// learned of its speed before ranks it behind one that is idle.
func TestEndpointIsTriedWhenItsBackoffEnds(t *testing.T) {
	const slower, faster = "encode-north-0", "encode-north-1"
	view := testView([]string{"north"}, 2)
	sim := newSimulation(view)
	backoffs := retryafter.NewTable()
	sim.core = New("test", nil, backoffs)
	sim.core.SetView(sim.now, view)
	sim.slow[slower] = 2
	sim.burst(30, 2*time.Second)
	sim.run(time.Second)
	backoffs.Observe(sim.now, slower, time.Second)
	sim.run(1100 * time.Millisecond)
	calls := recordCalls(sim)
	sim.burst(1, 3*time.Second)
	assert.Assert(t, len(calls[faster]) > 0, "there is work")
	assert.Assert(t, len(calls[slower]) > 0, "the endpoint is not tried")
}
