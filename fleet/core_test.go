package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// world is a fleet whose heartbeats the test carries.
type world struct {
	now   time.Time
	cores map[string]*Core
	round int
	// cut holds pairs that do not hear each other.
	cut map[string]bool
	// dropped holds, as "from>to", the directions in which nothing passes.
	dropped map[string]bool
	// frozen processes neither send nor hear.
	frozen map[string]bool
}

func newWorld(names ...string) *world {
	w := &world{
		now: epoch, cores: make(map[string]*Core),
		cut: make(map[string]bool), dropped: make(map[string]bool), frozen: make(map[string]bool),
	}
	for _, name := range names {
		w.start(name, 1)
	}
	return w
}

func (w *world) start(name string, cores float64) { w.startIn("", name, cores) }

func (w *world) startIn(domain, name string, cores float64) {
	self := Member{
		Name: name, Incarnation: fmt.Sprintf("%s@%d", name, w.round), Addr: name, Domain: domain,
		Cores: cores, Started: w.now.UnixMilli(),
	}
	var seeds []string
	for other := range w.cores {
		seeds = append(seeds, other)
	}
	w.cores[name] = NewCore(self, seeds)
}

// step lets one round of heartbeats pass.
func (w *world) step() {
	w.now = w.now.Add(BeatEvery)
	w.round++
	names := slices.Sorted(maps.Keys(w.cores))
	// Each round another one goes first, so that a failure can be repeated and
	// does not hang on the names.
	first := w.round % max(1, len(names))
	names = append(names[first:], names[:first]...)
	for _, from := range names {
		if w.frozen[from] {
			continue
		}
		c := w.cores[from]
		c.Owner(w.now)
		beat := c.Beat(w.now, 0, w.round)
		for _, to := range names {
			other := w.cores[to]
			if from == to || w.frozen[to] || w.cut[from+to] || w.cut[to+from] || w.dropped[from+">"+to] || !c.Due(w.now, to, w.round) {
				continue
			}
			other.Heard(w.now, c.AckTo(to, beat))
		}
	}
}

func (w *world) steps(n int) {
	for range n {
		w.step()
	}
}

// owners lists the distinct owners in the eyes of the processes that run.
func (w *world) owners() map[string]bool {
	owners := make(map[string]bool)
	for name, c := range w.cores {
		if !w.frozen[name] {
			owner, _ := c.Owner(w.now)
			owners[owner.Name] = true
		}
	}
	return owners
}

func (w *world) oneOwner(t assert.TestingT) string {
	owners := w.owners()
	assert.Equal(t, len(owners), 1, "owners: %v", owners)
	for owner := range owners {
		return owner
	}
	return ""
}

func TestFleetAgreesOnAnOwner(t *testing.T) {
	w := newWorld("a", "b", "c", "d", "e")
	w.steps(2 * idleBeats)
	w.oneOwner(t)
}

// Heartbeats that named all members cost 70% of a core at 300 of them. They
// name a few; still all members must come to know each other from one seed.
func TestMembersFindEachOther(t *testing.T) {
	const size = 40
	w := &world{now: epoch, cores: make(map[string]*Core), cut: make(map[string]bool), frozen: make(map[string]bool)}
	for i := range size {
		name := fmt.Sprintf("m%02d", i)
		self := Member{Name: name, Incarnation: name, Addr: name, Cores: 1}
		w.cores[name] = NewCore(self, []string{"m00"})
	}
	for range 30 {
		w.round++
		w.now = w.now.Add(BeatEvery)
		for _, c := range w.cores {
			beat := c.Beat(w.now, 0, w.round)
			assert.Assert(t, len(beat.Peers) <= namedPeers)
			for _, to := range c.Addrs(w.now) {
				w.cores[to].Heard(w.now, c.AckTo(to, beat))
			}
		}
	}
	for name, c := range w.cores {
		assert.Equal(t, len(c.Live(w.now)), size, name)
	}
	w.steps(2 * idleBeats)
	w.oneOwner(t)
}

// In a rolling stop the ownership wandered through the fleet 249 times in 18
// seconds: the new owner had owned nothing before and so had beaten once a
// second, and was taken for silent at once. Each change cancelled all jobs.
func TestNewOwnerIsNotTakenForSilent(t *testing.T) {
	w := newWorld("a", "b", "c", "d", "e")
	w.steps(2 * idleBeats)
	old := w.oneOwner(t)
	w.cores[old].Leave()
	w.steps(4 * idleBeats)
	next := w.oneOwner(t)
	assert.Assert(t, next != old)
	var most uint64
	for _, c := range w.cores {
		most = max(most, c.Claim().Term)
	}
	assert.Assert(t, most <= 3, "term %d", most)
}

// The owner's VM freezes; requests wait for stages that nobody runs. Another
// owner is there within a second, and the old one is not taken back on waking.
func TestFrozenOwnerIsReplaced(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.steps(2 * idleBeats)
	old := w.oneOwner(t)
	w.frozen[old] = true
	w.steps(5)
	next := w.oneOwner(t)
	assert.Assert(t, next != old)
	w.frozen[old] = false
	w.steps(2 * idleBeats)
	assert.Equal(t, w.oneOwner(t), next)
}

// A VM freezes that does not own the queue. On waking it has heard nobody for
// seconds; it took all others for lost, claimed the queue with a higher term,
// and the whole fleet followed it.
func TestWokenProcessDoesNotClaimTheQueue(t *testing.T) {
	w := newWorld("a", "b", "c", "d")
	w.steps(2 * idleBeats)
	owner := w.oneOwner(t)
	for name := range w.cores {
		if name != owner {
			w.frozen[name] = true
			break
		}
	}
	w.steps(20)
	for name := range w.frozen {
		// It looks for the owner before it has read what waits in its sockets.
		w.cores[name].Owner(w.now)
	}
	clear(w.frozen)
	w.steps(2 * idleBeats)
	assert.Equal(t, w.oneOwner(t), owner)
}

// The owner's process is killed and its connections end: the others wait for
// little more than one heartbeat.
func TestClosedConnectionShortensTheWait(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.steps(2 * idleBeats)
	old := w.oneOwner(t)
	incarnation := w.cores[old].self.Incarnation
	delete(w.cores, old)
	for _, c := range w.cores {
		c.Closed(w.now, old, incarnation)
	}
	w.now = w.now.Add(closedSilence)
	for owner := range w.owners() {
		assert.Assert(t, owner != old)
	}
}

// A process that starts claims the queue until it has heard of the owner. Its
// claim must not displace an owner at work, whatever their names.
func TestStarterDoesNotDisplaceTheOwner(t *testing.T) {
	w := newWorld("m", "n")
	w.steps(2 * idleBeats)
	owner := w.oneOwner(t)
	w.start("a", 1)
	w.steps(2 * idleBeats)
	assert.Equal(t, w.oneOwner(t), owner)
}

// All processes are lost under load and come back one after the other within
// half a second, the last by name first. The queue went from each to the next
// one that started; each left begun jobs behind, whose calls filled the queues
// of the endpoints, and users waited twice as long for a second and a half.
func TestFirstToStartKeepsTheQueue(t *testing.T) {
	w := newWorld()
	for _, name := range []string{"d", "c", "b", "a"} {
		w.start(name, 1)
		w.step()
		owner, self := w.cores["d"].Owner(w.now)
		assert.Assert(t, self, "%s owns the queue once %s has started", owner.Name, name)
	}
	w.steps(2 * idleBeats)
	assert.Equal(t, w.oneOwner(t), "d")
}

// The same where the first to start is a weak VM: it gives the queue to a
// stronger one, since its link and processor would hold up the whole fleet.
func TestStrongerThatStartsTakesTheQueue(t *testing.T) {
	w := newWorld()
	w.start("a", 0.144)
	w.start("b", 0.8)
	w.steps(2 * idleBeats)
	assert.Equal(t, w.oneOwner(t), "b")
}

// The same where the stronger one hears of the weak one's claim before it has
// made its own: it took that for better than none, and both confirmed it.
func TestStrongerThatHearsFirstTakesTheQueue(t *testing.T) {
	weak := NewCore(Member{Name: "a", Incarnation: "a", Addr: "a", Cores: 0.144}, nil)
	strong := NewCore(Member{Name: "b", Incarnation: "b", Addr: "b", Cores: 0.8}, nil)
	weak.Owner(epoch)
	strong.Heard(epoch, weak.Introduction(epoch, 0, "b"))
	weak.Heard(epoch, strong.Introduction(epoch, 0, "a"))
	owner, self := strong.Owner(epoch)
	assert.Assert(t, self, "%s owns the queue", owner.Name)
	owner, _ = weak.Owner(epoch)
	assert.Equal(t, owner.Name, "b")
}

// The whole fleet is stopped within seconds. Each process that was leaving
// owned the queue for itself, and the terms rose to 250: requests that were
// still served in that time found the endpoints full. One of them must own it.
func TestAllLeaving(t *testing.T) {
	w := newWorld("a", "b", "c", "d")
	w.steps(2 * idleBeats)
	for _, name := range []string{"a", "b", "c", "d"} {
		w.cores[name].Leave()
		w.step()
	}
	w.steps(2 * idleBeats)
	w.oneOwner(t)
	for _, c := range w.cores {
		assert.Assert(t, c.Claim().Term < 8, "term %d", c.Claim().Term)
	}
}

// A weak VM must not own the queue of a fleet that has stronger ones.
func TestStrongerOwnsAfterALoss(t *testing.T) {
	w := newWorld()
	w.start("weak", 0.1)
	w.start("weak2", 0.1)
	w.steps(2 * idleBeats)
	old := w.oneOwner(t)
	w.start("strong", 0.8)
	w.steps(2 * idleBeats)
	w.cores[old].Leave()
	w.steps(2 * idleBeats)
	assert.Equal(t, w.oneOwner(t), "strong")
}

// A member that reaches nobody serves its own clients: it owns a queue alone.
func TestCutOffProcessOwnsItsOwnQueue(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.steps(2 * idleBeats)
	for _, other := range []string{"b", "c"} {
		w.cut["a"+other] = true
	}
	w.steps(2 * idleBeats)
	_, self := w.cores["a"].Owner(w.now)
	assert.Assert(t, self)
}

// Whatever freezes, cuts, stops and starts happen: once all is well again, the
// fleet has one owner within two seconds, and keeps it.
func TestOwnershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		w := newWorld(names...)
		for range rapid.IntRange(1, 15).Draw(t, "events") {
			a := rapid.SampledFrom(names).Draw(t, "a")
			b := rapid.SampledFrom(names).Draw(t, "b")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				w.frozen[a] = !w.frozen[a]
			case 1:
				w.cut[a+b] = !w.cut[a+b]
			case 2:
				delete(w.cores, a)
				w.start(a, 1)
			case 3:
				w.cores[a].Leave()
				w.steps(2)
				delete(w.cores, a)
				w.start(a, 1)
			}
			w.steps(rapid.IntRange(0, 8).Draw(t, "steps"))
		}
		clear(w.cut)
		clear(w.frozen)
		w.steps(4 * idleBeats)
		owner := w.oneOwner(t)
		w.steps(4 * idleBeats)
		assert.Equal(t, w.oneOwner(t), owner)
	})
}

// The owner and the member that ranks next freeze at the same moment. Users
// wait for their stages until a member that lives owns the queue: it must be
// the next one at once, not after the frozen one was found silent, too.
func TestOwnerIsNotReplacedByAFrozenMember(t *testing.T) {
	for round := range idleBeats {
		w := newWorld("a", "b", "c", "d", "e")
		w.steps(4*idleBeats + round)
		first := w.oneOwner(t)
		w.frozen[first] = true
		next := w.ranked()[0]
		w.frozen[next] = true
		w.steps(int(silence/BeatEvery) + 2)
		owner := w.oneOwner(t)
		assert.Assert(t, owner != first && owner != next, "round %d: %s is frozen", round, owner)
	}
}

// ranked lists the members that are not frozen, the first by rank first.
func (w *world) ranked() []string {
	var members []Member
	for name, c := range w.cores {
		if !w.frozen[name] {
			members = append(members, c.self)
		}
	}
	sort.Slice(members, func(i, j int) bool { return outranks(members[i], members[j]) })
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}

// The configuration grows at once to hundreds of kilobytes. The member that
// reads the store for twenty others has a tenth of the others' link and
// processor: sending it to all takes it seconds, in which it hears neither the
// store nor its peers, takes the queue for its own, and sends pieces to an
// endpoint that has left meanwhile. The strongest have to read, in any order of names.
func TestTheStrongestRead(t *testing.T) {
	w := newWorld()
	strong := map[string]bool{"m03": true, "m07": true, "m11": true}
	for i := range 12 {
		name := fmt.Sprintf("m%02d", i)
		cores := 0.144
		if strong[name] {
			cores = 0.8
		}
		w.start(name, cores)
	}
	w.steps(20)
	for name, c := range w.cores {
		readers := c.Readers(w.now)
		assert.Equal(t, len(readers), readersLarger)
		for _, r := range readers {
			assert.Assert(t, strong[r.Name], "%s takes %s for a reader", name, r.Name)
		}
	}
}

// A member that was cut off asks whether the store has answered others all
// along. One that has gone silent says nothing of the time since.
func TestOthersSteady(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.steps(10)
	assert.Assert(t, !w.cores["a"].OthersSteady(w.now))
	w.cores["b"].SetSteady(true)
	w.steps(10)
	assert.Assert(t, w.cores["a"].OthersSteady(w.now))
	assert.Assert(t, !w.cores["b"].OthersSteady(w.now), "its own word does not count")
	w.frozen["b"] = true
	w.steps(30)
	assert.Assert(t, !w.cores["a"].OthersSteady(w.now))
}
