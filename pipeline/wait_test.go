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

// poolPicker is a pool of endpoints that come and go as a whole.
type poolPicker struct {
	away bool
	// heard is the time of the latest report of each endpoint.
	heard time.Time
	picks int
	// useless is a request that no endpoint can serve at present.
	useless string
}

func (p *poolPicker) Pick(_ time.Time, _ *bundle.Policy, req *route.Request) route.Decision {
	p.picks++
	if p.away || req.ID == p.useless || !req.HeardSince.IsZero() && !p.heard.After(req.HeardSince) {
		return route.Decision{Reason: route.ReasonNone, MayReturn: true}
	}
	mayReturn := false
	for _, name := range []string{"e1", "e2", "e3"} {
		at := lostAt(req, name)
		if (!tried(req, name) || p.heard.After(at)) && (req.Only == "" || req.Only == name) {
			return route.Decision{Endpoint: &route.Endpoint{Name: name}}
		}
		mayReturn = mayReturn || at.Before(epoch.Add(time.Hour))
	}
	return route.Decision{Reason: route.ReasonAllTried, MayReturn: mayReturn}
}

// lostAt is when the endpoint was lost last; the end of time if it answered.
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

func newWaiting(pool *poolPicker, limit int) *player {
	p := &player{now: epoch}
	p.core = New(Config{Entry: "entry/1", Picker: pool, Quantiles: fixedQuantile(20 * ms), MaxWaiting: limit})
	return p
}

func (p *player) back(pool *poolPicker, places int) {
	p.now = p.now.Add(ms)
	pool.away, pool.heard = false, p.now
	effects := p.core.EndpointsBack(p.now, "a", places)
	p.effects = append(p.effects, effects...)
	for _, e := range effects {
		if c, ok := e.(Call); ok {
			p.calls = append(p.calls, c)
		}
	}
}

// Guards against a request that is cut short, with time left, because every
// endpoint of the next stage's pool is away for a moment.
func TestBegunRequestWaitsForItsPool(t *testing.T) {
	pool := &poolPicker{}
	p := newWaiting(pool, 0)
	p.play(send(admit(minted, one, two)))
	pool.away = true
	p.play(done(1))
	assert.Equal(t, p.core.Waiting(), 1)
	assert.Equal(t, len(all[Reply](p)), 0)
	p.back(pool, 1)
	p.play(done(2))
	assert.Equal(t, all[Reply](p)[0].Outcome(), api.OutcomeAnswered)
	assert.Equal(t, p.core.Waiting(), 0)
}

// Guards against a request that fails with the only endpoint of a pool, which
// restarts and has time to run it.
func TestRestartedEndpointIsTriedAgain(t *testing.T) {
	pool := &poolPicker{heard: epoch}
	p := newWaiting(pool, 0)
	p.play(send(admit(minted, one)))
	pool.away = true
	p.play(lost(1))
	assert.Equal(t, p.core.Waiting(), 1)
	p.back(pool, 1)
	assert.Equal(t, p.calls[1].Endpoint, "e1")
	p.play(done(2))
	assert.Equal(t, all[Reply](p)[0].Outcome(), api.OutcomeAnswered)
}

// Guards against a request that has not run and is held although nobody knows
// when it can be served.
func TestRequestThatHasNotRunIsRefusedAtOnce(t *testing.T) {
	pool := &poolPicker{away: true}
	p := newWaiting(pool, 0)
	p.play(send(admit(minted, one, two)))
	reply := all[Reply](p)[0]
	assert.Equal(t, reply.Outcome(), api.OutcomeRefused)
	assert.Equal(t, reply.Problem.Reason, api.ReasonNoEndpoint)
	assert.Assert(t, reply.Problem.RetryAfter > 0)
}

// Guards against a wait that lasts until the deadline though the rest of the
// request no longer fits.
func TestWaitEndsWhenTheRestNoLongerFits(t *testing.T) {
	pool := &poolPicker{}
	p := newWaiting(pool, 0)
	a := admit(minted, one, two)
	p.play(send(a))
	pool.away = true
	p.play(done(1), timer(TimerWait))
	reply := all[Reply](p)[0]
	assert.Equal(t, reply.Outcome(), api.OutcomeCutShort)
	assert.Equal(t, reply.Problem.Reason, api.ReasonNoEndpoint)
	assert.Assert(t, p.now.Before(a.Deadline.Add(-20*ms)), "ended at %v", p.now.Sub(epoch))
	assert.Equal(t, p.core.Waiting(), 0)
}

// Guards against a wait without a place: memory holds the outputs of those that wait.
func TestFullWaitRoomEndsRequests(t *testing.T) {
	pool := &poolPicker{}
	p := newWaiting(pool, 1)
	for i := range 2 {
		a := admit(minted, one, two)
		a.RequestID, a.Ref = fmt.Sprint("r", i), uint64(i+1)
		p.play(send(a))
	}
	pool.away = true
	p.play(done(1), done(2))
	assert.Equal(t, p.core.Waiting(), 1)
	assert.Equal(t, all[Reply](p)[0].Problem.Reason, api.ReasonNoEndpoint)
}

// Guards against a pool that comes back and meets all that waited at once: those
// with the least time left go first, as many as there is room for.
func TestWaitingRequestsReturnInOrder(t *testing.T) {
	pool := &poolPicker{}
	p := newWaiting(pool, 0)
	for i, left := range []time.Duration{900 * ms, 500 * ms, 700 * ms} {
		a := admit(minted, one, two)
		a.RequestID, a.Ref, a.Deadline = fmt.Sprint("r", i), uint64(i+1), epoch.Add(left)
		p.play(send(a))
	}
	pool.away = true
	p.play(done(1), done(2), done(3))
	p.back(pool, 2)
	assert.Equal(t, len(p.calls), 5)
	assert.Equal(t, p.calls[3].ID.Request, "r1")
	assert.Equal(t, p.calls[4].ID.Request, "r2")
	assert.Equal(t, p.core.Waiting(), 1)
}

// Guards against a place that is never given back when the caller leaves, the
// deadline passes or a late result moves the request on.
func TestWaitingRequestGivesItsPlaceBack(t *testing.T) {
	ends := map[string]step{
		"caller gone": gone,
		"deadline":    timer(TimerDeadline),
		"late result": done(2),
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			pool := &poolPicker{}
			p := newWaiting(pool, 0)
			p.play(send(admit(minted, one, two)), done(1))
			pool.away = true
			p.play(lost(2))
			assert.Equal(t, p.core.Waiting(), 1)
			p.play(end)
			assert.Equal(t, p.core.Waiting(), 0)
			picks := pool.picks
			p.back(pool, 10)
			assert.Equal(t, pool.picks, picks, "picked for a request that waits no more")
		})
	}
}

// Guards against a request that loses all its attempts within milliseconds to
// endpoints that went together: the last one waits for a word from its endpoint.
func TestLastAttemptWaitsForAWord(t *testing.T) {
	pool := &poolPicker{heard: epoch.Add(-time.Second)}
	p := newWaiting(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 3
	p.play(send(a), done(1), lost(2), notReached(3))
	assert.Equal(t, len(p.calls), 3)
	assert.Equal(t, p.core.Waiting(), 1)
	p.back(pool, 1)
	p.play(done(4))
	assert.Equal(t, all[Reply](p)[0].Outcome(), api.OutcomeAnswered)
}

// Guards against a request that is cut short with time left because its
// attempts were spent on calls that reached no endpoint.
func TestAttemptThatReachedNothingIsNotSpent(t *testing.T) {
	pool := &poolPicker{heard: epoch.Add(-time.Second)}
	p := newWaiting(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 3
	p.play(send(a), done(1), notReached(2), lost(3))
	p.back(pool, 1)
	p.play(notReached(4))
	assert.Equal(t, len(all[Reply](p)), 0)
	p.back(pool, 1)
	p.play(done(5))
	assert.Equal(t, all[Reply](p)[0].Outcome(), api.OutcomeAnswered)
}

// Guards against an outage of a pool that makes more load than its policy
// allows: attempts that may have run still count.
func TestAttemptsThatMayHaveRunAreSpent(t *testing.T) {
	pool := &poolPicker{heard: epoch.Add(-time.Second)}
	p := newWaiting(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 3
	p.play(send(a), done(1), lost(2), lost(3))
	p.back(pool, 1)
	p.play(notReached(4))
	p.back(pool, 1)
	p.play(lost(5))
	assert.Equal(t, all[Reply](p)[0].Outcome(), api.OutcomeCutShort)
	assert.Equal(t, len(p.calls), 5)
}

// Guards against a request that dials a pool that flaps until its deadline.
func TestAttemptsThatReachNothingAreBounded(t *testing.T) {
	pool := &poolPicker{heard: epoch.Add(-time.Second)}
	p := newWaiting(pool, 0)
	p.play(send(admit(minted, one, two)), done(1))
	for call := 2; len(all[Reply](p)) == 0; call++ {
		p.play(notReached(call))
		p.back(pool, 1)
	}
	assert.Equal(t, all[Reply](p)[0].Outcome(), api.OutcomeCutShort)
	assert.Equal(t, len(p.calls), 1+maxNotReached)
}

// Guards against a last attempt that waits for ever in a pool that is well and quiet.
func TestLastAttemptGoesAnywhereAfterAWhile(t *testing.T) {
	pool := &poolPicker{heard: epoch.Add(-time.Second)}
	p := newWaiting(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 3
	a.Deadline = epoch.Add(4 * time.Second)
	p.play(send(a), done(1), lost(2), lost(3), timer(TimerWait))
	assert.Equal(t, len(p.calls), 4)
	assert.Assert(t, p.now.Sub(epoch) < confirmWait+100*ms)
}

// TestWaitRoomAgainstList compares the room with a plain list.
func TestWaitRoomAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 6
		room := newWaitRoom(limit)
		var list []*ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pool := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				k := &ticket{pool: pool, until: epoch.Add(time.Duration(rapid.IntRange(0, 1e6).Draw(t, "until")))}
				entered := room.enter(k)
				assert.Equal(t, entered, len(list) < limit)
				if entered {
					list = append(list, k)
				}
			case 1:
				first := firstOf(list, pool)
				k := room.call(pool)
				assert.Equal(t, k == nil, first < 0)
				if first >= 0 {
					assert.Assert(t, k.until.Equal(list[first].until) && k.pool == pool)
					list = without(list, k)
				}
			case 2:
				if len(list) > 0 {
					k := rapid.SampledFrom(list).Draw(t, "leaves")
					room.leave(k)
					room.leave(k)
					list = without(list, k)
				}
			}
			assert.Equal(t, room.len(), len(list))
		}
	})
}

func firstOf(list []*ticket, pool string) int {
	first := -1
	for i, k := range list {
		if k.pool == pool && (first < 0 || k.until.Before(list[first].until)) {
			first = i
		}
	}
	return first
}

func without(list []*ticket, k *ticket) []*ticket {
	var rest []*ticket
	for _, other := range list {
		if other != k {
			rest = append(rest, other)
		}
	}
	return rest
}

// Guards against requests that wait behind one for which the endpoint that is
// back is of no use, as it is not the one that it needs.
func TestWaitingRequestDoesNotBlockOthers(t *testing.T) {
	pool := &poolPicker{heard: epoch}
	p := newWaiting(pool, 0)
	for i, left := range []time.Duration{500 * ms, 900 * ms} {
		a := admit(minted, one, two)
		a.RequestID, a.Ref, a.Deadline = fmt.Sprint("r", i), uint64(i+1), epoch.Add(left)
		p.play(send(a))
	}
	pool.away = true
	p.play(done(1), done(2))
	assert.Equal(t, p.core.Waiting(), 2)
	pool.useless = "r0"
	p.back(pool, 1)
	assert.Equal(t, p.calls[len(p.calls)-1].ID.Request, "r1")
	assert.Equal(t, p.core.Waiting(), 1)
}

// Guards against a request that is held though every endpoint of its pool has
// answered it with an error and none will do better.
func TestRequestThatAllHaveFailedIsNotHeld(t *testing.T) {
	pool := &poolPicker{heard: epoch}
	p := newWaiting(pool, 0)
	a := admit(minted, one, two)
	a.Bundle.Policy.MaxAttempts = 5
	failed := func(call int) step { return result(call, wire.StatusFailed, "") }
	p.play(send(a), done(1), failed(2), failed(3), failed(4))
	assert.Equal(t, all[Reply](p)[0].Problem.Reason, api.ReasonEndpointFailed)
	assert.Equal(t, p.core.Waiting(), 0)
}
