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
	// burstSize is how many orders are sent at the same time.
	burstSize = 120
	// minRoutedCalls is how many calls must have been routed before a fault.
	minRoutedCalls = 8
	// callWriteTime is the time within which a routed call leaves its entry.
	callWriteTime = 50 * time.Millisecond
	// shortFreeze is shorter than what a process detects as a pause, longFreeze longer.
	shortFreeze = 350 * time.Millisecond
	longFreeze  = 1300 * time.Millisecond
)

// mintedOrders creates n orders whose repeated submissions are not recognised, so that
// "refused" depends on the one submission only.
func (b *orderChecker) mintedOrders(n int) []*order {
	orders := make([]*order, n)
	for i := range orders {
		orders[i] = b.newOrder(minted)
	}
	return orders
}

// staggeredTimeout spreads deadlines over the time around a freeze, so that some
// orders time out before it, some during it and some right after it.
func staggeredTimeout(i int) time.Duration {
	return 100*time.Millisecond + time.Duration(i)*4*time.Millisecond
}

// constantTimeout returns a function that gives each order the timeout d.
func constantTimeout(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// routedCalls returns the number of calls that an entry has chosen an endpoint for.
func routedCalls(e *harness.Entry) int {
	return strings.Count(string(e.Log()), `"endpoint":"`+ordersPool)
}

// awaitRouted waits until an entry has routed minRoutedCalls more calls than before.
func (b *orderChecker) awaitRouted(e *harness.Entry, before int) {
	b.t.Helper()
	harness.Wait(b.t, recoveryTimeout, func() error {
		if n := routedCalls(e) - before; n < minRoutedCalls {
			return errorx.IllegalState.New("%s has routed %d calls; not answered: %v", e.Name, n, b.reasons())
		}
		return nil
	})
}

// awaitServing waits until an entry answers an order.
func (b *orderChecker) awaitServing(entryIndex int) {
	b.t.Helper()
	harness.Wait(b.t, recoveryTimeout, func() error {
		if s := b.send(b.t.Context(), b.newOrder(minted), entryIndex, time.Second); !s.hasOutcome(api.OutcomeAnswered) {
			return errorx.IllegalState.New("%s, %s", s.reply.Outcome(), s.reply.Reason())
		}
		return nil
	})
}

// TestRevokedOrderNeverRuns guards against a call that runs after its revocation was
// acknowledged. An order times out while its agent is frozen for a moment, and the
// entry revokes it. The agent wakes, finds the call and its revocation in one socket
// buffer and acknowledges "not run"; the caller gets "refused" and places a new
// order. If the agent then started the call, the order would be made twice.
func TestRevokedOrderNeverRuns(t *testing.T) {
	b := &orderChecker{t: t, fleet: orderFleet(t, nil)}
	defer b.report(t)
	for range 4 {
		for _, e := range b.fleet.PoolEndpoints(ordersPool) {
			b.fleet.Agent(e.Name).Stop()
		}
		sent := b.sendEach(b.mintedOrders(burstSize), staggeredTimeout)
		<-time.After(shortFreeze)
		for _, e := range b.fleet.PoolEndpoints(ordersPool) {
			b.fleet.Agent(e.Name).Cont()
		}
		sent.Wait()
	}
	tally := b.verify()
	assert.Assert(t, tally[api.OutcomeRefused] > 0, "no revocation was acknowledged")
	assert.Assert(t, tally[api.OutcomeAnswered] > 0, "no order was answered despite the freeze")
}

// TestLostConnectionIsNotRefused guards against an entry that reports "refused" only
// because a connection was lost. The entry writes orders to an agent that is frozen
// before it reads them, loses the connection and replies to the callers. Then the
// agent wakes with the orders in its socket buffer and may run them.
func TestLostConnectionIsNotRefused(t *testing.T) {
	for _, freeze := range []time.Duration{shortFreeze, longFreeze} {
		t.Run(freeze.String(), func(t *testing.T) {
			b := &orderChecker{t: t, fleet: orderFleet(t, func(c *harness.Config) {
				c.Pools = map[string]int{ordersPool: 1}
				c.Entries = 1
			})}
			defer b.report(t)
			agent := b.fleet.Agent(ordersPool + "-1")
			link := b.fleet.Link("entry-1", agent.Name)
			var allOrders []*order
			for range 3 {
				b.awaitServing(0)
				before := routedCalls(b.fleet.Entry(0))
				woken := time.After(freeze)
				agent.Stop()
				orders := b.mintedOrders(burstSize)
				allOrders = append(allOrders, orders...)
				sent := b.sendEach(orders, constantTimeout(2*time.Second))
				b.awaitRouted(b.fleet.Entry(0), before)
				link.Cut()
				sent.Wait()
				<-woken
				agent.Cont()
				link.Heal()
				b.fleet.WaitReady(recoveryTimeout)
			}
			tally := b.verify()
			assert.Assert(t, tally[api.OutcomeUnknown] > 0, "no order was in flight when the connection was cut")
			if freeze == longFreeze {
				// The sender has given up what a process finds unread after a long
				// freeze, even before the deadline.
				runs := b.runs()
				for _, o := range allOrders {
					assert.Equal(t, runs[o.marker], 0, "a woken agent ran a call that had waited unread")
				}
			}
		})
	}
}

// TestFrozenEntryReportsTrueOutcomes guards against false refusals after a freeze. An
// entry is frozen with orders in flight and others unread in its socket buffer. Agents
// run what they have received; the entry wakes after the deadlines, with results and
// timers due at the same time. An order that it reports as refused must not have run,
// whichever event it handles first.
func TestFrozenEntryReportsTrueOutcomes(t *testing.T) {
	for _, freeze := range []time.Duration{shortFreeze, longFreeze} {
		t.Run(freeze.String(), func(t *testing.T) {
			b := &orderChecker{t: t, fleet: orderFleet(t, nil)}
			defer b.report(t)
			frozen := b.fleet.Entry(0)
			for range 3 {
				earlier := routedCalls(frozen)
				before := b.sendEach(b.mintedOrders(burstSize), staggeredTimeout)
				b.awaitRouted(frozen, earlier)
				frozen.Stop()
				during := b.sendEach(b.mintedOrders(burstSize), staggeredTimeout)
				<-time.After(freeze)
				frozen.Cont()
				before.Wait()
				during.Wait()
				b.fleet.WaitReady(recoveryTimeout)
				b.awaitServing(0)
			}
			tally := b.verify()
			assert.Assert(t, tally[api.OutcomeAnswered] > 0)
			assert.Assert(t, tally[api.OutcomeRefused]+tally[api.OutcomeUnknown]+tally[api.OutcomeCutShort] > 0, "the freeze had no effect")
		})
	}
}

// TestShortDeadlines guards against false outcomes of orders that time out. Deadlines
// are close to the run time, and there are more orders than the endpoints can serve.
// Deadlines pass in the entry, on the connection, in the agent's queue and on the
// endpoint, each with an outcome of its own; only "refused" means that nothing ran.
func TestShortDeadlines(t *testing.T) {
	b := &orderChecker{t: t, fleet: orderFleet(t, nil)}
	defer b.report(t)
	for range 4 {
		b.sendEach(b.mintedOrders(3*burstSize), func(i int) time.Duration {
			return time.Duration(2+i%50) * time.Millisecond
		}).Wait()
	}
	tally := b.verify()
	assert.Assert(t, tally[api.OutcomeRefused] > 0)
	assert.Assert(t, tally[api.OutcomeAnswered] > 0)
}

// TestDisconnectedCallers guards against orders that run although their explanation
// says "refused". Callers disconnect while their orders are queued. The entry revokes
// the orders and records "refused" for those that an agent removed from its queue;
// none of them may run later.
func TestDisconnectedCallers(t *testing.T) {
	const slow = 60 * time.Millisecond
	b := &orderChecker{t: t, fleet: orderFleet(t, func(c *harness.Config) {
		c.Service = func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = slow }
	})}
	defer b.report(t)
	orders := make([]*order, 2*burstSize)
	for i := range orders {
		orders[i] = b.newOrder(held)
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
		if e.Timeline.Outcome == api.OutcomeRefused {
			refused++
		}
	}
	t.Logf("%d of %d orders were revoked in time", refused, len(orders))
	assert.Assert(t, refused > 0)
}

// TestExplanationWithLostRecords guards against explanations that present partial
// records as complete. An order under a held ID is refused once, submitted again
// through another entry and run. Then that entry and the agent are killed. The only
// record left is the true refusal of the first submission; the explanation must say
// "unknown" and that it is incomplete.
func TestExplanationWithLostRecords(t *testing.T) {
	b := &orderChecker{t: t, fleet: orderFleet(t, func(c *harness.Config) { c.Pools = map[string]int{ordersPool: 1} })}
	defer b.report(t)
	o := b.newOrder(held)
	all, none := 1.0, 0.0
	endpoint := b.fleet.PoolEndpoints(ordersPool)[0]
	endpoint.Apply(fake.Control{RefuseRate: &all})
	first := b.send(t.Context(), o, 0, orderTimeout)
	assert.Equal(t, first.reply.Outcome(), api.OutcomeRefused, "%s", first.reply.Body)
	endpoint.Apply(fake.Control{RefuseRate: &none})
	// A submission through another entry within the clock skew is refused once more.
	harness.Wait(t, recoveryTimeout, func() error {
		if s := b.send(t.Context(), o, 1, orderTimeout); !s.hasOutcome(api.OutcomeAnswered) {
			return errorx.IllegalState.New("%s", s.reply.Body)
		}
		return nil
	})
	for _, p := range []*harness.Process{b.fleet.Entry(1).Process, b.fleet.Agent(endpoint.Name)} {
		p.Kill()
		p.Restart()
	}
	b.fleet.WaitReady(recoveryTimeout)
	e, err := b.fleet.Explain(t.Context(), 0, o.call.HeldID)
	assert.NilError(t, err)
	t.Log(formatTimeline(&e.Timeline))
	assert.Equal(t, e.Timeline.Outcome, api.OutcomeUnknown)
	assert.Assert(t, !e.Timeline.Complete)
	assert.Equal(t, b.runs()[o.marker], 1)
}

// TestLateCallAfterRefusal guards against a delayed call that runs after its order was
// refused. The call is delayed on the link and its entry is frozen. The caller submits
// the order again through another entry; the endpoint refuses it, and the owner says
// that it never ran, so the caller gets "refused" and places a new order. Then the
// first call arrives. If it ran, the order would be made twice.
func TestLateCallAfterRefusal(t *testing.T) {
	const heldUp = 700 * time.Millisecond
	for _, by := range []identification{held, timedKey} {
		t.Run(string(by), func(t *testing.T) {
			b := &orderChecker{t: t, fleet: orderFleet(t, func(c *harness.Config) { c.Pools = map[string]int{ordersPool: 1} })}
			defer b.report(t)
			o := b.newOrder(by)
			entry := b.fleet.Entry(0)
			endpoint := b.fleet.PoolEndpoints(ordersPool)[0]
			agent := b.fleet.Agent(endpoint.Name)
			b.fleet.Link(entry.Name, agent.Name).Delay(heldUp)
			ctx, hangUp := context.WithCancel(t.Context())
			var first sync.WaitGroup
			first.Go(func() { b.send(ctx, o, 0, orderTimeout) })
			harness.Wait(t, recoveryTimeout, func() error {
				if routedCalls(entry) == 0 {
					return errorx.IllegalState.New("the order has not been routed")
				}
				return nil
			})
			<-time.After(callWriteTime)
			entry.Stop()
			hangUp()
			first.Wait()
			b.refuseOnce(endpoint, o)
			harness.Wait(t, recoveryTimeout, func() error {
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

// refuseOnce submits an order through the second entry while the endpoint refuses
// all work, and expects a refusal.
func (b *orderChecker) refuseOnce(endpoint *harness.Endpoint, o *order) {
	b.t.Helper()
	all, none := 1.0, 0.0
	endpoint.Apply(fake.Control{RefuseRate: &all})
	s := b.send(b.t.Context(), o, 1, orderTimeout)
	endpoint.Apply(fake.Control{RefuseRate: &none})
	assert.Equal(b.t, s.reply.Outcome(), api.OutcomeRefused, "%s", s.reply.Body)
}
