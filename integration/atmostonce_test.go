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
	// ofEach is how many orders of each identification meet a fault.
	ofEach = 8
	// orderTime makes an order last long enough to be caught in the middle.
	orderTime = 15 * time.Millisecond
	// briefly is how long a fault lasts at least.
	briefly = 300 * time.Millisecond
	// orderTimeout is the deadline of one sending.
	orderTimeout = 1500 * time.Millisecond
	// retention is short, so that opaque keys are taken soon after a start, and
	// longer than any order here is sent again.
	retention = 8 * time.Second
	skew      = 200 * time.Millisecond
	// sendings is how often a caller sends an order at most.
	sendings = 4
	// someBytes of a call or reply are less than its headers, bodyBytes reach
	// into its body.
	someBytes = 20
	bodyBytes = 330
	// replyBytes reach into the body of a reply.
	replyBytes = 150
)

var seed = flag.Uint64("seed", 0, "seed of the randomised faults; 0 draws one")

// recognisable lists all ways in which an order sent again can be recognised.
var recognisable = []identification{held, timedKey, opaqueKey}

// fault is one thing that goes wrong while orders are on their way.
type fault struct {
	name string
	// strike makes it go wrong, mend ends it.
	strike func(f *harness.Fleet)
	mend   func(f *harness.Fleet)
	// lasts is how long it goes on; zero means briefly.
	lasts time.Duration
	// early: it strikes before the orders are sent, and not in their middle.
	early bool
	// harmless: every order has to be answered.
	harmless bool
}

func agentsOf(f *harness.Fleet) []string {
	var names []string
	for _, e := range f.PoolEndpoints(ordersPool) {
		names = append(names, e.Name)
	}
	return names
}

// part makes each entry reach only some agents, and not the other entry.
func part(f *harness.Fleet) *harness.Link {
	agents := agentsOf(f)
	one := []string{"entry-1", agents[0]}
	other := []string{"entry-2", agents[1], agents[2]}
	return f.Between(one, other)
}

// endpointFault is a fault between all agents and their endpoints.
func endpointFault(name string, strike func(*harness.Link)) fault {
	return fault{
		name:  name,
		early: true,
		strike: func(f *harness.Fleet) {
			for _, agent := range agentsOf(f) {
				strike(f.EndpointLink(agent))
			}
		},
		mend: func(f *harness.Fleet) {
			for _, agent := range agentsOf(f) {
				f.EndpointLink(agent).Heal()
			}
		},
	}
}

func platformFault(name string, config fake.ConfigControl, vms fake.VMControl) fault {
	off := false
	return fault{
		name:     name,
		early:    true,
		harmless: true,
		strike: func(f *harness.Fleet) {
			f.Platform.Config.Apply(config)
			f.Platform.VMs.Apply(vms)
		},
		mend: func(f *harness.Fleet) {
			f.Platform.Config.Apply(fake.ConfigControl{Down: &off, Stale: &off})
			f.Platform.VMs.Apply(fake.VMControl{Down: &off, Stale: &off})
		},
	}
}

// faults lists what can go wrong with an order. Those that cost agents their
// memory come last.
func faults() []fault {
	on := true
	healthy := func(*harness.Fleet) {}
	return []fault{
		{name: "none", strike: healthy, mend: healthy, early: true, harmless: true},
		platformFault("platform down", fake.ConfigControl{Down: &on}, fake.VMControl{Down: &on}),
		platformFault("platform stale", fake.ConfigControl{Stale: &on}, fake.VMControl{Stale: &on}),
		{
			name:   "cut between the entries' sides",
			strike: func(f *harness.Fleet) { part(f).Cut() },
			mend:   func(f *harness.Fleet) { part(f).Heal() },
		},
		{
			name:   "partition between the entries' sides",
			strike: func(f *harness.Fleet) { part(f).Drop() },
			mend:   func(f *harness.Fleet) { part(f).Heal() },
		},
		endpointFault("endpoint cut off", func(l *harness.Link) { l.Cut() }),
		endpointFault("cut in a call's headers", func(l *harness.Link) { l.LimitData(someBytes, harness.Upstream) }),
		endpointFault("cut in a call's body", func(l *harness.Link) { l.LimitData(bodyBytes, harness.Upstream) }),
		endpointFault("cut before a reply", func(l *harness.Link) { l.LimitData(1, harness.Downstream) }),
		endpointFault("cut in a reply", func(l *harness.Link) { l.LimitData(replyBytes, harness.Downstream) }),
		endpointFault("reset", func(l *harness.Link) { l.Reset() }),
		endpointFault("replies lost", func(l *harness.Link) { l.Drop(harness.Downstream) }),
		{
			name:   "entry frozen",
			strike: func(f *harness.Fleet) { f.Entry(0).Stop() },
			mend:   func(f *harness.Fleet) { f.Entry(0).Cont() },
			lasts:  longFreeze,
		},
		{
			name:   "agent frozen",
			strike: func(f *harness.Fleet) { f.Agent(agentsOf(f)[0]).Stop() },
			mend:   func(f *harness.Fleet) { f.Agent(agentsOf(f)[0]).Cont() },
			lasts:  longFreeze,
		},
		{
			name:   "entry killed",
			strike: func(f *harness.Fleet) { f.Entry(0).Kill() },
			mend:   func(f *harness.Fleet) { f.Entry(0).Restart() },
		},
		{
			name:   "agent killed and started again",
			strike: func(f *harness.Fleet) { f.Agent(agentsOf(f)[0]).Kill() },
			mend:   func(f *harness.Fleet) { f.Agent(agentsOf(f)[0]).Restart() },
		},
	}
}

// TestSameOrderThroughTwoEntries: a shop sends an order, gets no reply it can
// use and sends it again through another entry, or its two lines send it at the
// same time. Meanwhile one thing after another breaks. Whichever entry and agent
// see which sending, the workshop must make the frame once at most, and exactly
// once if anybody was told "answered".
func TestSameOrderThroughTwoEntries(t *testing.T) {
	b := &book{t: t, fleet: orderFleet(t, func(c *harness.Config) {
		c.Edit = remember(retention, skew)
		c.Service = func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = orderTime }
	})}
	defer b.report(t)
	b.awaitOpaque()
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			orders := b.strike(f)
			b.settle()
			answered := 0
			for _, o := range orders {
				if o.answered() {
					answered++
				}
			}
			t.Logf("%d of %d orders answered", answered, len(orders))
			if f.harmless {
				assert.Equal(t, answered, len(orders))
			}
		})
	}
	b.verify()
}

// awaitOpaque waits until the agents are old enough to run orders whose key
// has no time.
func (b *book) awaitOpaque() {
	b.t.Helper()
	harness.Wait(b.t, patience, func() error {
		o := b.open(opaqueKey)
		if s := b.send(b.t.Context(), o, 0, orderTimeout); !s.was(api.OutcomeAnswered) {
			return errorx.IllegalState.New("%s", o.history())
		}
		return nil
	})
}

// strike sends orders through both entries at once, makes a fault in the
// middle, mends it, and sends again what is not answered.
func (b *book) strike(f fault) []*order {
	var orders []*order
	for _, by := range recognisable {
		for range ofEach {
			if o := b.open(by); o != nil {
				orders = append(orders, o)
			}
		}
	}
	started := b.fleet.TotalStarts()
	var wg sync.WaitGroup
	if f.early {
		f.strike(b.fleet)
	}
	for i, o := range orders {
		wg.Go(func() { b.insist(o, i) })
	}
	if !f.early {
		harness.Wait(b.t, patience, func() error {
			if b.fleet.TotalStarts() == started {
				return errorx.IllegalState.New("no order has started")
			}
			return nil
		})
		f.strike(b.fleet)
	}
	<-time.After(max(f.lasts, briefly))
	f.mend(b.fleet)
	wg.Wait()
	b.fleet.WaitReady(patience)
	for i, o := range orders {
		wg.Go(func() { b.insist(o, i) })
	}
	wg.Wait()
	return orders
}

// insist sends an order through two entries at once, and once more through
// each unless it was answered.
func (b *book) insist(o *order, first int) {
	if o.forgotten() {
		return
	}
	var wg sync.WaitGroup
	entries := len(b.fleet.Entries())
	for i := range entries {
		wg.Go(func() { b.send(b.t.Context(), o, i, orderTimeout) })
	}
	wg.Wait()
	for i := 0; i < entries && !o.answered() && !o.forgotten(); i++ {
		b.send(b.t.Context(), o, (first+i)%entries, orderTimeout)
	}
}

// forgotten tells whether an order's key is too old to be sent again: what ran
// under an opaque key is remembered for the retention and no longer.
func (o *order) forgotten() bool {
	return o.by == opaqueKey && time.Since(o.opened) > retention/2
}

// TestManyOrdersUnderRandomFaults: a day of orders in a minute, with faults one
// upon the other at random: frozen and killed entries and agents, partitions,
// cut calls and replies, crashed endpoints, a platform that is down or stale.
// Callers send again, some through two entries at once. The workshops' own
// count of each order is what replies and accounts are held against.
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
	b := &book{t: t, fleet: orderFleet(t, func(c *harness.Config) {
		c.Entries = entries
		c.LogLevel = "warn"
		c.Edit = func(b *bundle.Bundle) {
			remember(2*time.Minute, skew)(b)
			b.Policy.CrashLimit = total
			b.Accounts[0].Limit = bundle.Limit{RequestsPerSecond: total, Burst: total, InFlight: total}
		}
		c.Service = func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time, s.Jitter = orderTime, 1 }
	})}
	defer b.report(t)
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() { b.chaos(rand.New(rand.NewPCG(*seed, 0)), stop) })
	var wg sync.WaitGroup
	for caller := range callers {
		rng := rand.New(rand.NewPCG(*seed, uint64(caller)+1))
		wg.Go(func() {
			for range total / callers {
				b.place(rng)
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

// place is one caller with one order: it sends it until it is answered or the
// caller gives up, sometimes through two entries at once.
func (b *book) place(rng *rand.Rand) {
	by := []identification{held, held, timedKey, timedKey, opaqueKey, minted}[rng.IntN(6)]
	o := b.open(by)
	if o == nil {
		return
	}
	entries := len(b.fleet.Entries())
	for range 1 + rng.IntN(sendings) {
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

// chaos makes one random fault after the other until stop is closed. Each ends
// before the next but for a killed agent, which is started at once.
func (b *book) chaos(rng *rand.Rand, stop <-chan struct{}) {
	list := faults()[1:]
	for n := 0; ; n++ {
		select {
		case <-stop:
			b.t.Logf("%d faults", n)
			return
		default:
		}
		// Two faults at a time: the second strikes while the first lasts.
		b.lastsAWhile(list[rng.IntN(len(list))], rng, func() {
			if rng.IntN(2) == 0 {
				b.crash(rng)
			}
		})
		<-time.After(time.Duration(rng.IntN(150)) * time.Millisecond)
	}
}

func (b *book) lastsAWhile(f fault, rng *rand.Rand, more func()) {
	f.strike(b.fleet)
	<-time.After(max(f.lasts, time.Duration(20+rng.IntN(250))*time.Millisecond))
	more()
	f.mend(b.fleet)
}

// crash makes one endpoint drop everything for a moment.
func (b *book) crash(rng *rand.Rand) {
	all := b.fleet.PoolEndpoints(ordersPool)
	all[rng.IntN(len(all))].Apply(fake.Control{DownForMS: 1 + rng.IntN(100)})
}

// TestOrdersFlowWithoutPlatform: the configuration service and the list of VMs
// go down in shop hours and stay down; an operator sees nothing but errors.
// What entries and agents know by then is enough to take and make orders.
func TestOrdersFlowWithoutPlatform(t *testing.T) {
	b := &book{t: t, fleet: orderFleet(t, nil)}
	defer b.report(t)
	down := true
	b.fleet.Platform.Config.Apply(fake.ConfigControl{Down: &down})
	b.fleet.Platform.VMs.Apply(fake.VMControl{Down: &down})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		var orders []*order
		for range 2 {
			orders = append(orders, b.open(held), b.open(timedKey), b.open(minted))
		}
		b.sendEach(orders, constant(orderTimeout)).Wait()
	}
	up := false
	b.fleet.Platform.Config.Apply(fake.ConfigControl{Down: &up})
	b.fleet.Platform.VMs.Apply(fake.VMControl{Down: &up})
	tally := b.verify()
	assert.Equal(t, tally[api.OutcomeAnswered], len(b.orders))
}

// TestFreezeOfFifteenSeconds: an entry and an agent hang for 15 s with orders on
// their way, longer than any deadline, and wake believing what they knew. In the
// meantime callers have sent their orders again through the others.
func TestFreezeOfFifteenSeconds(t *testing.T) {
	const freeze = 15 * time.Second
	b := &book{t: t, fleet: orderFleet(t, func(c *harness.Config) {
		c.Entries = 3
		c.Service = func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = orderTime }
	})}
	defer b.report(t)
	agent := b.fleet.Agent(ordersPool + "-1")
	frozen := b.fleet.Entry(2)
	var orders []*order
	for range 2 * ofEach {
		orders = append(orders, b.open(held), b.open(timedKey), b.open(opaqueKey), b.open(minted))
	}
	started := b.fleet.TotalStarts()
	first := b.sendEach(orders, constant(orderTimeout))
	harness.Wait(t, patience, func() error {
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
		if o.by == minted {
			continue
		}
		again.Go(func() { b.send(t.Context(), o, i%2, orderTimeout) })
	}
	again.Wait()
	<-woken
	agent.Cont()
	frozen.Cont()
	first.Wait()
	b.fleet.WaitReady(patience)
	for i, o := range orders {
		if o.by == minted {
			continue
		}
		again.Go(func() { b.send(t.Context(), o, i%3, orderTimeout) })
	}
	again.Wait()
	tally := b.verify()
	assert.Assert(t, tally[api.OutcomeAnswered] > 0)
}
