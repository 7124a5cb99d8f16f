package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/position"
)

// setCut cuts the processes of two groups off from each other, or ends the cut.
func (w *world) setCut(some, others []string, cut bool) {
	for _, a := range some {
		for _, b := range others {
			w.cut[a+b] = cut
		}
	}
}

// Guards against a weak VM that owns the queue for good after two groups of a starting
// fleet have each confirmed an owner and the names decide between the two claims.
func TestStrongerOfTwoAgreedOwnersHolds(t *testing.T) {
	weak, strong := []string{"a", "b"}, []string{"x", "y"}
	w := newWorld()
	for _, name := range weak {
		w.start(name, 0.144)
	}
	for _, name := range strong {
		w.start(name, 0.8)
	}
	w.setCut(weak, strong, true)
	w.steps(2)
	w.setCut(weak, strong, false)
	w.steps(2 * idleHeartbeatRounds)
	assert.Equal(t, w.cores[w.oneOwner(t)].self.Cores, 0.8)
}

// Guards against a weak VM that keeps the queue because it was ready before stronger
// ones.
func TestStrongerThatStartsLateTakesTheQueue(t *testing.T) {
	w := newWorld()
	w.start("a", 0.144)
	w.start("b", 0.144)
	w.steps(2 * idleHeartbeatRounds)
	w.start("x", 0.8)
	w.start("y", 0.8)
	w.steps(2 * idleHeartbeatRounds)
	assert.Equal(t, w.cores[w.oneOwner(t)].self.Cores, 0.8)
}

// TestStartingFleetIsOwnedByTheStrongest checks that in any order of starts and of first
// contacts a member with the most cores becomes the owner and stays it.
func TestStartingFleetIsOwnedByTheStrongest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		size := rapid.IntRange(2, 9).Draw(t, "size")
		most := 0.0
		for i := range size {
			cores := rapid.SampledFrom([]float64{0.144, 0.3, 0.8}).Draw(t, "cores")
			most = max(most, cores)
			w.start(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"), i), cores)
			// In a fixed order, so that a failure is reproducible.
			names := slices.Sorted(maps.Keys(w.cores))
			for _, other := range names {
				for _, name := range names {
					w.cut[other+name] = w.cut[other+name] || rapid.IntRange(0, 3).Draw(t, "cut") == 0
				}
			}
			w.steps(rapid.IntRange(0, 2).Draw(t, "steps"))
		}
		clear(w.cut)
		w.steps(3 * idleHeartbeatRounds)
		owner := w.oneOwner(t)
		assert.Equal(t, w.cores[owner].self.Cores, most)
		w.steps(3 * idleHeartbeatRounds)
		assert.Equal(t, w.oneOwner(t), owner)
	})
}

func member(name string, cores float64) Member {
	return Member{Name: name, Incarnation: name, Addr: name + ":1", Cores: cores}
}

// TestShareOfAnOwner guards against an owner that uses the whole capacity of all
// endpoints although it hears only a part of the fleet, or its claim is unconfirmed.
func TestShareOfAnOwner(t *testing.T) {
	now := epoch
	alone := NewCore(member("a", 0.8), nil)
	_, self := alone.Owner(now)
	assert.Assert(t, self)
	assert.Equal(t, alone.Share(now), 1.0)

	c := NewCore(member("a", 0.8), []string{"b:1", "c:1", "d:1"})
	_, self = c.Owner(now)
	assert.Assert(t, self && !c.Confirmed())
	assert.Equal(t, c.Share(now), 0.0)
	c.HandleHeartbeat(now, Heartbeat{From: member("b", 0.144), Claim: c.Claim()})
	assert.Assert(t, c.Confirmed())
	assert.Equal(t, c.Share(now), 0.5)

	c.HandleHeartbeat(now, Heartbeat{From: member("c", 0.144), Claim: c.Claim(), LiveCount: 1 << 40})
	assert.Equal(t, c.Share(now), 0.75, "a member reports an absurd number of live members")
}

// TestClaimIsConfirmedWithoutARound guards against requests that wait for several rounds
// while a fleet starts, because members do not answer a changed claim at once.
func TestClaimIsConfirmedWithoutARound(t *testing.T) {
	a, b := NewCore(member("a", 0.8), []string{"b:1"}), NewCore(member("b", 0.144), []string{"a:1"})
	a.Owner(epoch)
	b.Owner(epoch)
	from, to := b, a
	messages := 0
	for changed := true; changed; messages++ {
		changed = to.HandleHeartbeat(epoch, from.Introduction(epoch, position.Knowledge{}, to.self.Name))
		// The stronger one's claim does not change on the first heartbeat, but it answers
		// the first contact.
		changed = changed || messages == 0
		from, to = to, from
	}
	assert.Assert(t, a.Confirmed() && b.Confirmed())
	assert.Equal(t, a.Claim(), b.Claim())
	assert.Assert(t, messages <= 6, "%d heartbeats", messages)
}
