package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

func TestJobRunsThroughItsStages(t *testing.T) {
	sim := newSimulation(testView([]string{"north", "south"}, 1))
	sim.submit(testJob("a"))
	sim.run(time.Second)
	g, ok := sim.grants["a"]
	assert.Assert(t, ok)
	assert.Equal(t, len(g.Inputs), 2+8, "the results that no other stage reads")
	for _, h := range g.Inputs {
		assert.Equal(t, sim.produced[h].request, "a")
		assert.Assert(t, sim.produced[h].stage != 1)
	}
	sim.core.FirstEvent(sim.now, "a")
	sim.core.Done(sim.now, "a", true)
	sim.run(gatherTime)
	assert.Equal(t, len(sim.freed), 2+1+8, "all results are freed, each once")
	for h, n := range sim.freed {
		assert.Equal(t, n, 1, h)
	}
	assertNothingReserved(t, sim.core)
}

func assertNothingReserved(t assert.TestingT, c *Core) {
	for _, p := range c.pools {
		assert.Equal(t, p.waiting, 0)
		assert.Equal(t, len(p.queue), 0)
		for _, w := range p.workers {
			assert.Equal(t, w.usedMemory, int64(0), w.endpoint.ID)
			assert.Equal(t, len(w.results), 0)
		}
	}
	for _, es := range c.modelEngines {
		for _, e := range es.all {
			assert.Equal(t, e.prefillTokens, 0)
			assert.Equal(t, e.requestTokens, 0)
			assert.Equal(t, len(e.requests), 0)
		}
	}
}

func TestStageWithoutPiecesIsSkipped(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages[0].Pieces = 0
	sim.submit(j)
	sim.run(time.Second)
	assert.Equal(t, len(sim.grants["a"].Inputs), 8)
}

func TestJobWithoutStagesIsGrantedAtOnce(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages = nil
	sim.submit(j)
	assert.Equal(t, sim.grants["a"].Endpoint, "model-north-0")
}

// TestSilentEndpointLosesItsPieces guards against pieces that wait until their
// deadline in a full call to an endpoint that hangs; they must run elsewhere.
func TestSilentEndpointLosesItsPieces(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 2))
	sim.slow["encode-north-0"] = 1000
	sim.decide = func(c StartCall) (CallFault, Fault) {
		if c.Endpoint == "encode-north-0" {
			return CallLost, FaultNone
		}
		return CallOK, FaultNone
	}
	sim.submit(testJob("a"))
	sim.run(3 * time.Second)
	assert.Assert(t, sim.grants["a"].Ticket == "a")
}

// TestLostResultsExpire guards against memory that stays reserved for lost calls
// forever: the queue would stall although its endpoints are idle.
func TestLostResultsExpire(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	sim.decide = func(StartCall) (CallFault, Fault) { return CallLost, FaultNone }
	for i := range 20 {
		sim.submit(testJob(fmt.Sprint(i)))
		sim.run(200 * time.Millisecond)
	}
	sim.run(20 * time.Second)
	assert.Equal(t, len(sim.core.jobs), 0)
	assertNothingReserved(t, sim.core)
	sim.decide = nil
	sim.submit(testJob("after"))
	sim.run(2 * time.Second)
	assert.Equal(t, sim.grants["after"].Ticket, "after")
}

// TestMissingInputRefusesTheJob guards against retrying a piece whose input is
// gone: it was requeued and failed thousands of times. Its job must be refused at
// once.
func TestMissingInputRefusesTheJob(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	calls := 0
	sim.decide = func(c StartCall) (CallFault, Fault) {
		if c.Service == serviceLight {
			calls++
			return CallOK, FaultInputsGone
		}
		return CallOK, FaultNone
	}
	sim.submit(testJob("a"))
	sim.run(2 * time.Second)
	assert.Equal(t, sim.ends["a"], string(ReasonStageFailed))
	assert.Equal(t, calls, 1)
}

// TestCancelFreesLateResults guards against results that arrive after their client
// has cancelled and are never freed; they occupy memory that others wait for.
func TestCancelFreesLateResults(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	sim.submit(testJob("a"))
	sim.core.Cancel(sim.now, "a")
	sim.drain()
	sim.run(time.Second)
	assert.Equal(t, len(sim.freed), 3)
	assertNothingReserved(t, sim.core)
}

// TestLeavingEngineIsNotGranted checks that a request goes to another engine if
// the one expected at submission starts to leave while the stages run.
func TestLeavingEngineIsNotGranted(t *testing.T) {
	view := testView([]string{"north"}, 2)
	sim := newSimulation(view)
	sim.submit(testJob("a"))
	var endpoints []*catalog.Endpoint
	for _, s := range []string{serviceModel, serviceHeavy, serviceLight} {
		for _, e := range view.Endpoints(s) {
			changed := *e
			changed.Leaving = e.ID == "model-north-0"
			endpoints = append(endpoints, &changed)
		}
	}
	sim.core.SetView(sim.now, catalog.NewView(view.Index, endpoints, 2))
	sim.run(time.Second)
	assert.Equal(t, sim.grants["a"].Endpoint, "model-north-1")
}

// TestHandOver checks that, when another process becomes the queue owner, jobs of
// which nothing has started move there, and started ones end here, since only this
// process knows their results.
func TestHandOver(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	for i := range 12 {
		j := testJob(fmt.Sprint(i))
		j.Objective = 5 * time.Second
		sim.submit(j)
	}
	sim.core.HandOver(sim.now)
	sim.drain()
	moved := 0
	for _, end := range sim.ends {
		if end == "moved" {
			moved++
		}
	}
	assert.Assert(t, moved > 0 && moved < 12, "moved %d", moved)
	sim.run(5 * time.Second)
	assert.Equal(t, moved+len(sim.grants), 12)
}

// TestBurstIsServedInTime guards against serving everyone late in a burst: all
// requests were 100 to 300 ms late because every job was admitted and late ones
// went first. Jobs that cannot meet their objectives must be displaced at once,
// and most of the endpoints' capacity must go to jobs on time.
func TestBurstIsServedInTime(t *testing.T) {
	sim := newSimulation(testView([]string{"north", "south"}, 1))
	const burst = 200
	for i := range burst {
		sim.submit(testJob(fmt.Sprint(i)))
		sim.run(20 * time.Millisecond)
	}
	sim.run(8 * time.Second)
	inTime := 0
	for _, g := range sim.grants {
		if g.Slack >= 0 {
			inTime++
		}
	}
	assert.Equal(t, len(sim.grants)+len(sim.ends), burst)
	// Two endpoints make 8 pieces in 278 ms each: at 3 pieces a job and 50 jobs a
	// second, about 38 jobs in 100.
	assert.Assert(t, inTime >= burst*25/100, "%d of %d in time", inTime, burst)
	late := len(sim.grants) - inTime
	assert.Assert(t, late <= inTime, "%d late, %d in time", late, inTime)
}

// TestUrgentJobsGoFirst checks that less urgent jobs are displaced by more urgent
// ones, never the other way round: more of the urgent jobs are served in time.
func TestUrgentJobsGoFirst(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	served := make(map[int]int)
	asked := make(map[int]int)
	for i := range 150 {
		j := testJob(fmt.Sprint(i))
		j.Priority = i % 2
		asked[j.Priority]++
		sim.submit(j)
		sim.run(40 * time.Millisecond)
	}
	sim.run(8 * time.Second)
	for ticket, g := range sim.grants {
		var i int
		_, err := fmt.Sscan(ticket, &i)
		assert.NilError(t, err)
		if g.Slack >= 0 {
			served[i%2]++
		}
	}
	assert.Assert(t, served[0] > served[1], "in time: urgent %d, less urgent %d", served[0], served[1])
}

func TestDuplicateTicket(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	sim.submit(testJob("a"))
	assert.ErrorContains(t, sim.core.Submit(sim.now, testJob("a")), "ticket a")
}

func TestUnknownStageIsRefused(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages[0].Service = "nowhere"
	sim.submit(j)
	assert.Equal(t, sim.ends["a"], string(ReasonUnknownStage))
}

// TestPlacementsRestorePromptAffinity checks that a new queue owner, which does
// not know what engines have cached, sends a prompt to the engine that has read it
// once the placements are reported.
func TestPlacementsRestorePromptAffinity(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 8))
	prefix := []catalog.PrefixPart{{ID: "shared", Tokens: 4000}, {ID: "own", Tokens: 100}}
	sim.core.RecordPlacements([]Placement{
		{Service: serviceModel, Endpoint: "model-north-5", Prefix: prefix},
		{Service: serviceModel, Endpoint: "gone", Prefix: prefix},
	})
	j := testJob("a")
	j.Stages = nil
	j.Prefix = []catalog.PrefixPart{{ID: "shared", Tokens: 4000}, {ID: "other", Tokens: 100}}
	sim.submit(j)
	assert.Equal(t, sim.grants["a"].Endpoint, "model-north-5")
}

// TestMemoryIsFreeOnceTheEndpointAnswers guards against counting memory as free
// too early: a Free and the next call travel on two connections, and if the call
// overtakes the Free, its pieces find no memory and need another call.
func TestMemoryIsFreeOnceTheEndpointAnswers(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	sim.submit(testJob("a"))
	for range 200 {
		if _, granted := sim.grants["a"]; granted {
			break
		}
		sim.run(10 * time.Millisecond)
	}
	heavy := sim.core.pools[serviceHeavy].workers[0]
	reserved := heavy.usedMemory
	assert.Assert(t, reserved > 0)
	sim.core.FirstEvent(sim.now, "a")
	sim.core.Tick(sim.now.Add(gatherTime))
	frees := 0
	for _, e := range sim.core.Effects() {
		free, ok := e.(Free)
		if !ok || free.Endpoint != heavy.endpoint.ID {
			continue
		}
		frees++
		assert.Equal(t, heavy.usedMemory, reserved)
		sim.core.FreeEnded(sim.now, free.ID, true)
	}
	assert.Equal(t, frees, 1)
	assert.Equal(t, heavy.usedMemory, int64(0))
}

// TestMemoryOfALostFreeExpires checks that memory stays reserved after the answer
// to a Free is lost, until the endpoint drops the results by itself and no longer.
func TestMemoryOfALostFreeExpires(t *testing.T) {
	sim := newSimulation(testView([]string{"north"}, 1))
	sim.freesFail = func() bool { return true }
	sim.submit(testJob("a"))
	sim.run(2 * time.Second)
	sim.core.Done(sim.now, "a", true)
	sim.drain()
	assert.Assert(t, sim.core.pools[serviceHeavy].workers[0].usedMemory > 0)
	sim.run(heavySpec.ResultTTL + ttlMargin)
	assertNothingReserved(t, sim.core)
}

// TestMemoryShareAdapts checks that the share falls when pieces find no memory,
// and recovers with calls whose pieces all fit. Results are slightly larger than
// configured, so memory that is reserved completely overflows.
func TestMemoryShareAdapts(t *testing.T) {
	p := newPool(serviceLight, &lightSpec)
	for range 5 {
		p.learnMemoryShare(1)
	}
	assert.Assert(t, p.memoryShare < 0.96 && p.memoryShare > 0.94, "%v", p.memoryShare)
	for range 100 {
		p.learnMemoryShare(1)
	}
	assert.Equal(t, p.memoryShare, memoryShareMin)
	for range 1000 {
		p.learnMemoryShare(0)
	}
	assert.Equal(t, p.memoryShare, 1.0)
}
