package limit

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newLimiter(t testing.TB, policy bundle.PolicyName) Limiter {
	t.Helper()
	l, err := New(bundle.Policy{Name: policy})
	assert.NilError(t, err)
	return l
}

func idle(capacity int) Demand {
	return Demand{Pool: "llm", Occupancy: route.Occupancy{Endpoints: 1, Capacity: capacity}, ServiceTime: 100 * time.Millisecond}
}

func full(capacity int) Demand {
	d := idle(capacity)
	d.Occupancy.InFlight = capacity
	d.Occupancy.Service = 100 * time.Millisecond
	return d
}

// admitted sends n requests at once and returns how many are admitted.
func admitted(l Limiter, n int, account *bundle.Account, liveEntries int, d Demand, now time.Time) int {
	ok := 0
	for range n {
		if l.Admit(now, account, liveEntries, d).OK {
			ok++
		}
	}
	return ok
}

func TestNewUnknownPolicy(t *testing.T) {
	_, err := New(bundle.Policy{Name: "clever"})
	assert.ErrorContains(t, err, "clever")
}

func TestLimitIsDividedAmongLiveEntries(t *testing.T) {
	account := &bundle.Account{Name: "a", Limit: bundle.Limit{RequestsPerSecond: 30, Burst: 9, InFlight: 600}}
	tests := map[string]struct {
		policy bundle.PolicyName
		live   int
		burst  int
		second int
	}{
		"alone":          {bundle.PolicyAdaptive, 1, 9, 9},
		"of three":       {bundle.PolicyAdaptive, 3, 3, 3},
		"part rounds up": {bundle.PolicyAdaptive, 60, 1, 1},
		"naive":          {bundle.PolicyNaive, 3, 9, 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(t, test.policy)
			assert.Equal(t, admitted(l, 100, account, test.live, idle(1000), start), test.burst)
			assert.Equal(t, admitted(l, 100, account, test.live, idle(1000), start.Add(2*time.Second)), test.second)
		})
	}
}

// Checks the bound in the package documentation: a partition cuts three entries
// into one and two, and an account sends as much as it can to both sides. Each
// side admits the whole limit, so the account gets twice its limit and no more.
func TestOvershootUnderPartition(t *testing.T) {
	account := &bundle.Account{Name: "a", Limit: bundle.Limit{RequestsPerSecond: 60, Burst: 6}}
	entries := []Limiter{newLimiter(t, "adaptive"), newLimiter(t, "adaptive"), newLimiter(t, "adaptive")}
	run := func(from time.Time, sees [3]int) int {
		ok := 0
		for ms := range 10000 {
			for i, l := range entries {
				ok += admitted(l, 1, account, sees[i], idle(10000), from.Add(time.Duration(ms)*time.Millisecond))
			}
		}
		return ok
	}
	whole := run(start, [3]int{3, 3, 3})
	cut := run(start.Add(10*time.Second), [3]int{1, 2, 2})
	healed := run(start.Add(20*time.Second), [3]int{3, 3, 3})
	assert.Assert(t, whole >= 598 && whole <= 606, "%d", whole)
	assert.Assert(t, cut >= 1190 && cut <= 1212, "%d", cut)
	assert.Assert(t, healed <= 606, "%d", healed)
}

func TestInFlightPart(t *testing.T) {
	l := newLimiter(t, bundle.PolicyAdaptive)
	account := &bundle.Account{Name: "a", Limit: bundle.Limit{InFlight: 10}}
	assert.Equal(t, admitted(l, 20, account, 3, idle(1000), start), 4)
	v := l.Admit(start, account, 3, idle(1000))
	assert.Equal(t, v.Reason, api.ReasonRateLimited)
	l.Done(account, "llm", start)
	assert.Equal(t, admitted(l, 20, account, 3, idle(1000), start), 1)
}

func TestRetryAfterFollowsTheRefill(t *testing.T) {
	l := newLimiter(t, bundle.PolicyAdaptive)
	account := &bundle.Account{Name: "a", Limit: bundle.Limit{RequestsPerSecond: 4, Burst: 1}}
	assert.Assert(t, l.Admit(start, account, 2, idle(10)).OK)
	for i := range 3 {
		v := l.Admit(start, account, 2, idle(10))
		assert.Equal(t, v.RetryAfter, time.Duration(i+1)*500*time.Millisecond)
	}
	assert.Assert(t, l.Admit(start.Add(500*time.Millisecond), account, 2, idle(10)).OK)
}

func TestShares(t *testing.T) {
	big := &bundle.Account{Name: "big", Weight: 8}
	small := &bundle.Account{Name: "small", Weight: 2}
	desk := &bundle.Account{Name: "desk", Weight: 1, Priority: 5}
	l := newLimiter(t, bundle.PolicyAdaptive)
	// A capacity of 20 times inFlightMargin makes 30 slots. While no other
	// account asks, one may use all of them.
	assert.Equal(t, admitted(l, 100, big, 1, full(20), start), 30)
	// Others get their shares although no slot is free.
	assert.Equal(t, admitted(l, 100, small, 1, full(20), start), 6)
	assert.Equal(t, admitted(l, 100, desk, 1, full(20), start), 27)
	v := l.Admit(start, big, 1, full(20))
	assert.Equal(t, v.Reason, api.ReasonOverloaded)
	assert.Assert(t, v.RetryAfter > 0 && v.RetryAfter < maxRetrySpread)
	// Slots that are not asked for may be used by others again: the desk and
	// the small account stop.
	for range 27 {
		l.Done(desk, "llm", start)
	}
	for range 6 {
		l.Done(small, "llm", start)
	}
	for range 30 {
		l.Done(big, "llm", start)
	}
	later := start.Add(3 * activeWindow)
	assert.Equal(t, admitted(l, 100, big, 1, full(20), later), 30)
}

func TestSharesOnlyWhenSaturated(t *testing.T) {
	l := newLimiter(t, bundle.PolicyAdaptive)
	account := &bundle.Account{Name: "a", Weight: 1}
	assert.Equal(t, admitted(l, 500, account, 1, idle(100), start), 300)
}

// Guards against refusals of a small account that sends a call now and then
// while a large account floods the engines for twenty seconds.
func TestFloodCostsSmallAccountNothing(t *testing.T) {
	big := &bundle.Account{Name: "big", Weight: 8}
	small := &bundle.Account{Name: "small", Weight: 1}
	l := newLimiter(t, bundle.PolicyAdaptive)
	const capacity, service = 40, 200
	var running []flight
	refused, asked := 0, 0
	for ms := range 20000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		kept := running[:0]
		for _, f := range running {
			if f.until > ms {
				kept = append(kept, f)
				continue
			}
			l.Done(f.account, "llm", now)
		}
		running = kept
		d := idle(capacity)
		d.ServiceTime = service * time.Millisecond
		d.Occupancy.InFlight, d.Occupancy.Service = len(running), d.ServiceTime
		if l.Admit(now, big, 1, d).OK {
			running = append(running, flight{big, ms + service})
		}
		if ms%100 == 50 {
			asked++
			if !l.Admit(now, small, 1, d).OK {
				refused++
				continue
			}
			running = append(running, flight{small, ms + service})
		}
	}
	assert.Equal(t, asked, 200)
	assert.Equal(t, refused, 0)
}

type flight struct {
	account *bundle.Account
	until   int
}

// TestDivideAgainstSmallSteps compares the shares with those of a simple
// algorithm that hands out slots in small steps, always to the account with the
// fewest slots for its weight.
func TestDivideAgainstSmallSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFairPool()
		var claims []*claim
		for i := range rapid.IntRange(1, 6).Draw(t, "accounts") {
			c := &claim{
				weight:      float64(rapid.IntRange(1, 9).Draw(t, "weight")),
				priority:    rapid.IntRange(0, 2).Draw(t, "priority"),
				peak:        rapid.IntRange(1, 40).Draw(t, "wanted"),
				windowStart: start,
			}
			p.claims[fmt.Sprint(i)] = c
			claims = append(claims, c)
		}
		slots := float64(rapid.IntRange(1, 60).Draw(t, "slots"))
		p.divide(slots, start)
		for i, want := range smallSteps(claims, slots) {
			assert.Assert(t, claims[i].share > want-0.2 && claims[i].share < want+0.2, "%d: %v, want %v", i, claims[i].share, want)
		}
	})
}

func smallSteps(claims []*claim, slots float64) []float64 {
	const step = 0.01
	shares := make([]float64, len(claims))
	for priority := 2; priority >= 0; priority-- {
		usable := slots
		for _, c := range claims {
			if c.priority < priority {
				usable = slots * (1 - lowerPriorityReserve)
				break
			}
		}
		for given := 0.0; given < usable; given += step {
			least := -1
			for i, c := range claims {
				if c.priority != priority || shares[i]+step > float64(c.peak) {
					continue
				}
				if least < 0 || shares[i]/c.weight < shares[least]/claims[least].weight {
					least = i
				}
			}
			if least < 0 {
				break
			}
			shares[least] += step
			slots -= step
		}
	}
	return shares
}

func TestDemandOfFindsTheBottleneck(t *testing.T) {
	pipeline := &bundle.Pipeline{Stages: []bundle.Stage{
		{Pool: "encoders", Typical: bundle.Duration(10 * time.Millisecond)},
		{Pool: "llm", Typical: bundle.Duration(200 * time.Millisecond)},
	}}
	snap := &route.Snapshot{Pools: map[string]*route.Pool{}}
	for _, name := range []string{"encoders", "llm"} {
		e := &route.Endpoint{Name: name, Load: new(route.Load)}
		e.Report.Capacity = 8
		snap.Pools[name] = route.NewPool(name, "entry-1", []*route.Endpoint{e})
	}
	d := DemandOf(start, pipeline, snap)
	assert.Equal(t, d.Pool, "llm")
	assert.Equal(t, d.ServiceTime, 210*time.Millisecond)
	assert.Assert(t, d.slots(2) > 6.29 && d.slots(2) < 6.31)
}

func BenchmarkAdmitSaturated(b *testing.B) {
	l := newLimiter(b, bundle.PolicyAdaptive)
	accounts := make([]*bundle.Account, 5)
	for i := range accounts {
		accounts[i] = &bundle.Account{Name: fmt.Sprint(i), Weight: i + 1, Priority: i % 2}
	}
	d := full(100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		account := accounts[i%len(accounts)]
		if l.Admit(start, account, 3, d).OK {
			l.Done(account, d.Pool, start)
		}
	}
}

// TestConcurrentUse exercises concurrent calls under the race detector, and
// checks that all slots are released.
func TestConcurrentUse(t *testing.T) {
	l := newLimiter(t, bundle.PolicyAdaptive)
	var group sync.WaitGroup
	for i := range 8 {
		account := &bundle.Account{Name: fmt.Sprint(i % 3), Weight: 1, Limit: bundle.Limit{InFlight: 50}}
		group.Go(func() {
			for range 500 {
				if l.Admit(start, account, 1, full(4)).OK {
					l.Done(account, "llm", start)
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, l.(*adaptive).pool("llm").inFlight, 0)
}
