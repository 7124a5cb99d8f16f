package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// part cuts the processes of two groups off from each other, or joins them.
func (w *world) part(some, others []string, cut bool) {
	for _, a := range some {
		for _, b := range others {
			w.cut[a+b] = cut
		}
	}
}

// Guards against a weak VM that owns the queue all day since two groups of a
// starting fleet had agreed on owners of their own, and names decided between them.
func TestStrongerOfTwoAgreedOwnersHolds(t *testing.T) {
	weak, strong := []string{"a", "b"}, []string{"x", "y"}
	w := newWorld()
	for _, name := range weak {
		w.start(name, 0.144)
	}
	for _, name := range strong {
		w.start(name, 0.8)
	}
	w.part(weak, strong, true)
	w.steps(2)
	w.part(weak, strong, false)
	w.steps(2 * idleBeats)
	assert.Equal(t, w.cores[w.oneOwner(t)].self.Cores, 0.8)
}

// Guards against a weak VM that keeps the queue since it was ready before the strong ones.
func TestStrongerThatStartsLateTakesTheQueue(t *testing.T) {
	w := newWorld()
	w.start("a", 0.144)
	w.start("b", 0.144)
	w.steps(2 * idleBeats)
	w.start("x", 0.8)
	w.start("y", 0.8)
	w.steps(2 * idleBeats)
	assert.Equal(t, w.cores[w.oneOwner(t)].self.Cores, 0.8)
}

// TestStartingFleetIsOwnedByTheStrongest: whatever the order of starts and of
// the first contacts, one of the strongest owns the queue, and keeps it.
func TestStartingFleetIsOwnedByTheStrongest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		size := rapid.IntRange(2, 9).Draw(t, "size")
		most := 0.0
		for i := range size {
			cores := rapid.SampledFrom([]float64{0.144, 0.3, 0.8}).Draw(t, "cores")
			most = max(most, cores)
			w.start(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"), i), cores)
			// In a fixed order, so that a failure can be repeated.
			names := slices.Sorted(maps.Keys(w.cores))
			for _, other := range names {
				for _, name := range names {
					w.cut[other+name] = w.cut[other+name] || rapid.IntRange(0, 3).Draw(t, "cut") == 0
				}
			}
			w.steps(rapid.IntRange(0, 2).Draw(t, "steps"))
		}
		clear(w.cut)
		w.steps(3 * idleBeats)
		owner := w.oneOwner(t)
		assert.Equal(t, w.cores[owner].self.Cores, most)
		w.steps(3 * idleBeats)
		assert.Equal(t, w.oneOwner(t), owner)
	})
}

func member(name string, cores float64) Member {
	return Member{Name: name, Incarnation: name, Addr: name + ":1", Cores: cores}
}

// TestShareOfAnOwner guards against an owner that takes all endpoints for its own
// although it hears a part of the fleet, or nobody has confirmed it.
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
	c.Heard(now, Beat{From: member("b", 0.144), Claim: c.Claim()})
	assert.Assert(t, c.Confirmed())
	assert.Equal(t, c.Share(now), 0.5)

	c.Heard(now, Beat{From: member("c", 0.144), Claim: c.Claim(), Hears: 1 << 40})
	assert.Equal(t, c.Share(now), 0.75, "a member that claims to hear an absurd number")
}

// TestClaimIsConfirmedWithoutARound guards against requests that wait for several
// heartbeats while a fleet starts, because nobody tells at once that it shares a claim.
func TestClaimIsConfirmedWithoutARound(t *testing.T) {
	a, b := NewCore(member("a", 0.8), []string{"b:1"}), NewCore(member("b", 0.144), []string{"a:1"})
	a.Owner(epoch)
	b.Owner(epoch)
	from, to := b, a
	beats := 0
	for told := true; told; beats++ {
		told = to.Heard(epoch, from.Introduction(epoch, 0, to.self.Name))
		// The weaker one has nothing to tell at first, and is told of the owner.
		told = told || beats == 0
		from, to = to, from
	}
	assert.Assert(t, a.Confirmed() && b.Confirmed())
	assert.Equal(t, a.Claim(), b.Claim())
	assert.Assert(t, beats <= 6, "%d heartbeats", beats)
}
