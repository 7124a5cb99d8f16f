package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloadCost is the owner's processor time for an event at which a crest of a largeFleet is
// more than it can handle.
const overloadCost = 300 * time.Microsecond

// Guards against an owner that cannot keep up and admits what it will be late for: the most
// urgent requests, with the most stages in a row, are served worst.
func TestOverloadedOwnerServesUrgentChainsFirst(t *testing.T) {
	for _, size := range []float64{0.25, 1} {
		loads := playFleets(largeFleet.scaled(size), time.Duration(float64(overloadCost)/size), asItIs, naively)
		l, naive := loads[0], loads[1]
		t.Logf("%v times: %v", size, l)
		t.Logf("naive: %v", naive)
		chain, single, chat := l.results["chain"], l.results["single"], l.results["chat"]
		assert.Assert(t, chain.servedInTime() >= single.servedInTime() && chain.servedInTime() >= chat.servedInTime(), "the most urgent are served best")
		assert.Assert(t, chain.inTime >= naive.results["chain"].inTime, "%d in time, naively %d", chain.inTime, naive.results["chain"].inTime)
		assert.Assert(t, l.inTime() >= naive.inTime(), "%d in time, naively %d", l.inTime(), naive.inTime())
	}
}

// Guards against an overload that feeds itself: refused clients come back, and the owner
// stays late, or goes on refusing, after the crest.
func TestOverloadEndsWithItsCrest(t *testing.T) {
	l := playFleets(largeFleet, overloadCost, func(l *fleetLoad) { l.countFrom = 10 * time.Second })[0]
	t.Log(l)
	assert.Assert(t, l.results["chain"].servedInTime() >= 0.95)
	assert.Equal(t, l.core.shedder.limit, 0.0)
}

// Guards against an owner that refuses jobs for its lag although it keeps up.
func TestOwnerThatKeepsUpShedsNothing(t *testing.T) {
	l := playFleets(largeFleet, overloadCost/2, asItIs)[0]
	for _, r := range l.core.routes {
		assert.Equal(t, r.Refused[serviceModel+" "+causeOf(ReasonOverload, ResourceOwner)], 0)
	}
}

// Guards against a client account that overloads the owner and costs others their answers.
func TestFloodOverloadsTheOwner(t *testing.T) {
	const flood = "account-9"
	alone := func(l *fleetLoad) { l.burst, l.flooding = steadily, flood }
	flooded := func(l *fleetLoad) { alone(l); l.flood = 20 }
	floodedNaive := func(l *fleetLoad) { flooded(l); l.naive = true }
	loads := playFleets(largeFleet, 265*time.Microsecond, alone, flooded, floodedNaive)
	for _, l := range loads {
		t.Log(l)
	}
	for name, r := range loads[1].results {
		without, naive := loads[0].results[name], loads[2].results[name]
		assert.Assert(t, r.answered() >= 0.95*without.answered(), "%s: %.3f, without the flood %.3f", name, r.answered(), without.answered())
		assert.Assert(t, r.inTime >= naive.inTime, "%s: %d in time, naively %d", name, r.inTime, naive.inTime)
	}
}

func steadily(*fleetRoute, time.Duration) float64 { return 1 }

// answered returns the fraction of the offered requests that were served, in time or late.
func (r *routeResult) answered() float64 {
	return float64(r.inTime+r.late) / float64(max(1, r.offered))
}

// Guards against a process that was paused once, or whose clock jumps, and refuses jobs for
// seconds.
func TestOnePauseShedsNothing(t *testing.T) {
	for _, lags := range [][]time.Duration{{time.Hour}, {-time.Hour, time.Hour, 0, 0}, {0, time.Second, 0, time.Second, 0}} {
		c := newOwner()
		c.SetView(epoch, testView([]string{"north"}, 4))
		for i, lag := range lags {
			c.ObserveLag(lag)
			c.Tick(epoch.Add(time.Duration(i) * tickEvery))
		}
		assert.Equal(t, c.shedder.limit, 0.0, "%v", lags)
	}
}

// Guards against a new owner that is late for a moment, has granted nothing yet, and admits
// next to nothing for seconds.
func TestNewOwnerReopensSoon(t *testing.T) {
	s := newOwner().shedder
	now := epoch
	ask := func(d time.Duration, lag time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(tickEvery) {
			for range 14 {
				s.refuses(newJob(testJob("a"), now), now)
			}
			s.adjust(lag, now)
		}
	}
	ask(500*time.Millisecond, lagMax/2)
	assert.Assert(t, s.limit > 0)
	ask(2*time.Second, 0)
	assert.Equal(t, s.limit, 0.0)
}

// Guards against a small deployment on a busy host that refuses the few jobs that it gets.
func TestFewJobsAreNotShed(t *testing.T) {
	s := newOwner().shedder
	for i := range 500 {
		now := epoch.Add(time.Duration(i) * tickEvery)
		s.adjust(lagMax, now)
		assert.Assert(t, i%2 == 1 || !s.refuses(newJob(testJob("a"), now), now))
	}
}
