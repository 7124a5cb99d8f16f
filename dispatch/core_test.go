package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

func TestJobRunsThroughItsStages(t *testing.T) {
	w := newWorld(testView([]string{"north", "south"}, 1))
	w.submit(testJob("a"))
	w.run(time.Second)
	g, ok := w.grants["a"]
	assert.Assert(t, ok)
	assert.Equal(t, len(g.Inputs), 2+8, "the pieces of the stages that no other follows")
	for _, h := range g.Inputs {
		assert.Equal(t, w.made[h].request, "a")
		assert.Assert(t, w.made[h].stage != 1)
	}
	w.core.FirstEvent(w.now, "a")
	w.core.Done(w.now, "a", true)
	w.drain()
	assert.Equal(t, len(w.freed), 2+1+8, "all results are given up, each once")
	for h, n := range w.freed {
		assert.Equal(t, n, 1, h)
	}
	assertBooksEmpty(t, w.core)
}

func assertBooksEmpty(t assert.TestingT, c *Core) {
	for _, p := range c.pools {
		assert.Equal(t, p.waiting, 0)
		assert.Equal(t, len(p.queue), 0)
		for _, w := range p.workers {
			assert.Equal(t, w.used, int64(0), w.endpoint.ID)
			assert.Equal(t, len(w.results), 0)
		}
	}
	for _, es := range c.engines {
		for _, e := range es.all {
			assert.Equal(t, e.prefill, 0)
			assert.Equal(t, e.tokens, 0)
			assert.Equal(t, len(e.runs), 0)
		}
	}
}

func TestStageWithoutPiecesIsLeftOut(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages[0].Pieces = 0
	w.submit(j)
	w.run(time.Second)
	assert.Equal(t, len(w.grants["a"].Inputs), 8)
}

func TestJobWithoutStagesIsGrantedAtOnce(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages = nil
	w.submit(j)
	assert.Equal(t, w.grants["a"].Endpoint, "model-north-0")
}

// An endpoint hangs and holds a whole call. Users whose pieces are in it wait
// for nothing until their deadline unless the pieces go elsewhere.
func TestSilentEndpointLosesItsPieces(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 2))
	w.slow["encode-north-0"] = 1000
	w.fate = func(c StartCall) (CallFault, Fault) {
		if c.Endpoint == "encode-north-0" {
			return CallLost, FaultNone
		}
		return CallOK, FaultNone
	}
	w.submit(testJob("a"))
	w.run(3 * time.Second)
	assert.Assert(t, w.grants["a"].Ticket == "a")
}

// Results of lost calls fill the books of room, and a queue stands still for
// good while its endpoints are idle: each booking needs an end of its own.
func TestLostResultsLeaveTheBooks(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	w.fate = func(StartCall) (CallFault, Fault) { return CallLost, FaultNone }
	for i := range 20 {
		w.submit(testJob(fmt.Sprint(i)))
		w.run(200 * time.Millisecond)
	}
	w.run(20 * time.Second)
	assert.Equal(t, len(w.core.jobs), 0)
	assertBooksEmpty(t, w.core)
	w.fate = nil
	w.submit(testJob("after"))
	w.run(2 * time.Second)
	assert.Equal(t, w.grants["after"].Ticket, "after")
}

// A piece whose input is gone span thousands of times: made again as it is,
// it fails again. Its job ends instead, at once.
func TestGoneInputEndsTheJob(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	calls := 0
	w.fate = func(c StartCall) (CallFault, Fault) {
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

// The client leaves while its pieces run: the results must be given up when
// they come, or they hold room that others wait for.
func TestCancelFreesWhatComesLater(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	w.submit(testJob("a"))
	w.core.Cancel(w.now, "a")
	w.drain()
	w.run(time.Second)
	assert.Equal(t, len(w.freed), 3)
	assertBooksEmpty(t, w.core)
}

// The model engine was chosen before the stages ran and has begun to leave
// meanwhile: the request must go to another.
func TestLeavingEngineIsNotGranted(t *testing.T) {
	view := testView([]string{"north"}, 2)
	w := newWorld(view)
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

// Another process owns the queue now. Jobs without a piece go there, begun ones
// end here, since nobody else knows their results.
func TestHandOver(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
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

// In a burst all requests came 100 to 300 ms too late: each job was taken, and
// late ones went first. Those that cannot make it must give way at once, and
// most of what the endpoints can do must be done in time.
func TestBurstIsServedInTime(t *testing.T) {
	w := newWorld(testView([]string{"north", "south"}, 1))
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
	// Two endpoints make 8 pieces in 278 ms each: at 3 pieces a job and 50 jobs
	// a second, about 38 in 100.
	assert.Assert(t, inTime >= burst*25/100, "%d of %d in time", inTime, burst)
	late := len(w.grants) - inTime
	assert.Assert(t, late <= inTime, "%d late, %d in time", late, inTime)
}

// The less urgent give way to the more urgent, never the other way round.
func TestUrgentJobsGoFirst(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
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
	w := newWorld(testView([]string{"north"}, 1))
	w.submit(testJob("a"))
	assert.ErrorContains(t, w.core.Submit(w.now, testJob("a")), "ticket a")
}

func TestUnknownStageIsRefused(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	j := testJob("a")
	j.Stages[0].Service = "nowhere"
	w.submit(j)
	assert.Equal(t, w.ends["a"], string(ReasonUnknownStage))
}

// The queue has a new owner, which knows nothing of what engines keep. Told by
// the entries, it sends a prompt to the engine that has read it.
func TestPlacedPromptsAreFoundAgain(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 8))
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

// The message that gives results up and the next call travel on two
// connections, and the call may overtake it: its pieces find no room, and their
// users wait for one more call. Room counts as free when the endpoint has said so.
func TestRoomIsFreeWhenTheEndpointSaysSo(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	w.submit(testJob("a"))
	for range 200 {
		if _, granted := w.grants["a"]; granted {
			break
		}
		w.run(10 * time.Millisecond)
	}
	heavy := w.core.pools[serviceHeavy].workers[0]
	booked := heavy.used
	assert.Assert(t, booked > 0)
	w.core.FirstEvent(w.now, "a")
	frees := 0
	for _, e := range w.core.Effects() {
		free, ok := e.(Free)
		if !ok || free.Endpoint != heavy.endpoint.ID {
			continue
		}
		frees++
		assert.Equal(t, heavy.used, booked)
		w.core.FreeEnded(w.now, free.ID, true)
	}
	assert.Equal(t, frees, 1)
	assert.Equal(t, heavy.used, int64(0))
}

// The answer to a message that gives results up is lost: their room stays
// booked until the endpoint drops them by itself, and not for good.
func TestRoomOfALostFreeRunsOut(t *testing.T) {
	w := newWorld(testView([]string{"north"}, 1))
	w.freesFail = func() bool { return true }
	w.submit(testJob("a"))
	w.run(2 * time.Second)
	w.core.Done(w.now, "a", true)
	w.drain()
	assert.Assert(t, w.core.pools[serviceHeavy].workers[0].used > 0)
	w.run(heavySpec.ResultTTL + ttlMargin)
	assertBooksEmpty(t, w.core)
}

// Results are a little larger than the configuration says, so full books
// overflow. The share that is booked must fall, and come back with good calls.
func TestRoomShareFollowsWhatFits(t *testing.T) {
	p := newPool(serviceLight, &lightSpec)
	for range 5 {
		p.learnRoom(1)
	}
	assert.Assert(t, p.roomShare < 0.96 && p.roomShare > 0.94, "%v", p.roomShare)
	for range 100 {
		p.learnRoom(1)
	}
	assert.Equal(t, p.roomShare, roomShareMin)
	for range 1000 {
		p.learnRoom(0)
	}
	assert.Equal(t, p.roomShare, 1.0)
}
