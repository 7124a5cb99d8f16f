package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

func TestJobRunsThroughItsStages(t *testing.T) {
	w := newSimulation(testView([]string{"north", "south"}, 1))
	w.submit(testJob("a"))
	w.run(time.Second)
	g, ok := w.grants["a"]
	assert.Assert(t, ok)
	assert.Equal(t, len(g.Inputs), 2+8, "the pieces of the stages that no other follows")
	for _, h := range g.Inputs {
		assert.Equal(t, w.produced[h].request, "a")
		assert.Assert(t, w.produced[h].stage != 1)
	}
	w.core.FirstEvent(w.now, "a")
	w.core.Done(w.now, "a", true)
	w.drain()
	assert.Equal(t, len(w.freed), 2+1+8, "all results are given up, each once")
	for h, n := range w.freed {
		assert.Equal(t, n, 1, h)
	}
	assertNothingReserved(t, w.core)
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
	w := newSimulation(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages[0].Pieces = 0
	w.submit(j)
	w.run(time.Second)
	assert.Equal(t, len(w.grants["a"].Inputs), 8)
}

func TestJobWithoutStagesIsGrantedAtOnce(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages = nil
	w.submit(j)
	assert.Equal(t, w.grants["a"].Endpoint, "model-north-0")
}

// An endpoint hangs with a full call. Its pieces must run elsewhere, or their
// clients wait until their deadlines.
func TestSilentEndpointLosesItsPieces(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 2))
	w.slow["encode-north-0"] = 1000
	w.decide = func(c StartCall) (CallFault, Fault) {
		if c.Endpoint == "encode-north-0" {
			return CallLost, FaultNone
		}
		return CallOK, FaultNone
	}
	w.submit(testJob("a"))
	w.run(3 * time.Second)
	assert.Assert(t, w.grants["a"].Ticket == "a")
}

// If the memory reserved for lost calls were never released, the queue would stall
// although its endpoints are idle: each reservation must expire.
func TestLostResultsExpire(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	w.decide = func(StartCall) (CallFault, Fault) { return CallLost, FaultNone }
	for i := range 20 {
		w.submit(testJob(fmt.Sprint(i)))
		w.run(200 * time.Millisecond)
	}
	w.run(20 * time.Second)
	assert.Equal(t, len(w.core.jobs), 0)
	assertNothingReserved(t, w.core)
	w.decide = nil
	w.submit(testJob("after"))
	w.run(2 * time.Second)
	assert.Equal(t, w.grants["after"].Ticket, "after")
}

// A piece whose input was gone was requeued and failed thousands of times. Its job
// must be refused at once.
func TestMissingInputRefusesTheJob(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	calls := 0
	w.decide = func(c StartCall) (CallFault, Fault) {
		if c.Service == serviceLight {
			calls++
			return CallOK, FaultInputs
		}
		return CallOK, FaultNone
	}
	w.submit(testJob("a"))
	w.run(2 * time.Second)
	assert.Equal(t, w.ends["a"], string(ReasonStageFailed))
	assert.Equal(t, calls, 1)
}

// The client cancels while pieces are running. Their results must be freed when
// they arrive, or they occupy memory that others wait for.
func TestCancelFreesLateResults(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	w.submit(testJob("a"))
	w.core.Cancel(w.now, "a")
	w.drain()
	w.run(time.Second)
	assert.Equal(t, len(w.freed), 3)
	assertNothingReserved(t, w.core)
}

// The model engine expected at submission starts to drain while the stages run.
// The request must go to another one.
func TestLeavingEngineIsNotGranted(t *testing.T) {
	view := testView([]string{"north"}, 2)
	w := newSimulation(view)
	w.submit(testJob("a"))
	var endpoints []*catalog.Endpoint
	for _, s := range []string{serviceModel, serviceHeavy, serviceLight} {
		for _, e := range view.Endpoints(s) {
			changed := *e
			changed.Leaving = e.ID == "model-north-0"
			endpoints = append(endpoints, &changed)
		}
	}
	w.core.SetView(w.now, catalog.NewView(view.Index, endpoints, 2))
	w.run(time.Second)
	assert.Equal(t, w.grants["a"].Endpoint, "model-north-1")
}

// Another process becomes the queue owner. Jobs of which nothing has started move
// there; started ones end here, since only this process knows their results.
func TestHandOver(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	for i := range 12 {
		j := testJob(fmt.Sprint(i))
		j.Objective = 5 * time.Second
		w.submit(j)
	}
	w.core.HandOver(w.now)
	w.drain()
	moved := 0
	for _, end := range w.ends {
		if end == "moved" {
			moved++
		}
	}
	assert.Assert(t, moved > 0 && moved < 12, "moved %d", moved)
	w.run(5 * time.Second)
	assert.Equal(t, moved+len(w.grants), 12)
}

// In a burst all requests were 100 to 300 ms late: every job was admitted, and
// late ones went first. Jobs that cannot meet their objectives must be displaced
// at once, and most of the endpoints' capacity must go to jobs on time.
func TestBurstIsServedInTime(t *testing.T) {
	w := newSimulation(testView([]string{"north", "south"}, 1))
	const burst = 200
	for i := range burst {
		w.submit(testJob(fmt.Sprint(i)))
		w.run(20 * time.Millisecond)
	}
	w.run(8 * time.Second)
	inTime := 0
	for _, g := range w.grants {
		if g.Slack >= 0 {
			inTime++
		}
	}
	assert.Equal(t, len(w.grants)+len(w.ends), burst)
	// Two endpoints make 8 pieces in 278 ms each: at 3 pieces a job and 50 jobs a
	// second, about 38 jobs in 100.
	assert.Assert(t, inTime >= burst*25/100, "%d of %d in time", inTime, burst)
	late := len(w.grants) - inTime
	assert.Assert(t, late <= inTime, "%d late, %d in time", late, inTime)
}

// Less urgent jobs are displaced by more urgent ones, never the other way round.
func TestUrgentJobsGoFirst(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	served := make(map[int]int)
	asked := make(map[int]int)
	for i := range 150 {
		j := testJob(fmt.Sprint(i))
		j.Priority = i % 2
		asked[j.Priority]++
		w.submit(j)
		w.run(40 * time.Millisecond)
	}
	w.run(8 * time.Second)
	for ticket, g := range w.grants {
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
	w := newSimulation(testView([]string{"north"}, 1))
	w.submit(testJob("a"))
	assert.ErrorContains(t, w.core.Submit(w.now, testJob("a")), "ticket a")
}

func TestUnknownStageIsRefused(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages[0].Service = "nowhere"
	w.submit(j)
	assert.Equal(t, w.ends["a"], string(ReasonUnknownStage))
}

// A new queue owner does not know what engines have cached. After the placements
// are reported to it, it must send a prompt to the engine that has read it.
func TestPlacementsRestorePromptAffinity(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 8))
	prefix := []catalog.PrefixPart{{ID: "shared", Tokens: 4000}, {ID: "own", Tokens: 100}}
	w.core.Placed([]Placement{
		{Service: serviceModel, Endpoint: "model-north-5", Prefix: prefix},
		{Service: serviceModel, Endpoint: "gone", Prefix: prefix},
	})
	j := testJob("a")
	j.Stages = nil
	j.Prefix = []catalog.PrefixPart{{ID: "shared", Tokens: 4000}, {ID: "other", Tokens: 100}}
	w.submit(j)
	assert.Equal(t, w.grants["a"].Endpoint, "model-north-5")
}

// A Free and the next call travel on two connections, and the call may overtake
// the Free: its pieces then find no memory and need another call. Memory must only
// count as free when the endpoint has answered.
func TestMemoryIsFreeOnceTheEndpointAnswers(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	w.submit(testJob("a"))
	for range 200 {
		if _, granted := w.grants["a"]; granted {
			break
		}
		w.run(10 * time.Millisecond)
	}
	heavy := w.core.pools[serviceHeavy].workers[0]
	booked := heavy.usedMemory
	assert.Assert(t, booked > 0)
	w.core.FirstEvent(w.now, "a")
	frees := 0
	for _, e := range w.core.Effects() {
		free, ok := e.(Free)
		if !ok || free.Endpoint != heavy.endpoint.ID {
			continue
		}
		frees++
		assert.Equal(t, heavy.usedMemory, booked)
		w.core.FreeEnded(w.now, free.ID, true)
	}
	assert.Equal(t, frees, 1)
	assert.Equal(t, heavy.usedMemory, int64(0))
}

// The answer to a Free is lost. The memory must stay reserved until the endpoint
// drops the results by itself, and no longer.
func TestMemoryOfALostFreeExpires(t *testing.T) {
	w := newSimulation(testView([]string{"north"}, 1))
	w.freesFail = func() bool { return true }
	w.submit(testJob("a"))
	w.run(2 * time.Second)
	w.core.Done(w.now, "a", true)
	w.drain()
	assert.Assert(t, w.core.pools[serviceHeavy].workers[0].usedMemory > 0)
	w.run(heavySpec.ResultTTL + ttlMargin)
	assertNothingReserved(t, w.core)
}

// Results are slightly larger than configured, so memory that is reserved
// completely overflows. The share must fall, and recover with calls whose pieces
// all fit.
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
