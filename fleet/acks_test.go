package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/position"
)

// newDomains starts three failure domains with the given number of members each. The
// first member of a domain has the most cores.
func newDomains(each int) *world {
	w := newWorld()
	for _, domain := range []string{"a", "b", "c"} {
		for i := range each {
			cores := 0.144
			if i == 0 {
				cores = 0.8
			}
			w.startIn(domain, fmt.Sprintf("%s%d", domain, i), cores)
		}
	}
	return w
}

// setOneWayCut sets whether heartbeats from members of some domains to those of others
// are dropped.
func (w *world) setOneWayCut(from, to []string, drop bool) {
	for a, sender := range w.cores {
		for b, receiver := range w.cores {
			if sender.self.Domain == receiver.self.Domain {
				continue
			}
			if slices.Contains(from, sender.self.Domain) && slices.Contains(to, receiver.self.Domain) {
				w.dropped[a+">"+b] = drop
			}
		}
	}
}

// oneWayCuts returns, as senders and receivers, all cuts in one direction: of a domain
// from all others, of all others from a domain, and of one domain from another.
func oneWayCuts() [][2][]string {
	all := []string{"a", "b", "c"}
	var cuts [][2][]string
	for _, d := range all {
		cuts = append(cuts, [2][]string{{d}, all}, [2][]string{all, {d}})
		for _, e := range all {
			if d != e {
				cuts = append(cuts, [2][]string{{d}, {e}})
			}
		}
	}
	return cuts
}

// exchangesWithOwner reports whether heartbeats pass in both directions between a member
// and the owner that it follows.
func (w *world) exchangesWithOwner(name string) bool {
	owner, self := w.cores[name].Owner(w.now)
	return self || !w.dropped[name+">"+owner.Name] && !w.dropped[owner.Name+">"+name]
}

// TestPacketsPassOneWayOnly guards against an owner whose heartbeats arrive although it
// receives none: for seconds the members of two domains would submit jobs to it that
// never arrive.
func TestPacketsPassOneWayOnly(t *testing.T) {
	const span = 5 * time.Second
	for _, each := range []int{1, 3, 8} {
		within := 6 * HeartbeatInterval
		if each == 1 {
			// A member that hears nobody chooses another member before itself.
			within = 8 * HeartbeatInterval
		}
		for _, cut := range oneWayCuts() {
			t.Run(fmt.Sprintf("%d in a domain, %v to %v", each, cut[0], cut[1]), func(t *testing.T) {
				w := newDomains(each)
				w.steps(4 * idleHeartbeatRounds)
				w.oneOwner(t)
				w.setOneWayCut(cut[0], cut[1], true)
				w.steps(int(within / HeartbeatInterval))
				var highest uint64
				for passed := within; passed < span; passed += HeartbeatInterval {
					w.step()
					for name, c := range w.cores {
						owner, _ := c.Owner(w.now)
						assert.Assert(t, w.exchangesWithOwner(name), "%s follows %s, %s after the cut", name, owner.Name, passed)
						highest = max(highest, c.Claim().Term)
					}
				}
				w.setOneWayCut(cut[0], cut[1], false)
				w.steps(int(time.Second/HeartbeatInterval) + 1)
				w.oneOwner(t)
				assert.Assert(t, highest < 8, "term %d", highest)
			})
		}
	}
}

// TestDelayedMemberDoesNotReplaceTheOwner guards against a single member whose congested
// link delays its heartbeats and that makes the whole fleet replace its owner.
func TestDelayedMemberDoesNotReplaceTheOwner(t *testing.T) {
	w := newDomains(3)
	w.steps(4 * idleHeartbeatRounds)
	owner := w.oneOwner(t)
	for name, c := range w.cores {
		if name != owner && c.self.Domain != w.cores[owner].self.Domain {
			w.dropped[name+">"+owner] = true
			break
		}
	}
	w.steps(20)
	assert.Equal(t, w.oneOwner(t), owner)
}

// TestOwnershipConvergesAfterOneWayCuts guards against two lasting owners, or owners that
// keep changing, after any cuts in one or both directions have ended.
func TestOwnershipConvergesAfterOneWayCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDomains(rapid.IntRange(1, 3).Draw(t, "each"))
		w.steps(2 * idleHeartbeatRounds)
		cuts := oneWayCuts()
		for range rapid.IntRange(1, 8).Draw(t, "cuts") {
			cut := rapid.SampledFrom(cuts).Draw(t, "cut")
			w.setOneWayCut(cut[0], cut[1], rapid.Bool().Draw(t, "drop"))
			w.steps(rapid.IntRange(0, 12).Draw(t, "steps"))
		}
		clear(w.dropped)
		w.steps(3 * idleHeartbeatRounds)
		owner := w.oneOwner(t)
		w.steps(4 * idleHeartbeatRounds)
		assert.Equal(t, w.oneOwner(t), owner)
	})
}

// TestAcknowledgementsOfAFormerProcessDoNotCount guards against an owner that counts as
// deaf for good because it has acknowledged a heartbeat of an earlier process of the same
// name, whose clock was ahead.
func TestAcknowledgementsOfAFormerProcessDoNotCount(t *testing.T) {
	w := newWorld("a", "b")
	w.steps(40 * idleHeartbeatRounds)
	delete(w.cores, "a")
	w.start("a", 1)
	b, now := w.cores["b"], w.now.Add(HeartbeatInterval)
	w.cores["a"].HandleHeartbeat(now, b.WithAck("a", b.Heartbeat(now, position.Knowledge{}, 0)))
	w.steps(2)
	assert.Assert(t, w.cores["a"].peers["b"].acked <= w.cores["a"].elapsedMs(w.now))
	w.steps(4 * idleHeartbeatRounds)
	w.oneOwner(t)
}

// TestCutOffDomainIsNotReached guards against an owner that considers the endpoints of a
// failure domain reachable although the domain is cut off in either direction, and against
// one that considers a domain unreachable because its members were killed or are idle.
func TestCutOffDomainIsNotReached(t *testing.T) {
	const within = 8 * HeartbeatInterval
	owner := func(w *world) *Core { return w.cores[w.oneOwner(t)] }
	t.Run("calm", func(t *testing.T) {
		w := newDomains(3)
		w.steps(2 * idleHeartbeatRounds)
		for range 8 * idleHeartbeatRounds {
			w.step()
			assert.Equal(t, len(owner(w).Reach(w.now).Unreached), 0)
		}
	})
	for _, outward := range []bool{true, false} {
		t.Run(fmt.Sprintf("cut, outward %v", outward), func(t *testing.T) {
			w := newDomains(3)
			w.steps(4 * idleHeartbeatRounds)
			c := owner(w)
			other := "a"
			if c.self.Domain == "a" {
				other = "b"
			}
			from, to := []string{other}, []string{"a", "b", "c"}
			if !outward {
				from, to = to, from
			}
			w.setOneWayCut(from, to, true)
			w.steps(int(within / HeartbeatInterval))
			assert.DeepEqual(t, c.Reach(w.now).Unreached, []string{other})
			w.setOneWayCut(from, to, false)
			w.steps(idleHeartbeatRounds + 2)
			assert.Equal(t, len(c.Reach(w.now).Unreached), 0)
		})
	}
	t.Run("killed", func(t *testing.T) {
		w := newDomains(3)
		w.steps(4 * idleHeartbeatRounds)
		c := owner(w)
		for name, k := range w.cores {
			if k.self.Domain != c.self.Domain {
				c.Closed(w.now, name, k.self.Incarnation)
				delete(w.cores, name)
			}
		}
		w.steps(2 * idleHeartbeatRounds)
		assert.Equal(t, len(c.Reach(w.now).Unreached), 0)
	})
}

// TestNewOwnerKnowsWhatIsCutOff guards against an owner that takes over while a failure
// domain is cut off and then sends a call to each endpoint there before it notices.
func TestNewOwnerKnowsWhatIsCutOff(t *testing.T) {
	w := newDomains(3)
	w.steps(4 * idleHeartbeatRounds)
	old := w.cores[w.oneOwner(t)]
	all := []string{"a", "b", "c"}
	w.setOneWayCut(all, []string{old.self.Domain}, true)
	for range 8 {
		w.step()
		for _, c := range w.cores {
			_, self := c.Owner(w.now)
			if self && c.self.Domain != old.self.Domain {
				assert.DeepEqual(t, c.Reach(w.now).Unreached, []string{old.self.Domain})
				return
			}
		}
	}
	t.Fatal("no other owner")
}

// TestCauseOfAnOwner guards against logs in which a deaf owner cannot be told from one
// that was silent or killed.
func TestCauseOfAnOwner(t *testing.T) {
	tests := map[Cause]func(w *world, owner *Core){
		CauseDeaf: func(w *world, owner *Core) {
			w.setOneWayCut([]string{"a", "b", "c"}, []string{owner.self.Domain}, true)
		},
		CauseSilent: func(w *world, owner *Core) { w.frozen[owner.self.Name] = true },
		CauseGone:   func(_ *world, owner *Core) { owner.Leave() },
	}
	for cause, fault := range tests {
		t.Run(string(cause), func(t *testing.T) {
			w := newDomains(2)
			w.steps(4 * idleHeartbeatRounds)
			fault(w, w.cores[w.oneOwner(t)])
			seen := make(map[Cause]bool)
			for range 8 {
				w.step()
				for _, c := range w.cores {
					seen[c.Cause()] = true
				}
			}
			assert.Assert(t, seen[cause], "%v", seen)
		})
	}
}

// TestHealedCutIsNotTakenForDeafness guards against the owner of a formerly cut-off part
// that keeps the queue once the cut has ended, because the fleet's owner has had no time
// to acknowledge its heartbeats.
func TestHealedCutIsNotTakenForDeafness(t *testing.T) {
	w := newDomains(2)
	w.steps(4 * idleHeartbeatRounds)
	owner := w.oneOwner(t)
	domain := w.cores[owner].self.Domain
	other := "a"
	if domain == "a" {
		other = "b"
	}
	all := []string{"a", "b", "c"}
	// The other domain is cut off from all others in both directions.
	w.setOneWayCut([]string{other}, all, true)
	w.setOneWayCut(all, []string{other}, true)
	w.steps(20)
	// Meanwhile the others replace their owner, so that their term is higher.
	w.cores[owner].Leave()
	w.steps(20)
	clear(w.dropped)
	for range 2 * idleHeartbeatRounds {
		w.step()
		for name, c := range w.cores {
			assert.Assert(t, c.Cause() != CauseReasserted, "%s keeps the queue against %s", name, c.Claim().Owner)
		}
	}
	w.oneOwner(t)
}
