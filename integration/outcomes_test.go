package integration

import (
	"context"
	"strings"
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
	// crowd is how many orders are sent at once.
	crowd = 120
	// someCalls is how many calls have to be on their way before a fault.
	someCalls = 8
	// onItsWay is what a routed call needs to leave its entry.
	onItsWay = 50 * time.Millisecond
	// shortFreeze is below what a process notices as a pause, longFreeze above.
	shortFreeze = 350 * time.Millisecond
	longFreeze  = 1300 * time.Millisecond
)

// crowdOf opens orders that cannot be recognised when they are sent again, so
// that "refused" rests on nothing but what became of this one sending.
func (b *book) crowdOf(n int) []*order {
	orders := make([]*order, n)
	for i := range orders {
		orders[i] = b.open(minted)
	}
	return orders
}

// staggered spreads deadlines over and around a freeze, so that some orders are
// given up before, some during and some right after it.
func staggered(i int) time.Duration {
	return 100*time.Millisecond + time.Duration(i)*4*time.Millisecond
}

func constant(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// routed is how many calls an entry has chosen an endpoint for.
func routed(e *harness.Entry) int {
	return strings.Count(string(e.Log()), `"endpoint":"`+ordersPool)
}

// waitRouted waits until an entry has routed some more calls than before.
func (b *book) waitRouted(e *harness.Entry, before int) {
	b.t.Helper()
	harness.Wait(b.t, patience, func() error {
		if n := routed(e) - before; n < someCalls {
			return errorx.IllegalState.New("%s has routed %d calls; not answered: %v", e.Name, n, b.reasons())
		}
		return nil
	})
}

// awaitServing waits until an entry answers.
func (b *book) awaitServing(entryIndex int) {
	b.t.Helper()
	harness.Wait(b.t, patience, func() error {
		if s := b.send(b.t.Context(), b.open(minted), entryIndex, time.Second); !s.was(api.OutcomeAnswered) {
			return errorx.IllegalState.New("%s, %s", s.reply.Outcome(), s.reply.Reason())
		}
		return nil
	})
}

// TestRevokedOrderNeverRuns: a customer's order times out while the agent hangs
// for a moment. The entry revokes it; the agent wakes, finds the call and its
// revocation in the same socket buffer and acknowledges "not run"; the optician
// is told "refused" and places the order anew. If the call then still ran, because
// it was taken up after its revocation, the frame would be made twice.
func TestRevokedOrderNeverRuns(t *testing.T) {
	b := &book{t: t, fleet: orderFleet(t, nil)}
	defer b.report(t)
	for range 4 {
		for _, e := range b.fleet.PoolEndpoints(ordersPool) {
			b.fleet.Agent(e.Name).Stop()
		}
		sent := b.sendEach(b.crowdOf(crowd), staggered)
		<-time.After(shortFreeze)
		for _, e := range b.fleet.PoolEndpoints(ordersPool) {
			b.fleet.Agent(e.Name).Cont()
		}
		sent.Wait()
	}
	tally := b.verify()
	assert.Assert(t, tally[api.OutcomeRefused] > 0, "no revocation was acknowledged")
	assert.Assert(t, tally[api.OutcomeAnswered] > 0, "no order outlived the freeze")
}

// TestLostConnectionProvesNothing: an entry writes orders to an agent that is
// frozen before it reads them, and loses the connection. The callers get their
// reply. Then the agent wakes with the orders in its socket buffer. An entry
// that takes a lost connection for "refused" is proved a liar if one of them runs.
func TestLostConnectionProvesNothing(t *testing.T) {
	for _, freeze := range []time.Duration{shortFreeze, longFreeze} {
		t.Run(freeze.String(), func(t *testing.T) {
			b := &book{t: t, fleet: orderFleet(t, func(c *harness.Config) {
				c.Pools = map[string]int{ordersPool: 1}
				c.Entries = 1
			})}
			defer b.report(t)
			agent := b.fleet.Agent(ordersPool + "-1")
			link := b.fleet.Link("entry-1", agent.Name)
			var crowds []*order
			for range 3 {
				b.awaitServing(0)
				before := routed(b.fleet.Entry(0))
				woken := time.After(freeze)
				agent.Stop()
				orders := b.crowdOf(crowd)
				crowds = append(crowds, orders...)
				sent := b.sendEach(orders, constant(2*time.Second))
				b.waitRouted(b.fleet.Entry(0), before)
				link.Cut()
				sent.Wait()
				<-woken
				agent.Cont()
				link.Heal()
				b.fleet.WaitReady(patience)
			}
			tally := b.verify()
			assert.Assert(t, tally[api.OutcomeUnknown] > 0, "no order was on its way when the connection went")
			if freeze == longFreeze {
				// What a process finds unread when it wakes was given up by its
				// sender, though its time has not run out.
				runs := b.runs()
				for _, o := range crowds {
					assert.Equal(t, runs[o.marker], 0, "a woken agent ran what had waited for it")
				}
			}
		})
	}
}

// TestFrozenEntryTellsTheTruth: an entry is frozen with orders on their way and
// others unread in its socket buffer. Agents run what they had; the entry wakes
// after the deadlines, with results and timers due all at once. What it then
// calls refused must not have run, whichever event it handles first.
func TestFrozenEntryTellsTheTruth(t *testing.T) {
	for _, freeze := range []time.Duration{shortFreeze, longFreeze} {
		t.Run(freeze.String(), func(t *testing.T) {
			b := &book{t: t, fleet: orderFleet(t, nil)}
			defer b.report(t)
			frozen := b.fleet.Entry(0)
			for range 3 {
				earlier := routed(frozen)
				before := b.sendEach(b.crowdOf(crowd), staggered)
				b.waitRouted(frozen, earlier)
				frozen.Stop()
				during := b.sendEach(b.crowdOf(crowd), staggered)
				<-time.After(freeze)
				frozen.Cont()
				before.Wait()
				during.Wait()
				b.fleet.WaitReady(patience)
				b.awaitServing(0)
			}
			tally := b.verify()
			assert.Assert(t, tally[api.OutcomeAnswered] > 0)
			assert.Assert(t, tally[api.OutcomeRefused]+tally[api.OutcomeUnknown]+tally[api.OutcomeCutShort] > 0, "the freeze had no effect")
		})
	}
}

// TestImpatientCallers: callers in a hurry send with deadlines around the time
// that the work takes, more of them than the endpoints can serve. Deadlines end
// in the entry, on the way, in the agent's queue and on the endpoint, and each
// place has its own word for it; only "refused" promises that nothing ran.
func TestImpatientCallers(t *testing.T) {
	b := &book{t: t, fleet: orderFleet(t, nil)}
	defer b.report(t)
	for range 4 {
		b.sendEach(b.crowdOf(3*crowd), func(i int) time.Duration {
			return time.Duration(2+i%50) * time.Millisecond
		}).Wait()
	}
	tally := b.verify()
	assert.Assert(t, tally[api.OutcomeRefused] > 0)
	assert.Assert(t, tally[api.OutcomeAnswered] > 0)
}

// TestHungUpCallers: callers hang up while their orders wait for a workshop. The
// entry revokes them and records "refused" for those that an agent took out of
// its queue. An order that is made all the same, seconds later, was denied by the
// very account that its caller will ask for.
func TestHungUpCallers(t *testing.T) {
	const slow = 60 * time.Millisecond
	b := &book{t: t, fleet: orderFleet(t, func(c *harness.Config) {
		c.Service = func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = slow }
	})}
	defer b.report(t)
	orders := make([]*order, 2*crowd)
	for i := range orders {
		orders[i] = b.open(held)
	}
	var wg sync.WaitGroup
	for i, o := range orders {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Millisecond)
			defer cancel()
			b.send(ctx, o, i%len(b.fleet.Entries()), time.Minute)
		})
	}
	wg.Wait()
	b.verify()
	refused := 0
	for _, o := range orders {
		e, err := b.fleet.Explain(t.Context(), 0, o.call.HeldID)
		assert.NilError(t, err)
		if e.Story.Outcome == api.OutcomeRefused {
			refused++
		}
	}
	t.Logf("%d of %d orders were revoked in time", refused, len(orders))
	assert.Assert(t, refused > 0)
}

// TestAccountWithoutWitnesses: an order under a held ID is refused once, sent
// again through another entry and made. Then that entry dies, and the agent, and
// a support engineer asks what became of the order. All that is left is a true
// refusal of its first sending, and it must not pass for the whole story.
func TestAccountWithoutWitnesses(t *testing.T) {
	b := &book{t: t, fleet: orderFleet(t, func(c *harness.Config) { c.Pools = map[string]int{ordersPool: 1} })}
	defer b.report(t)
	o := b.open(held)
	all, none := 1.0, 0.0
	endpoint := b.fleet.PoolEndpoints(ordersPool)[0]
	endpoint.Apply(fake.Control{RefuseRate: &all})
	first := b.send(t.Context(), o, 0, orderTimeout)
	assert.Equal(t, first.reply.Outcome(), api.OutcomeRefused, "%s", first.reply.Body)
	endpoint.Apply(fake.Control{RefuseRate: &none})
	// What is sent through another entry within the clocks' skew is refused once more.
	harness.Wait(t, patience, func() error {
		if s := b.send(t.Context(), o, 1, orderTimeout); !s.was(api.OutcomeAnswered) {
			return errorx.IllegalState.New("%s", s.reply.Body)
		}
		return nil
	})
	for _, p := range []*harness.Process{b.fleet.Entry(1).Process, b.fleet.Agent(endpoint.Name)} {
		p.Kill()
		p.Restart()
	}
	b.fleet.WaitReady(patience)
	e, err := b.fleet.Explain(t.Context(), 0, o.call.HeldID)
	assert.NilError(t, err)
	t.Log(outline(&e.Story))
	assert.Equal(t, e.Story.Outcome, api.OutcomeUnknown)
	assert.Assert(t, !e.Story.Complete)
	assert.Equal(t, b.runs()[o.marker], 1)
}

// TestLateCallAfterRefusal: an order's call is held up on its way and its entry
// hangs. The caller sends it again through another entry, whose workshop refuses
// it and whose owner says that it never ran: "refused". Then the first call
// arrives. If it still ran, the caller, who has placed the order anew, would get
// two frames.
func TestLateCallAfterRefusal(t *testing.T) {
	const heldUp = 700 * time.Millisecond
	for _, by := range []identification{held, timedKey} {
		t.Run(string(by), func(t *testing.T) {
			b := &book{t: t, fleet: orderFleet(t, func(c *harness.Config) { c.Pools = map[string]int{ordersPool: 1} })}
			defer b.report(t)
			o := b.open(by)
			entry := b.fleet.Entry(0)
			endpoint := b.fleet.PoolEndpoints(ordersPool)[0]
			agent := b.fleet.Agent(endpoint.Name)
			b.fleet.Link(entry.Name, agent.Name).Delay(heldUp)
			ctx, hangUp := context.WithCancel(t.Context())
			var first sync.WaitGroup
			first.Go(func() { b.send(ctx, o, 0, orderTimeout) })
			harness.Wait(t, patience, func() error {
				if routed(entry) == 0 {
					return errorx.IllegalState.New("the order is not on its way")
				}
				return nil
			})
			<-time.After(onItsWay)
			entry.Stop()
			hangUp()
			first.Wait()
			b.refuseOnce(endpoint, o)
			harness.Wait(t, patience, func() error {
				if !agent.LogHas(`"entry":"` + entry.Name + "@") {
					return errorx.IllegalState.New("the call has not arrived")
				}
				return nil
			})
			entry.Cont()
			b.fleet.Link(entry.Name, agent.Name).Heal()
			b.verify()
			assert.Equal(t, b.runs()[o.marker], 0)
		})
	}
}

// refuseOnce sends an order through the second entry while its endpoint
// refuses all work.
func (b *book) refuseOnce(endpoint *harness.Endpoint, o *order) {
	b.t.Helper()
	all, none := 1.0, 0.0
	endpoint.Apply(fake.Control{RefuseRate: &all})
	s := b.send(b.t.Context(), o, 1, orderTimeout)
	endpoint.Apply(fake.Control{RefuseRate: &none})
	assert.Equal(b.t, s.reply.Outcome(), api.OutcomeRefused, "%s", s.reply.Body)
}
