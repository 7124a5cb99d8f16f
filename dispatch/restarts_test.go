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

// Endpoints restart at any moment, repeatedly and while lost results are being
// produced again. In any order, no request may get a result of an ended process,
// each job must end, and no memory, call or queue entry may be left behind.
func TestRestartsAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := viewWithIncarnations(testView([]string{"north"}, 2))
		w := newSimulation(view)
		lost := make(map[string]bool)
		w.decide = func(call StartCall) (CallFault, Fault) {
			for _, p := range call.Pieces {
				for _, h := range p.Inputs {
					if lost[h] {
						return CallOK, FaultInputs
					}
				}
			}
			return CallOK, FaultNone
		}
		jobs := rapid.IntRange(1, 4).Draw(t, "jobs")
		for i := range jobs {
			w.submit(testJob(fmt.Sprint(i)))
		}
		for born := range rapid.IntRange(1, 8).Draw(t, "restarts") {
			w.run(time.Duration(rapid.IntRange(0, 15).Draw(t, "tens_ms")) * 10 * time.Millisecond)
			id := rapid.SampledFrom([]string{"encode-north-0", "encode-north-1", "rank-north-0", "rank-north-1", "model-north-0"}).Draw(t, "id")
			granted := len(w.grants)
			for h := range w.produced {
				lost[h] = lost[h] || strings.HasPrefix(h, id+":80/")
			}
			view = restartedView(view, catalog.Incarnation(born+2), id)
			w.core.SetView(w.now, view)
			assert.Equal(t, len(w.grants), granted)
			before := len(w.grants)
			w.drain()
			for ticket, g := range w.grants {
				for _, h := range g.Inputs {
					assert.Assert(t, len(w.grants) == before || !lost[h], "%s got %s", ticket, h)
				}
			}
		}
		w.run(10 * time.Second)
		assert.Equal(t, len(w.grants)+len(w.ends), jobs)
		for ticket := range w.grants {
			w.core.Done(w.now, ticket, true)
		}
		w.drain()
		w.run(10 * time.Second)
		assert.Equal(t, len(w.core.jobs)+len(w.core.calls), 0)
		for name, p := range w.core.pools {
			assert.Equal(t, p.waiting, 0, name)
			assert.Equal(t, len(p.queue), 0, name)
			for _, worker := range p.workers {
				assert.Equal(t, worker.usedMemory, int64(0), worker.key)
				assert.Equal(t, len(worker.calls), 0, worker.key)
			}
		}
	})
}
