package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callsTo counts what the core has sent to each endpoint.
func callsTo(w *world) map[string][]StartCall {
	calls := make(map[string][]StartCall)
	fate := w.fate
	w.fate = func(c StartCall) (CallFault, Fault) {
		calls[c.Endpoint] = append(calls[c.Endpoint], c)
		if fate != nil {
			return fate(c)
		}
		return CallOK, FaultNone
	}
	return calls
}

// burst submits jobs at an even rate for a time.
func (w *world) burst(perSecond int, d time.Duration) {
	between := time.Second / time.Duration(perSecond)
	for range int(d / between) {
		w.next++
		w.submit(testJob(fmt.Sprint("burst-", w.next)))
		w.run(between)
	}
}

// TestSlowedEndpointsGetNoSecondFullCall guards against endpoints that turn several
// times slower in a burst: each of their calls is given up, and the next full call
// was sent there as soon as its pause was over.
func TestSlowedEndpointsGetNoSecondFullCall(t *testing.T) {
	const slowed = "encode-north-0"
	w := newWorld(testView([]string{"north"}, 4))
	w.burst(30, time.Second)
	w.slow[slowed] = 5
	lost := func(c StartCall) (CallFault, Fault) {
		full := heavySpec.CallTime + time.Duration(len(c.Pieces))*heavySpec.ItemTime
		if c.Endpoint == slowed && 5*full > c.Timeout {
			return CallLost, FaultNone
		}
		return CallOK, FaultNone
	}
	w.fate = lost
	calls := callsTo(w)
	w.burst(30, 4*time.Second)
	overdue, after := 0, 0
	for _, c := range calls[slowed] {
		if overdue > 0 {
			assert.Equal(t, len(c.Pieces), 1, "a suspect gets a piece at a time")
			after++
		}
		if fault, _ := lost(c); fault == CallLost {
			overdue++
		}
	}
	assert.Assert(t, overdue > 0 && after > 0, "%d calls overdue, %d after the first", overdue, after)

	// It is well again: it gets full calls again within a second.
	delete(w.slow, slowed)
	w.fate = nil
	calls = callsTo(w)
	w.burst(30, 4*time.Second)
	most := 0
	for _, c := range calls[slowed] {
		most = max(most, len(c.Pieces))
	}
	assert.Assert(t, most > 1, "it never got a full call again, of %d", len(calls[slowed]))
}

// TestCallsWithoutWorkTeachNothing guards against an endpoint whose memory is full:
// its calls come back at once without a result, and it would count as the fastest,
// be asked first, and have admission believe in calls that take no time.
func TestCallsWithoutWorkTeachNothing(t *testing.T) {
	const back = 2 * time.Millisecond
	for _, fault := range []Fault{FaultRoom, FaultLate, FaultInputs} {
		c := New("test")
		c.SetView(epoch, testView([]string{"north"}, 1))
		w := c.pools[serviceHeavy].workers[0]
		speed, took := w.speed, c.pools[serviceHeavy].took
		assert.NilError(t, c.Submit(epoch, testJob("a")))
		call := startedCalls(c.Effects())[0]
		outcomes := make([]Outcome, len(call.Pieces))
		for i := range outcomes {
			outcomes[i].Fault = fault
		}
		c.CallEnded(epoch.Add(back), call.Call, CallOK, outcomes)
		assert.Equal(t, w.speed, speed, "%s", fault)
		assert.Equal(t, c.pools[serviceHeavy].took, took, "%s", fault)
	}
}

// TestSpeedIsOfThePiecesMade guards against an endpoint that is taken for fast,
// since it had room for few of the pieces of its calls.
func TestSpeedIsOfThePiecesMade(t *testing.T) {
	w := newWorker(testView([]string{"north"}, 1).Endpoints(serviceHeavy)[0], &heavySpec)
	for range 20 {
		w.learn(w.expect(1), 1)
	}
	assert.Equal(t, w.speed, 1.0)
}

// TestAbsurdTimesKeepTheirBounds guards against a clock or an endpoint that has a
// call take no time, or days.
func TestAbsurdTimesKeepTheirBounds(t *testing.T) {
	for _, took := range []time.Duration{0, 1, time.Hour, 1000 * time.Hour} {
		w := newWorker(testView([]string{"north"}, 1).Endpoints(serviceHeavy)[0], &heavySpec)
		w.learn(took, 1)
		assert.Assert(t, w.speed >= 0 && w.speed <= speedMax, "%v: %v", took, w.speed)
		w.overdue(&call{worker: w, sentAt: epoch, expects: w.expect(1)}, epoch.Add(took))
		assert.Assert(t, w.speed <= speedMax, "%v: %v", took, w.speed)
		assert.Assert(t, !w.pause.Active(epoch.Add(took+pauseMax)), "%v", took)
	}
}
