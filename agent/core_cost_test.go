package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// With one engine of twelve ten times slower, a third of all cost was reported
// as wasted: each incomplete call was charged its whole time on the slow
// engine, but each completed one only a sixteenth, because sixteen calls share
// the engine. The calls on an engine together must not cost more than its time.
func TestIncompleteRunCost(t *testing.T) {
	tests := map[string]struct {
		// cost is what each completed run is charged; four of them run for 800
		// ms at a time.
		cost    time.Duration
		running int
		want    time.Duration
	}{
		"shared, as many":   {200 * time.Millisecond, 4, 400 * time.Millisecond},
		"shared, more":      {200 * time.Millisecond, 16, 100 * time.Millisecond},
		"not shared":        {800 * time.Millisecond, 4, 1600 * time.Millisecond},
		"nothing completed": {0, 16, 1600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAdmission()
			a.running = 4
			run := &Run{schedState: schedState{concurrentRuns: 4}}
			for range 50 {
				a.recordCost(run, 800*time.Millisecond, test.cost)
			}
			a.running, run.schedState.concurrentRuns = test.running, test.running
			assert.Equal(t, a.incompleteCost(run, 1600*time.Millisecond), test.want)
		})
	}
}
