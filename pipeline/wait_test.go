package pipeline

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

// poolPicker is a Picker over one pool whose endpoints become unavailable and
// available together.
type poolPicker struct {
	unavailable bool
	// reportedAt is the time of the latest report of every endpoint.
	reportedAt time.Time
	picks      int
	// unservable is the ID of a request that no endpoint can serve.
	unservable string
}

func (p *poolPicker) Pick(_ time.Time, _ *bundle.Policy, req *route.Request) route.Decision {
	p.picks++
	if p.unavailable || req.ID == p.unservable || !req.ReportedAfter.IsZero() && !p.reportedAt.After(req.ReportedAfter) {
		return route.Decision{Reason: route.ReasonNone, MayBecomeUsable: true}
	}
	mayReturn := false
	for _, name := range []string{"e1", "e2", "e3"} {
		at := lostAt(req, name)
		if (!tried(req, name) || p.reportedAt.After(at)) && (req.BoundTo == "" || req.BoundTo == name) {
			return route.Decision{Endpoint: &route.Endpoint{Name: name}}
		}
		mayReturn = mayReturn || at.Before(epoch.Add(time.Hour))
	}
	return route.Decision{Reason: route.ReasonAllTried, MayBecomeUsable: mayReturn}
}

// lostAt returns when the endpoint was last lost: zero if never, and an hour
// after epoch if it answered.
func lostAt(req *route.Request, name string) time.Time {
	at := time.Time{}
	for _, t := range req.Tried {
		if t.Endpoint == name && t.LostAt.IsZero() {
			return epoch.Add(time.Hour)
		}
		if t.Endpoint == name && t.LostAt.After(at) {
			at = t.LostAt
		}
	}
	return at
}

// newWaitingDriver returns a driver whose Core picks endpoints from pool and
// lets at most limit requests wait; 0 means the default.
func newWaitingDriver(pool *poolPicker, limit int) *driver {
	d := &driver{now: epoch}
	d.core = New(Config{Entry: "entry/1", Picker: pool, Quantiles: fixedQuantile(20 * ms), MaxWaiting: limit})
	return d
}

func (d *driver) endpointsBack(pool *poolPicker, slots int) {
	d.now = d.now.Add(ms)
	pool.unavailable, pool.reportedAt = false, d.now
	effects := d.core.EndpointsAvailable(d.now, "a", slots)
	d.effects = append(d.effects, effects...)
	for _, e := range effects {
		if c, ok := e.(Call); ok {
			d.calls = append(d.calls, c)
		}
	}
}

// Guards against cutting a request short, with time left, because every
// endpoint of the next stage's pool is unavailable for a moment.
func TestStartedRequestWaitsForItsPool(t *testing.T) {
	pool := &poolPicker{}
	d := newWaitingDriver(pool, 0)
	d.run(send(admit(minted, one, two)))
	pool.unavailable = true
	d.run(done(1))
	assert.Equal(t, d.core.Waiting(), 1)
	assert.Equal(t, len(all[Reply](d)), 0)
	d.endpointsBack(pool, 1)
	d.run(done(2))
	assert.Equal(t, all[Reply](d)[0].Outcome(), api.OutcomeAnswered)
	assert.Equal(t, d.core.Waiting(), 0)
}

// Guards against failing a request together with the only endpoint of a pool,
// which restarts in time to run it.
func TestRestartedEndpointIsTriedAgain(t *testing.T) {
	pool := &poolPicker{reportedAt: epoch}
	d := newWaitingDriver(pool, 0)
	d.run(send(admit(minted, one)))
	pool.unavailable = true
	d.run(lost(1))
	assert.Equal(t, d.core.Waiting(), 1)
	d.endpointsBack(pool, 1)
	assert.Equal(t, d.calls[1].Endpoint, "e1")
	d.run(done(2))
	assert.Equal(t, all[Reply](d)[0].Outcome(), api.OutcomeAnswered)
}

// Guards against holding a request of which nothing has run, although it is
// unknown when it can be served.
func TestRequestThatHasNotRunIsRefusedAtOnce(t *testing.T) {
	pool := &poolPicker{unavailable: true}
	d := newWaitingDriver(pool, 0)
	d.run(send(admit(minted, one, two)))
	reply := all[Reply](d)[0]
	assert.Equal(t, reply.Outcome(), api.OutcomeRefused)
	assert.Equal(t, reply.Problem.Reason, api.ReasonNoEndpoint)
	assert.Assert(t, reply.Problem.RetryAfter > 0)
}

// Guards against waiting until the deadline when there is no longer enough time
// for the rest of the request.
func TestWaitEndsWhenTooLittleTimeIsLeft(t *testing.T) {
	pool := &poolPicker{}
	d := newWaitingDriver(pool, 0)
	a := admit(minted, one, two)
	d.run(send(a))
	pool.unavailable = true
	d.run(done(1), timer(TimerWait))
	reply := all[Reply](d)[0]
	assert.Equal(t, reply.Outcome(), api.OutcomeCutShort)
	assert.Equal(t, reply.Problem.Reason, api.ReasonNoEndpoint)
	assert.Assert(t, d.now.Before(a.Deadline.Add(-20*ms)), "ended at %v", d.now.Sub(epoch))
	assert.Equal(t, d.core.Waiting(), 0)
}

// Guards against an unbounded number of waiting requests: each holds the
// outputs of its stages in memory.
func TestFullWaitSetEndsRequests(t *testing.T) {
	pool := &poolPicker{}
	d := newWaitingDriver(pool, 1)
	for i := range 2 {
		a := admit(minted, one, two)
		a.RequestID, a.Ref = fmt.Sprint("r", i), uint64(i+1)
		d.run(send(a))
	}
	pool.unavailable = true
	d.run(done(1), done(2))
	assert.Equal(t, d.core.Waiting(), 1)
	assert.Equal(t, all[Reply](d)[0].Problem.Reason, api.ReasonNoEndpoint)
}

// Guards against sending all waiting requests at once to a pool that has just
// become available: those with the least time left go first, as many as there
// are slots.
func TestWaitingRequestsReturnInOrder(t *testing.T) {
	pool := &poolPicker{}
	d := newWaitingDriver(pool, 0)
	for i, left := range []time.Duration{900 * ms, 500 * ms, 700 * ms} {
		a := admit(minted, one, two)
		a.RequestID, a.Ref, a.Deadline = fmt.Sprint("r", i), uint64(i+1), epoch.Add(left)
		d.run(send(a))
	}
	pool.unavailable = true
	d.run(done(1), done(2), done(3))
	d.endpointsBack(pool, 2)
	assert.Equal(t, len(d.calls), 5)
	assert.Equal(t, d.calls[3].ID.Request, "r1")
	assert.Equal(t, d.calls[4].ID.Request, "r2")
	assert.Equal(t, d.core.Waiting(), 1)
}

// Guards against leaking a place in the wait set when the caller leaves, the
// deadline passes or a late result advances the request.
func TestWaitingRequestLeavesWaitSet(t *testing.T) {
	ends := map[string]step{
		"caller gone": callerGone,
		"deadline":    timer(TimerDeadline),
		"late result": done(2),
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			pool := &poolPicker{}
			d := newWaitingDriver(pool, 0)
			d.run(send(admit(minted, one, two)), done(1))
			pool.unavailable = true
			d.run(lost(2))
			assert.Equal(t, d.core.Waiting(), 1)
			d.run(end)
			assert.Equal(t, d.core.Waiting(), 0)
			picks := pool.picks
			d.endpointsBack(pool, 10)
			assert.Equal(t, pool.picks, picks, "picked for a request that no longer waits")
		})
	}
}

// Guards against a request that loses all its attempts within milliseconds on
// endpoints that failed together: the last attempt waits for a report from an
// endpoint.
func TestLastAttemptWaitsForAReport(t *testing.T) {
	pool := &poolPicker{reportedAt: epoch.Add(-time.Second)}
	d := newWaitingDriver(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 3
	d.run(send(a), done(1), lost(2), notReached(3))
	assert.Equal(t, len(d.calls), 3)
	assert.Equal(t, d.core.Waiting(), 1)
	d.endpointsBack(pool, 1)
	d.run(done(4))
	assert.Equal(t, all[Reply](d)[0].Outcome(), api.OutcomeAnswered)
}

// Guards against cutting a request short, with time left, because its attempts
// were used up by calls that reached no endpoint.
func TestAttemptThatReachedNothingIsNotSpent(t *testing.T) {
	pool := &poolPicker{reportedAt: epoch.Add(-time.Second)}
	d := newWaitingDriver(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 3
	d.run(send(a), done(1), notReached(2), lost(3))
	d.endpointsBack(pool, 1)
	d.run(notReached(4))
	assert.Equal(t, len(all[Reply](d)), 0)
	d.endpointsBack(pool, 1)
	d.run(done(5))
	assert.Equal(t, all[Reply](d)[0].Outcome(), api.OutcomeAnswered)
}

// Guards against more load on a failing pool than its policy allows: attempts
// that may have run still count.
func TestAttemptsThatMayHaveRunCount(t *testing.T) {
	pool := &poolPicker{reportedAt: epoch.Add(-time.Second)}
	d := newWaitingDriver(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 3
	d.run(send(a), done(1), lost(2), lost(3))
	d.endpointsBack(pool, 1)
	d.run(notReached(4))
	d.endpointsBack(pool, 1)
	d.run(lost(5))
	assert.Equal(t, all[Reply](d)[0].Outcome(), api.OutcomeCutShort)
	assert.Equal(t, len(d.calls), 5)
}

// Guards against a request that dials a flapping pool until its deadline.
func TestAttemptsThatReachNothingAreBounded(t *testing.T) {
	pool := &poolPicker{reportedAt: epoch.Add(-time.Second)}
	d := newWaitingDriver(pool, 0)
	d.run(send(admit(minted, one, two)), done(1))
	for call := 2; len(all[Reply](d)) == 0; call++ {
		d.run(notReached(call))
		d.endpointsBack(pool, 1)
	}
	assert.Equal(t, all[Reply](d)[0].Outcome(), api.OutcomeCutShort)
	assert.Equal(t, len(d.calls), 1+maxNotReached)
}

// Guards against a last attempt that waits forever in a healthy pool whose
// endpoints have nothing new to report.
func TestLastAttemptStopsWaitingForAReport(t *testing.T) {
	pool := &poolPicker{reportedAt: epoch.Add(-time.Second)}
	d := newWaitingDriver(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 3
	a.Deadline = epoch.Add(4 * time.Second)
	d.run(send(a), done(1), lost(2), lost(3), timer(TimerWait))
	assert.Equal(t, len(d.calls), 4)
	assert.Assert(t, d.now.Sub(epoch) < reportWait+100*ms)
}

// TestWaitSetAgainstList compares the wait set with a plain list.
func TestWaitSetAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 6
		set := newWaitSet(limit)
		var list []*waiter
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pool := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				k := &waiter{pool: pool, until: epoch.Add(time.Duration(rapid.IntRange(0, 1e6).Draw(t, "until")))}
				entered := set.add(k)
				assert.Equal(t, entered, len(list) < limit)
				if entered {
					list = append(list, k)
				}
			case 1:
				first := firstOf(list, pool)
				k := set.pop(pool)
				assert.Equal(t, k == nil, first < 0)
				if first >= 0 {
					assert.Assert(t, k.until.Equal(list[first].until) && k.pool == pool)
					list = without(list, k)
				}
			case 2:
				if len(list) > 0 {
					k := rapid.SampledFrom(list).Draw(t, "leaves")
					set.remove(k)
					set.remove(k)
					list = without(list, k)
				}
			}
			assert.Equal(t, set.len(), len(list))
		}
	})
}

func firstOf(list []*waiter, pool string) int {
	first := -1
	for i, k := range list {
		if k.pool == pool && (first < 0 || k.until.Before(list[first].until)) {
			first = i
		}
	}
	return first
}

func without(list []*waiter, k *waiter) []*waiter {
	var rest []*waiter
	for _, other := range list {
		if other != k {
			rest = append(rest, other)
		}
	}
	return rest
}

// Guards against requests that are blocked by one ahead of them that cannot use
// the available endpoint.
func TestWaitingRequestDoesNotBlockOthers(t *testing.T) {
	pool := &poolPicker{reportedAt: epoch}
	d := newWaitingDriver(pool, 0)
	for i, left := range []time.Duration{500 * ms, 900 * ms} {
		a := admit(minted, one, two)
		a.RequestID, a.Ref, a.Deadline = fmt.Sprint("r", i), uint64(i+1), epoch.Add(left)
		d.run(send(a))
	}
	pool.unavailable = true
	d.run(done(1), done(2))
	assert.Equal(t, d.core.Waiting(), 2)
	pool.unservable = "r0"
	d.endpointsBack(pool, 1)
	assert.Equal(t, d.calls[len(d.calls)-1].ID.Request, "r1")
	assert.Equal(t, d.core.Waiting(), 1)
}

// Guards against holding a request although every endpoint of its pool has
// answered it with an error, so that no other attempt would do better.
func TestRequestFailedByAllEndpointsIsNotHeld(t *testing.T) {
	pool := &poolPicker{reportedAt: epoch}
	d := newWaitingDriver(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 5
	failed := func(call int) step { return result(call, wire.StatusFailed, "") }
	d.run(send(a), done(1), failed(2), failed(3), failed(4))
	assert.Equal(t, all[Reply](d)[0].Problem.Reason, api.ReasonEndpointFailed)
	assert.Equal(t, d.core.Waiting(), 0)
}
