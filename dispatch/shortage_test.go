package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// refusals submits a burst and returns the refusals.
func refusals(view *catalog.View, jobs int, job func(i int) Job) []Refuse {
	sim := newSimulation(view)
	var refused []Refuse
	for i := range jobs {
		if err := sim.core.Submit(sim.now, job(i)); err != nil {
			panic(err)
		}
		effects := sim.core.Effects()
		for _, e := range effects {
			if r, ok := e.(Refuse); ok {
				refused = append(refused, r)
			}
		}
		sim.apply(effects)
		sim.run(10 * time.Millisecond)
	}
	return refused
}

// TestRefusalsNameTheShortage guards against refusals in a burst that do not say
// whether endpoints, memory or engines were short, including those of displaced
// jobs.
func TestRefusalsNameTheShortage(t *testing.T) {
	burst := func(bytes int64) func(int) Job {
		return func(i int) Job {
			j := testJob(fmt.Sprint(i))
			j.Priority = i % 3
			j.Stages[0].Pieces, j.Stages[0].ResultBytes = 4, bytes
			return j
		}
	}
	for name, test := range map[string]struct {
		bytes int64
		short Resource
	}{
		"small results": {8_000, ResourceCalls},
		"large results": {20_000_000, ResourceMemory},
	} {
		t.Run(name, func(t *testing.T) {
			refused := refusals(testView([]string{"north"}, 1), 200, burst(test.bytes))
			assert.Assert(t, len(refused) > 20, "%d refused", len(refused))
			of := make(map[Resource]int)
			for _, r := range refused {
				assert.Equal(t, r.Reason, ReasonOverload)
				assert.Assert(t, r.ShortService != "" && r.ShortResource != "", "%+v", r)
				of[r.ShortResource]++
			}
			assert.Assert(t, of[test.short] > len(refused)/2, "%v", of)
		})
	}
	t.Run("no engine", func(t *testing.T) {
		view := testView([]string{"north"}, 1)
		for e := range view.All() {
			e.Leaving = e.Service == serviceModel
		}
		refused := refusals(view, 1, burst(8_000))
		assert.Equal(t, refused[0].ShortService, serviceModel)
		assert.Equal(t, refused[0].ShortResource, ResourceEndpoints)
	})
}
