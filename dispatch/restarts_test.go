package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/catalog"
)

// TestRestartsAtAnyMoment checks that, when endpoints restart at any moment,
// repeatedly and while lost results are being produced again, no request gets a
// result of an ended process, each job ends, and no memory, call or queue entry is
// left behind.
func TestRestartsAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := viewWithIncarnations(testView([]string{"north"}, 2))
		sim := newSimulation(view)
		lost := make(map[string]bool)
		sim.decide = func(call StartCall) (CallFault, Fault) {
			for _, p := range call.Pieces {
				for _, h := range p.Inputs {
					if lost[h] {
						return CallOK, FaultInputsGone
					}
				}
			}
			return CallOK, FaultNone
		}
		jobs := rapid.IntRange(1, 4).Draw(t, "jobs")
		for i := range jobs {
			sim.submit(testJob(fmt.Sprint(i)))
		}
		for born := range rapid.IntRange(1, 8).Draw(t, "restarts") {
			sim.run(time.Duration(rapid.IntRange(0, 15).Draw(t, "tens_ms")) * 10 * time.Millisecond)
			id := rapid.SampledFrom([]string{"encode-north-0", "encode-north-1", "rank-north-0", "rank-north-1", "model-north-0"}).Draw(t, "id")
			granted := len(sim.grants)
			for h := range sim.produced {
				lost[h] = lost[h] || strings.HasPrefix(h, id+":80/")
			}
			view = restartedView(view, catalog.Incarnation(born+2), id)
			sim.core.SetView(sim.now, view)
			assert.Equal(t, len(sim.grants), granted)
			before := len(sim.grants)
			sim.drain()
			for ticket, g := range sim.grants {
				for _, h := range g.Inputs {
					assert.Assert(t, len(sim.grants) == before || !lost[h], "%s got %s", ticket, h)
				}
			}
		}
		sim.run(10 * time.Second)
		assert.Equal(t, len(sim.grants)+len(sim.ends), jobs)
		for ticket := range sim.grants {
			sim.core.Done(sim.now, ticket, true)
		}
		sim.drain()
		sim.run(10 * time.Second)
		assert.Equal(t, len(sim.core.jobs)+len(sim.core.calls), 0)
		for name, p := range sim.core.pools {
			assert.Equal(t, p.waiting, 0, name)
			assert.Equal(t, len(p.queue), 0, name)
			for _, worker := range p.workers {
				assert.Equal(t, worker.usedMemory, int64(0), worker.key)
				assert.Equal(t, len(worker.calls), 0, worker.key)
			}
		}
	})
}
