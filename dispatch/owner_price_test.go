package dispatch

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/scheduler/delegation"
)

// directPrices are the prices of an owner that makes all calls to endpoints by itself and whose
// messages are JSON.
var directPrices = ownerPrices{
	submit: 375 * time.Microsecond, note: 110 * time.Microsecond, call: 310 * time.Microsecond, free: 310 * time.Microsecond,
}

// compactPrices are those of an owner whose messages are compact, assignedPrices those of its calls
// that other members make.
var (
	compactPrices = ownerPrices{
		submit: 230 * time.Microsecond, note: 60 * time.Microsecond, call: 310 * time.Microsecond, free: 310 * time.Microsecond,
	}
	assignedPrices = ownerPrices{call: 90 * time.Microsecond, free: 30 * time.Microsecond}
)

const (
	// ownerCores is the processor time of the owner and of its strongest members, in cores.
	ownerCores = 0.8
	// decisionCost is the owner's processor time for deciding about an event.
	decisionCost = 50 * time.Microsecond
	// leastServed is the part of each route's requests that is served in time at least: the
	// highest floor of the users, and 0.10 more.
	leastServed = 0.48
)

// crestOfAll is a burst of all routes from second 3 to 9.
func crestOfAll(_ *fleetRoute, at time.Duration) float64 {
	if within(at, 3*time.Second, 9*time.Second) {
		return 1.7
	}
	return 1
}

// newMembers returns the delegates of an owner, two strong members in each failure domain.
func newMembers() *delegation.Table[string] {
	t := delegation.NewTable[string](ownerCores)
	for _, domain := range fleetDomains {
		for _, name := range []string{"first", "second"} {
			t.Join(domain+name, delegation.Offer{Name: domain + name, Domain: domain, Cores: ownerCores})
		}
	}
	return t
}

// playPriced plays a crest of all routes with compact messages and members that make the owner's
// calls, and, at the same time, without both.
func playPriced(size fleetSize, dearer float64) (l, direct *fleetLoad) {
	times := func(d time.Duration) time.Duration { return time.Duration(dearer * float64(d)) }
	scale := func(p ownerPrices) ownerPrices {
		return ownerPrices{submit: times(p.submit), note: times(p.note), call: times(p.call), free: times(p.free)}
	}
	var playing sync.WaitGroup
	play := func(prices ownerPrices, members *delegation.Table[string]) *fleetLoad {
		l := newFleetLoad(1, size)
		l.burst, l.prices, l.assigned, l.delegates = crestOfAll, scale(prices), scale(assignedPrices), members
		l.cost = func(time.Duration) time.Duration { return times(decisionCost) }
		playing.Go(func() { l.play(ownerLoadTime) })
		return l
	}
	l, direct = play(compactPrices, newMembers()), play(directPrices, nil)
	playing.Wait()
	return l, direct
}

// Guards against an owner whose processor is used up by calls and messages in a crest: the least
// urgent route, with the most stages in a row, is then served less than its floor. Processor time
// may be a quarter dearer.
func TestOwnerOfAFleetServesTheLeastUrgentRoute(t *testing.T) {
	for _, dearer := range []float64{1, 1.25} {
		l, direct := playPriced(largeFleet, dearer)
		t.Logf("%v: %v", dearer, l)
		t.Logf("direct: %v", direct)
		for name, r := range l.results {
			assert.Check(t, r.servedInTime() >= leastServed, "%s: %.3f in time", name, r.servedInTime())
			assert.Check(t, r.inTime >= direct.results[name].inTime, "%s: %d in time, %d without both", name, r.inTime, direct.results[name].inTime)
		}
	}
}
