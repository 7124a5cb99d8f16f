package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that is busy with messages that free results, several for each job.
func TestResultsAreFreedTogether(t *testing.T) {
	l := newFleetLoad(1, largeFleet)
	messages, results := 0, 0
	l.onEffect = func(e Effect) {
		if f, ok := e.(Free); ok {
			messages++
			results += len(f.Handles)
		}
	}
	l.play(10 * time.Second)
	jobs := 0
	for _, r := range l.results {
		jobs += r.offered
	}
	assert.Assert(t, messages < jobs, "%d messages for %d jobs with %d results", messages, jobs, results)
}

// Guards against gathered results that keep work waiting: a call that fits an endpoint's
// memory without them must not wait for gatherTime.
func TestShortMemoryIsFreedAtOnce(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	for i := range 6 {
		j := testJob(fmt.Sprint(i))
		j.Stages = []StageWork{{Service: serviceHeavy, Pieces: 2, ResultBytes: 15_000_000}}
		sim.submit(j)
		sim.run(300 * time.Millisecond)
		assert.Equal(t, len(sim.grants), i+1, "the calls of all jobs so far have ended")
		sim.core.Done(sim.now, j.Ticket, true)
		sim.drain()
	}
}

// Guards against results that nobody frees once another process owns the queue: its calls find
// no memory.
func TestGatheredResultsAreFreedOnHandOver(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	sim.submit(testJob("a"))
	sim.run(time.Second)
	sim.core.Done(sim.now, "a", true)
	assert.Assert(t, sim.core.HasUnfinishedStages())
	sim.core.HandOver(sim.now)
	sim.drain()
	assert.Assert(t, !sim.core.HasUnfinishedStages())
	assertNothingReserved(t, sim.core)
}

// Guards against results of jobs that end after a hand-over and are kept for gatherTime: the
// next owner does not know of them, and its calls find no memory.
func TestNothingIsGatheredAfterAHandOver(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	sim.submit(testJob("a"))
	for len(sim.grants) == 0 {
		sim.run(10 * time.Millisecond)
	}
	sim.core.HandOver(sim.now)
	assert.Assert(t, sim.core.HasUnfinishedStages(), "the engine has not read the results yet")
	sim.core.Done(sim.now, "a", true)
	sim.drain()
	assert.Assert(t, !sim.core.HasUnfinishedStages())
	assertNothingReserved(t, sim.core)
}
