package integration

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
)

const (
	// ordersPerKind is how many orders of each identification are sent during a fault.
	ordersPerKind = 8
	// orderTime is the run time of an order, long enough for faults to happen during it.
	orderTime = 15 * time.Millisecond
	// minFaultTime is the shortest duration of a fault in inject.
	minFaultTime = 300 * time.Millisecond
	// orderTimeout is the timeout of one submission.
	orderTimeout = 1500 * time.Millisecond
	// retention is the key retention: short, so that opaque keys are accepted soon
	// after a start, and longer than orders are submitted again here.
	retention = 8 * time.Second
	skew      = 200 * time.Millisecond
	// maxSubmissions is how often a caller submits an order at most.
	maxSubmissions = 4
	// A call that is cut after headerBytes ends in its headers, one that is cut after
	// bodyBytes in its body.
	headerBytes = 20
	bodyBytes   = 330
	// A reply that is cut after replyBytes ends in its body.
	replyBytes = 150
)

var seed = flag.Uint64("seed", 0, "seed of the randomised faults; 0 draws one")

// dedupIdentifications are the identifications by which repeated submissions of an
// order are recognised.
var dedupIdentifications = []identification{held, timedKey, opaqueKey}

// fault is one fault that is injected while orders are in flight.
type fault struct {
	name string
	// inject starts the fault, heal ends it.
	inject func(f *harness.Fleet)
	heal   func(f *harness.Fleet)
	// duration is how long the fault lasts at least; zero leaves it to the test.
	duration time.Duration
	// beforeOrders means that the fault starts before the orders are sent, not while
	// they run.
	beforeOrders bool
	// allAnswered means that every order must be answered despite the fault.
	allAnswered bool
}

// orderAgents returns the names of the agents of the pool of orders.
func orderAgents(f *harness.Fleet) []string {
	var names []string
	for _, e := range f.PoolEndpoints(ordersPool) {
		names = append(names, e.Name)
	}
	return names
}

// entryPartition returns the links between two sides: one entry with one agent, and
// the other entry with two.
func entryPartition(f *harness.Fleet) *harness.Link {
	agents := orderAgents(f)
	one := []string{"entry-1", agents[0]}
	other := []string{"entry-2", agents[1], agents[2]}
	return f.Between(one, other)
}

// endpointFault returns a fault on the links between all agents and their endpoints.
func endpointFault(name string, inject func(*harness.Link)) fault {
	return fault{
		name:         name,
		beforeOrders: true,
		inject: func(f *harness.Fleet) {
			for _, agent := range orderAgents(f) {
				inject(f.EndpointLink(agent))
			}
		},
		heal: func(f *harness.Fleet) {
			for _, agent := range orderAgents(f) {
				f.EndpointLink(agent).Heal()
			}
		},
	}
}

// platformFault returns a fault of the platform, despite which all orders must be
// answered.
func platformFault(name string, config fake.ConfigControl, vms fake.VMControl) fault {
	off := false
	return fault{
		name:         name,
		beforeOrders: true,
		allAnswered:  true,
		inject: func(f *harness.Fleet) {
			f.Platform.Config.Apply(config)
			f.Platform.VMs.Apply(vms)
		},
		heal: func(f *harness.Fleet) {
			f.Platform.Config.Apply(fake.ConfigControl{Down: &off, Stale: &off})
			f.Platform.VMs.Apply(fake.VMControl{Down: &off, Stale: &off})
		},
	}
}

// faults returns all faults. The one that makes an agent lose its state comes last.
func faults() []fault {
	on := true
	healthy := func(*harness.Fleet) {}
	return []fault{
		{name: "none", inject: healthy, heal: healthy, beforeOrders: true, allAnswered: true},
		platformFault("platform down", fake.ConfigControl{Down: &on}, fake.VMControl{Down: &on}),
		platformFault("platform stale", fake.ConfigControl{Stale: &on}, fake.VMControl{Stale: &on}),
		{
			name:   "cut between the entries' sides",
			inject: func(f *harness.Fleet) { entryPartition(f).Cut() },
			heal:   func(f *harness.Fleet) { entryPartition(f).Heal() },
		},
		{
			name:   "partition between the entries' sides",
			inject: func(f *harness.Fleet) { entryPartition(f).Drop() },
			heal:   func(f *harness.Fleet) { entryPartition(f).Heal() },
		},
		endpointFault("endpoint cut off", func(l *harness.Link) { l.Cut() }),
		endpointFault("cut in a call's headers", func(l *harness.Link) { l.LimitData(headerBytes, harness.Upstream) }),
		endpointFault("cut in a call's body", func(l *harness.Link) { l.LimitData(bodyBytes, harness.Upstream) }),
		endpointFault("cut before a reply", func(l *harness.Link) { l.LimitData(1, harness.Downstream) }),
		endpointFault("cut in a reply", func(l *harness.Link) { l.LimitData(replyBytes, harness.Downstream) }),
		endpointFault("reset", func(l *harness.Link) { l.Reset() }),
		endpointFault("replies lost", func(l *harness.Link) { l.Drop(harness.Downstream) }),
		{
			name:     "entry frozen",
			inject:   func(f *harness.Fleet) { f.Entry(0).Stop() },
			heal:     func(f *harness.Fleet) { f.Entry(0).Cont() },
			duration: longFreeze,
		},
		{
			name:     "agent frozen",
			inject:   func(f *harness.Fleet) { f.Agent(orderAgents(f)[0]).Stop() },
			heal:     func(f *harness.Fleet) { f.Agent(orderAgents(f)[0]).Cont() },
			duration: longFreeze,
		},
		{
			name:   "entry killed",
			inject: func(f *harness.Fleet) { f.Entry(0).Kill() },
			heal:   func(f *harness.Fleet) { f.Entry(0).Restart() },
		},
		{
			name:   "agent killed and started again",
			inject: func(f *harness.Fleet) { f.Agent(orderAgents(f)[0]).Kill() },
			heal:   func(f *harness.Fleet) { f.Agent(orderAgents(f)[0]).Restart() },
		},
	}
}

// TestSameOrderThroughTwoEntries guards against an order that runs twice. A caller
// submits it through both entries, at the same time or again after it got no answer,
// during each of the faults. Whichever entry and agent get which submission, the
// order must run at most once, and exactly once if any submission was answered.
func TestSameOrderThroughTwoEntries(t *testing.T) {
	b := &orderChecker{t: t, fleet: orderFleet(t, func(c *harness.Config) {
		c.Edit = withKeyRetention(retention, skew)
		c.Service = func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = orderTime }
	})}
	defer b.report(t)
	b.awaitOpaqueKeys()
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			orders := b.inject(f)
			b.awaitIdle()
			answered := 0
			for _, o := range orders {
				if o.answered() {
					answered++
				}
			}
			t.Logf("%d of %d orders answered", answered, len(orders))
			if f.allAnswered {
				assert.Equal(t, answered, len(orders))
			}
		})
	}
	b.verify()
}

// awaitOpaqueKeys waits until the agents have run long enough to accept orders whose
// key contains no time.
func (b *orderChecker) awaitOpaqueKeys() {
	b.t.Helper()
	harness.Wait(b.t, recoveryTimeout, func() error {
		o := b.newOrder(opaqueKey)
		if s := b.send(b.t.Context(), o, 0, orderTimeout); !s.hasOutcome(api.OutcomeAnswered) {
			return errorx.IllegalState.New("%s", o.history())
		}
		return nil
	})
}

// inject submits orders through all entries at once, injects f before or while they
// run, heals it, and submits all orders again. It returns the orders.
func (b *orderChecker) inject(f fault) []*order {
	var orders []*order
	for _, by := range dedupIdentifications {
		for range ordersPerKind {
			if o := b.newOrder(by); o != nil {
				orders = append(orders, o)
			}
		}
	}
	started := b.fleet.TotalStarts()
	var wg sync.WaitGroup
	if f.beforeOrders {
		f.inject(b.fleet)
	}
	for i, o := range orders {
		wg.Go(func() { b.submitToAll(o, i) })
	}
	if !f.beforeOrders {
		harness.Wait(b.t, recoveryTimeout, func() error {
			if b.fleet.TotalStarts() == started {
				return errorx.IllegalState.New("no order has started")
			}
			return nil
		})
		f.inject(b.fleet)
	}
	<-time.After(max(f.duration, minFaultTime))
	f.heal(b.fleet)
	wg.Wait()
	b.fleet.WaitReady(recoveryTimeout)
	for i, o := range orders {
		wg.Go(func() { b.submitToAll(o, i) })
	}
	wg.Wait()
	return orders
}

// submitToAll submits an order through all entries at once, and once more through
// each in turn until it is answered. It submits nothing once the key has expired.
func (b *orderChecker) submitToAll(o *order, first int) {
	if o.keyExpired() {
		return
	}
	var wg sync.WaitGroup
	entries := len(b.fleet.Entries())
	for i := range entries {
		wg.Go(func() { b.send(b.t.Context(), o, i, orderTimeout) })
	}
	wg.Wait()
	for i := 0; i < entries && !o.answered() && !o.keyExpired(); i++ {
		b.send(b.t.Context(), o, (first+i)%entries, orderTimeout)
	}
}

// keyExpired reports whether an order's key is too old to be submitted again: runs
// under an opaque key are remembered only for the retention.
func (o *order) keyExpired() bool {
	return o.identifiedBy == opaqueKey && time.Since(o.createdAt) > retention/2
}

// TestManyOrdersUnderRandomFaults guards against replies and explanations that differ
// from the endpoints' own counts of runs. A day's orders are sent in a minute under
// random overlapping faults: frozen and killed entries and agents, partitions, cut
// calls and replies, crashed endpoints, a platform that is down or stale. Callers
// submit again, some through two entries at once.
func TestManyOrdersUnderRandomFaults(t *testing.T) {
	const (
		total   = 2400
		callers = 32
		entries = 3
	)
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", *seed)
	b := &orderChecker{t: t, fleet: orderFleet(t, func(c *harness.Config) {
		c.Entries = entries
		c.LogLevel = "warn"
		c.Edit = func(b *bundle.Bundle) {
			withKeyRetention(2*time.Minute, skew)(b)
			b.Policy.CrashLimit = total
			b.Accounts[0].Limit = bundle.Limit{RequestsPerSecond: total, Burst: total, InFlight: total}
		}
		c.Service = func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time, s.Jitter = orderTime, 1 }
	})}
	defer b.report(t)
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() { b.injectRandomFaults(rand.New(rand.NewPCG(*seed, 0)), stop) })
	var wg sync.WaitGroup
	for caller := range callers {
		rng := rand.New(rand.NewPCG(*seed, uint64(caller)+1))
		wg.Go(func() {
			for range total / callers {
				b.runCaller(rng)
			}
		})
	}
	wg.Wait()
	close(stop)
	chaos.Wait()
	tally := b.verify()
	assert.Assert(t, tally[api.OutcomeAnswered] >= total/4, "%v", tally)
	assert.Assert(t, tally[api.OutcomeRefused] > 0, "%v", tally)
	assert.Assert(t, tally[api.OutcomeUnknown] > 0, "%v", tally)
}

// runCaller submits one order until it is answered or the caller gives up, sometimes
// through two entries at once.
func (b *orderChecker) runCaller(rng *rand.Rand) {
	by := []identification{held, held, timedKey, timedKey, opaqueKey, minted}[rng.IntN(6)]
	o := b.newOrder(by)
	if o == nil {
		return
	}
	entries := len(b.fleet.Entries())
	for range 1 + rng.IntN(maxSubmissions) {
		<-time.After(time.Duration(50+rng.IntN(300)) * time.Millisecond)
		timeout := time.Duration(50+rng.IntN(800)) * time.Millisecond
		first := rng.IntN(entries)
		var wg sync.WaitGroup
		if by != minted && rng.IntN(3) == 0 {
			wg.Go(func() { b.send(b.t.Context(), o, (first+1)%entries, timeout) })
		}
		b.send(b.t.Context(), o, first, timeout)
		wg.Wait()
		if by == minted || o.answered() {
			return
		}
	}
}

// injectRandomFaults injects one random fault after the other until stop is closed,
// each sometimes with the crash of an endpoint. Each is healed before the next one
// starts; a killed agent is only restarted by then.
func (b *orderChecker) injectRandomFaults(rng *rand.Rand, stop <-chan struct{}) {
	list := faults()[1:]
	for n := 0; ; n++ {
		select {
		case <-stop:
			b.t.Logf("%d faults", n)
			return
		default:
		}
		// Up to two faults at a time: the crash comes before the other fault is
		// healed.
		b.injectFault(list[rng.IntN(len(list))], rng, func() {
			if rng.IntN(2) == 0 {
				b.crashEndpoint(rng)
			}
		})
		<-time.After(time.Duration(rng.IntN(150)) * time.Millisecond)
	}
}

// injectFault injects f for a random time, at least its duration, calls meanwhile,
// and heals f.
func (b *orderChecker) injectFault(f fault, rng *rand.Rand, meanwhile func()) {
	f.inject(b.fleet)
	<-time.After(max(f.duration, time.Duration(20+rng.IntN(250))*time.Millisecond))
	meanwhile()
	f.heal(b.fleet)
}

// crashEndpoint takes a random endpoint down for up to 100 ms, with all its calls.
func (b *orderChecker) crashEndpoint(rng *rand.Rand) {
	all := b.fleet.PoolEndpoints(ordersPool)
	all[rng.IntN(len(all))].Apply(fake.Control{DownForMS: 1 + rng.IntN(100)})
}

// TestOrdersFlowWithoutPlatform guards against a dependency of requests on the
// platform. The configuration service and the list of VMs go down and answer nothing
// but errors. All orders must be answered from what entries and agents already know.
func TestOrdersFlowWithoutPlatform(t *testing.T) {
	b := &orderChecker{t: t, fleet: orderFleet(t, nil)}
	defer b.report(t)
	down := true
	b.fleet.Platform.Config.Apply(fake.ConfigControl{Down: &down})
	b.fleet.Platform.VMs.Apply(fake.VMControl{Down: &down})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		var orders []*order
		for range 2 {
			orders = append(orders, b.newOrder(held), b.newOrder(timedKey), b.newOrder(minted))
		}
		b.sendEach(orders, constantTimeout(orderTimeout)).Wait()
	}
	up := false
	b.fleet.Platform.Config.Apply(fake.ConfigControl{Down: &up})
	b.fleet.Platform.VMs.Apply(fake.VMControl{Down: &up})
	tally := b.verify()
	assert.Equal(t, tally[api.OutcomeAnswered], len(b.orders))
}

// TestFreezeOfFifteenSeconds guards against orders that run twice after a long freeze.
// An entry and an agent are frozen for 15 s with orders in flight, longer than any
// deadline, and wake with outdated state. Meanwhile callers have submitted their
// orders again through the other entries.
func TestFreezeOfFifteenSeconds(t *testing.T) {
	const freeze = 15 * time.Second
	b := &orderChecker{t: t, fleet: orderFleet(t, func(c *harness.Config) {
		c.Entries = 3
		c.Service = func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = orderTime }
	})}
	defer b.report(t)
	agent := b.fleet.Agent(ordersPool + "-1")
	frozen := b.fleet.Entry(2)
	var orders []*order
	for range 2 * ordersPerKind {
		orders = append(orders, b.newOrder(held), b.newOrder(timedKey), b.newOrder(opaqueKey), b.newOrder(minted))
	}
	started := b.fleet.TotalStarts()
	first := b.sendEach(orders, constantTimeout(orderTimeout))
	harness.Wait(t, recoveryTimeout, func() error {
		if b.fleet.TotalStarts() == started {
			return errorx.IllegalState.New("no order has started")
		}
		return nil
	})
	agent.Stop()
	frozen.Stop()
	woken := time.After(freeze)
	var again sync.WaitGroup
	for i, o := range orders {
		if o.identifiedBy == minted {
			continue
		}
		again.Go(func() { b.send(t.Context(), o, i%2, orderTimeout) })
	}
	again.Wait()
	<-woken
	agent.Cont()
	frozen.Cont()
	first.Wait()
	b.fleet.WaitReady(recoveryTimeout)
	for i, o := range orders {
		if o.identifiedBy == minted {
			continue
		}
		again.Go(func() { b.send(t.Context(), o, i%3, orderTimeout) })
	}
	again.Wait()
	tally := b.verify()
	assert.Assert(t, tally[api.OutcomeAnswered] > 0)
}
