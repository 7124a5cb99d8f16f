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

	"github.com/mangostage/mangostage/position"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// world simulates a fleet: the test delivers the heartbeats.
type world struct {
	now   time.Time
	cores map[string]*Core
	round int
	// cut holds the concatenated names of pairs that are cut off from each other.
	cut map[string]bool
	// dropped holds, as "from>to", the directions in which heartbeats are dropped.
	dropped map[string]bool
	// frozen holds the processes that neither send nor receive.
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

// start starts a process without a failure domain.
func (w *world) start(name string, cores float64) { w.startIn("", name, cores) }

// startIn starts a process, or restarts it in a new incarnation; all others are its seeds.
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

// step runs one round of heartbeats.
func (w *world) step() {
	w.now = w.now.Add(HeartbeatInterval)
	w.round++
	names := slices.Sorted(maps.Keys(w.cores))
	// Each round starts with another member, so that a failure is reproducible and does
	// not depend on the names.
	first := w.round % max(1, len(names))
	names = append(names[first:], names[:first]...)
	for _, from := range names {
		if w.frozen[from] {
			continue
		}
		c := w.cores[from]
		c.Owner(w.now)
		heartbeat := c.Heartbeat(w.now, position.Knowledge{}, w.round)
		for _, to := range names {
			other := w.cores[to]
			if from == to || w.frozen[to] || w.cut[from+to] || w.cut[to+from] || w.dropped[from+">"+to] || !c.HeartbeatDue(w.now, to, w.round) {
				continue
			}
			other.HandleHeartbeat(w.now, c.WithAck(to, heartbeat))
		}
	}
}

func (w *world) steps(n int) {
	for range n {
		w.step()
	}
}

// owners returns the names of the owners that the processes that are not frozen follow.
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

// oneOwner checks that all processes follow the same owner and returns its name.
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
	w.steps(2 * idleHeartbeatRounds)
	w.oneOwner(t)
}

// Heartbeats that named all members cost 70% of a core in a fleet of 300, so they name a
// few. All members must still learn of each other from one seed.
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
		w.now = w.now.Add(HeartbeatInterval)
		for _, c := range w.cores {
			heartbeat := c.Heartbeat(w.now, position.Knowledge{}, w.round)
			assert.Assert(t, len(heartbeat.Peers) <= peersPerHeartbeat)
			for _, to := range c.Addrs(w.now) {
				w.cores[to].HandleHeartbeat(w.now, c.WithAck(to, heartbeat))
			}
		}
	}
	for name, c := range w.cores {
		assert.Equal(t, len(c.Live(w.now)), size, name)
	}
	w.steps(2 * idleHeartbeatRounds)
	w.oneOwner(t)
}

// During a rolling stop the owner changed 249 times in 18 seconds. The new owner had sent
// one heartbeat per second before it became the owner, so it counted as silent at once.
// Each change cancelled all jobs.
func TestNewOwnerIsNotTakenForSilent(t *testing.T) {
	w := newWorld("a", "b", "c", "d", "e")
	w.steps(2 * idleHeartbeatRounds)
	old := w.oneOwner(t)
	w.cores[old].Leave()
	w.steps(4 * idleHeartbeatRounds)
	next := w.oneOwner(t)
	assert.Assert(t, next != old)
	var highest uint64
	for _, c := range w.cores {
		highest = max(highest, c.Claim().Term)
	}
	assert.Assert(t, highest <= 3, "term %d", highest)
}

// Guards against requests that wait for stages that nobody runs after the owner's VM has
// frozen. Another member must own the queue within a second, and the old owner must not
// regain it when it resumes.
func TestFrozenOwnerIsReplaced(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.steps(2 * idleHeartbeatRounds)
	old := w.oneOwner(t)
	w.frozen[old] = true
	w.steps(5)
	next := w.oneOwner(t)
	assert.Assert(t, next != old)
	w.frozen[old] = false
	w.steps(2 * idleHeartbeatRounds)
	assert.Equal(t, w.oneOwner(t), next)
}

// Guards against a frozen VM that is not the owner and that on resuming considers all
// others lost, because it has heard nobody for seconds, and claims the queue with a higher
// term that the whole fleet follows.
func TestResumedProcessDoesNotClaimTheQueue(t *testing.T) {
	w := newWorld("a", "b", "c", "d")
	w.steps(2 * idleHeartbeatRounds)
	owner := w.oneOwner(t)
	for name := range w.cores {
		if name != owner {
			w.frozen[name] = true
			break
		}
	}
	w.steps(20)
	for name := range w.frozen {
		// It determines the owner before it has read what is buffered in its sockets.
		w.cores[name].Owner(w.now)
	}
	clear(w.frozen)
	w.steps(2 * idleHeartbeatRounds)
	assert.Equal(t, w.oneOwner(t), owner)
}

// If the owner's process is killed and its connections end, the others must replace it
// within closedTimeout, little more than one heartbeat.
func TestClosedConnectionShortensTheWait(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.steps(2 * idleHeartbeatRounds)
	old := w.oneOwner(t)
	incarnation := w.cores[old].self.Incarnation
	delete(w.cores, old)
	for _, c := range w.cores {
		c.Closed(w.now, old, incarnation)
	}
	w.now = w.now.Add(closedTimeout)
	for owner := range w.owners() {
		assert.Assert(t, owner != old)
	}
}

// A starting process claims the queue until it learns of the owner. Its claim must not
// displace an active owner, whatever their names.
func TestStarterDoesNotDisplaceTheOwner(t *testing.T) {
	w := newWorld("m", "n")
	w.steps(2 * idleHeartbeatRounds)
	owner := w.oneOwner(t)
	w.start("a", 1)
	w.steps(2 * idleHeartbeatRounds)
	assert.Equal(t, w.oneOwner(t), owner)
}

// Guards against an owner that changes with every start when all processes are lost under
// load and restart one after the other within half a second, in reverse order of their
// names. Each former owner left running jobs behind whose calls filled the endpoints'
// queues, and for a second and a half users waited twice as long.
func TestFirstToStartKeepsTheQueue(t *testing.T) {
	w := newWorld()
	for _, name := range []string{"d", "c", "b", "a"} {
		w.start(name, 1)
		w.step()
		owner, self := w.cores["d"].Owner(w.now)
		assert.Assert(t, self, "%s owns the queue once %s has started", owner.Name, name)
	}
	w.steps(2 * idleHeartbeatRounds)
	assert.Equal(t, w.oneOwner(t), "d")
}

// A weak VM that starts first must pass the queue to a stronger one, because its link and
// processor would slow down the whole fleet.
func TestStrongerThatStartsTakesTheQueue(t *testing.T) {
	w := newWorld()
	w.start("a", 0.144)
	w.start("b", 0.8)
	w.steps(2 * idleHeartbeatRounds)
	assert.Equal(t, w.oneOwner(t), "b")
}

// As above, where the stronger one receives the weak one's claim before it has made its
// own: it adopted that claim, and both confirmed it.
func TestStrongerThatHearsFirstTakesTheQueue(t *testing.T) {
	weak := NewCore(Member{Name: "a", Incarnation: "a", Addr: "a", Cores: 0.144}, nil)
	strong := NewCore(Member{Name: "b", Incarnation: "b", Addr: "b", Cores: 0.8}, nil)
	weak.Owner(epoch)
	strong.HandleHeartbeat(epoch, weak.Introduction(epoch, position.Knowledge{}, "b"))
	weak.HandleHeartbeat(epoch, strong.Introduction(epoch, position.Knowledge{}, "a"))
	owner, self := strong.Owner(epoch)
	assert.Assert(t, self, "%s owns the queue", owner.Name)
	owner, _ = weak.Owner(epoch)
	assert.Equal(t, owner.Name, "b")
}

// When the whole fleet was stopped within seconds, each leaving process claimed the queue
// for itself, the terms rose to 250, and requests that were still being served found the
// endpoints full. One of the leaving processes must own the queue.
func TestAllLeaving(t *testing.T) {
	w := newWorld("a", "b", "c", "d")
	w.steps(2 * idleHeartbeatRounds)
	for _, name := range []string{"a", "b", "c", "d"} {
		w.cores[name].Leave()
		w.step()
	}
	w.steps(2 * idleHeartbeatRounds)
	w.oneOwner(t)
	for _, c := range w.cores {
		assert.Assert(t, c.Claim().Term < 8, "term %d", c.Claim().Term)
	}
}

// A weak VM must not become the owner in a fleet that has stronger ones.
func TestStrongerOwnsAfterALoss(t *testing.T) {
	w := newWorld()
	w.start("weak", 0.1)
	w.start("weak2", 0.1)
	w.steps(2 * idleHeartbeatRounds)
	old := w.oneOwner(t)
	w.start("strong", 0.8)
	w.steps(2 * idleHeartbeatRounds)
	w.cores[old].Leave()
	w.steps(2 * idleHeartbeatRounds)
	assert.Equal(t, w.oneOwner(t), "strong")
}

// A member that is cut off from all others serves its own clients and so must own a queue
// of its own.
func TestCutOffProcessOwnsItsOwnQueue(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.steps(2 * idleHeartbeatRounds)
	for _, other := range []string{"b", "c"} {
		w.cut["a"+other] = true
	}
	w.steps(2 * idleHeartbeatRounds)
	_, self := w.cores["a"].Owner(w.now)
	assert.Assert(t, self)
}

// After any freezes, cuts, stops and starts have ended, the fleet must have one owner
// within four seconds and keep it.
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
		w.steps(4 * idleHeartbeatRounds)
		owner := w.oneOwner(t)
		w.steps(4 * idleHeartbeatRounds)
		assert.Equal(t, w.oneOwner(t), owner)
	})
}

// The owner and the member that ranks next freeze at the same moment, and users wait for
// their stages until a running member owns the queue. A running one must follow the owner
// directly, not only after the other frozen one has been found silent too.
func TestOwnerIsNotReplacedByAFrozenMember(t *testing.T) {
	for round := range idleHeartbeatRounds {
		w := newWorld("a", "b", "c", "d", "e")
		w.steps(4*idleHeartbeatRounds + round)
		first := w.oneOwner(t)
		w.frozen[first] = true
		next := w.ranked()[0]
		w.frozen[next] = true
		w.steps(int(ownerTimeout/HeartbeatInterval) + 2)
		owner := w.oneOwner(t)
		assert.Assert(t, owner != first && owner != next, "round %d: %s is frozen", round, owner)
	}
}

// ranked returns the names of the members that are not frozen, in order of rank.
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

// Guards against a weak member that reads the store for twenty others, with a tenth of
// their bandwidth and processor. When the configuration grows to hundreds of kilobytes,
// sending it to all takes it seconds. Meanwhile it hears neither the store nor its peers,
// claims the queue and sends work to an endpoint that has left. The members with the most
// cores must read, whatever their names.
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
			assert.Assert(t, strong[r.Name], "%s chooses %s as a reader", name, r.Name)
		}
	}
}

// A member that was cut off asks whether the store has answered others without
// interruption. What a silent member reported earlier must not count.
func TestOthersStoreSteady(t *testing.T) {
	w := newWorld("a", "b", "c")
	w.steps(10)
	assert.Assert(t, !w.cores["a"].OthersStoreSteady(w.now))
	w.cores["b"].SetStoreSteady(true)
	w.steps(10)
	assert.Assert(t, w.cores["a"].OthersStoreSteady(w.now))
	assert.Assert(t, !w.cores["b"].OthersStoreSteady(w.now), "its own report does not count")
	w.frozen["b"] = true
	w.steps(30)
	assert.Assert(t, !w.cores["a"].OthersStoreSteady(w.now))
}

// Guards against a process that keeps the state of every VM that was ever replaced.
func TestReplacedMembersAreForgotten(t *testing.T) {
	w := newWorld("a", "b")
	for i := range 20 {
		name := fmt.Sprintf("m%02d", i)
		w.start(name, 1)
		w.steps(2 * idleHeartbeatRounds)
		delete(w.cores, name)
	}
	w.steps(int(peerTTL/HeartbeatInterval) + 2*idleHeartbeatRounds)
	for _, c := range w.cores {
		c.Addrs(w.now)
		assert.Assert(t, len(c.peers) <= 2, "%d members are kept", len(c.peers))
	}
	w.oneOwner(t)
}
