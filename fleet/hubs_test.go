package fleet

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/position"
)

// sparseWorld simulates a large fleet as its services connect it: heartbeats are sent on
// connections that a member dialled, and answers on those that it accepted.
type sparseWorld struct {
	now   time.Time
	round int
	cores map[string]*Core
	// dialled holds the connections, by the dialling and the dialled member.
	dialled map[string]map[string]bool
	// heartbeats counts the heartbeats, named the members in them as a measure of size.
	heartbeats, named int
}

// newSparseWorld starts n members with these seeds.
func newSparseWorld(n int, seeds ...string) *sparseWorld {
	w := &sparseWorld{now: epoch, cores: make(map[string]*Core), dialled: make(map[string]map[string]bool)}
	for i := range n {
		w.start(fmt.Sprintf("m%03d", i), float64(1+i%7)/8, seeds)
	}
	return w
}

func (w *sparseWorld) start(name string, cores float64, seeds []string) {
	self := Member{Name: name, Incarnation: fmt.Sprintf("%s@%d", name, w.round), Addr: name, Cores: cores}
	w.cores[name] = NewCore(self, seeds)
	w.dialled[name] = make(map[string]bool)
}

// kill ends a member's process and its connections.
func (w *sparseWorld) kill(name string) {
	incarnation := w.cores[name].self.Incarnation
	delete(w.cores, name)
	delete(w.dialled, name)
	for other, to := range w.dialled {
		delete(to, name)
		w.cores[other].Closed(w.now, name, incarnation)
	}
}

func (w *sparseWorld) names() []string {
	names := make([]string, 0, len(w.cores))
	for name := range w.cores {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// step runs one round of heartbeats as Service.sendHeartbeats does.
func (w *sparseWorld) step() {
	w.now = w.now.Add(HeartbeatInterval)
	w.round++
	for _, from := range w.names() {
		c := w.cores[from]
		c.Owner(w.now)
		heartbeat := c.Heartbeat(w.now, position.Knowledge{}, w.round)
		for _, to := range c.Addrs(w.now) {
			if w.cores[to] == nil {
				continue
			}
			if !w.dialled[from][to] {
				w.dialled[from][to] = true
				w.deliver(from, to, c.Introduction(w.now, position.Knowledge{}, to))
			} else if c.HeartbeatDue(w.now, to, w.round) {
				w.deliver(from, to, c.WithAck(to, heartbeat))
			}
		}
		for to := range w.dialled[from] {
			if !c.IsDialTarget(to) {
				delete(w.dialled[from], to)
			}
		}
		for _, to := range w.names() {
			if w.dialled[to][from] && !c.IsDialTarget(to) && c.HeartbeatDue(w.now, to, w.round) {
				w.deliver(from, to, c.WithAck(to, heartbeat))
			}
		}
	}
}

// deliver delivers a heartbeat. A receiver that does not know the sender and does not
// dial it answers with an introduction.
func (w *sparseWorld) deliver(from, to string, h Heartbeat) {
	w.heartbeats++
	w.named += 1 + len(h.Peers) + len(h.Hubs)
	other := w.cores[to]
	known := other.peers[from] != nil
	other.HandleHeartbeat(w.now, h)
	if !known && !other.IsDialTarget(from) {
		w.cores[from].HandleHeartbeat(w.now, other.Introduction(w.now, position.Knowledge{}, from))
	}
}

func (w *sparseWorld) steps(d time.Duration) {
	for range int(d / HeartbeatInterval) {
		w.step()
	}
}

// owners returns how many members follow each owner.
func (w *sparseWorld) owners() map[string]int {
	owners := make(map[string]int)
	for _, c := range w.cores {
		owner, _ := c.Owner(w.now)
		owners[owner.Name]++
	}
	return owners
}

// connections returns the median and the highest number of connections of a member.
func (w *sparseWorld) connections() (median, most int) {
	counts := make(map[string]int)
	for from, to := range w.dialled {
		for other := range to {
			counts[from]++
			counts[other]++
		}
	}
	var all []int
	for name := range w.cores {
		all = append(all, counts[name])
	}
	sort.Ints(all)
	return all[len(all)/2], all[len(all)-1]
}

var sparseSeeds = []string{"m000", "m050", "m100"}

// 150 gateways start at once, as after a power failure, and users wait until the fleet has
// one queue. Within seconds all members must follow the same owner and know the size of the
// fleet, and each must keep a few connections instead of one to every other member.
func TestLargeFleetStartsAtOnce(t *testing.T) {
	w := newSparseWorld(150, sparseSeeds...)
	w.steps(6 * time.Second)
	assert.Equal(t, len(w.owners()), 1, "owners: %v", w.owners())
	for name, c := range w.cores {
		size := c.Size(w.now)
		assert.Assert(t, size > 140 && size <= 150, "%s counts %d members", name, size)
	}
	w.steps(20 * time.Second)
	median, most := w.connections()
	t.Logf("connections: median %d, most %d", median, most)
	assert.Assert(t, median <= 2*(hubCount+len(sparseSeeds)+1), "median %d", median)
	w.heartbeats, w.named = 0, 0
	w.steps(10 * time.Second)
	t.Logf("heartbeats a second of a member: %.1f, members named: %.1f",
		float64(w.heartbeats)/10/150, float64(w.named)/10/150)
	assert.Assert(t, w.heartbeats < 150*10*40)
}

// The queue's owner is killed, then all hubs at once, then two thirds of the fleet. Each
// time the remaining members must agree on an owner within seconds.
func TestLargeFleetLosesItsHubs(t *testing.T) {
	w := newSparseWorld(150, sparseSeeds...)
	w.steps(15 * time.Second)
	for owner := range w.owners() {
		w.kill(owner)
	}
	w.steps(3 * time.Second)
	assert.Equal(t, len(w.owners()), 1, "the owner was killed: %v", w.owners())
	for _, hub := range w.cores[w.names()[0]].hubs(w.now) {
		w.kill(hub.Name)
	}
	w.steps(6 * time.Second)
	assert.Equal(t, len(w.owners()), 1, "the hubs were killed: %v", w.owners())
	random := rand.New(rand.NewPCG(1, 2))
	for _, name := range w.names() {
		if random.IntN(3) > 0 {
			w.kill(name)
		}
	}
	w.steps(8 * time.Second)
	assert.Equal(t, len(w.owners()), 1, "two thirds were killed: %v", w.owners())
	readers := make(map[string]bool)
	for _, c := range w.cores {
		for _, r := range c.Readers(w.now) {
			readers[r.Name] = true
		}
	}
	assert.Assert(t, len(readers) <= 2*readersLarger, "readers: %v", readers)
}

// A fleet grows past the size of a full mesh and shrinks again. The members must follow
// one owner after each change, and in the end hear all others again.
func TestFleetGrowsAndShrinks(t *testing.T) {
	w := newSparseWorld(50, "m000", "m010", "m020")
	w.steps(5 * time.Second)
	assert.Equal(t, len(w.owners()), 1)
	for i := 50; i < 100; i++ {
		w.start(fmt.Sprintf("m%03d", i), float64(1+i%7)/8, []string{"m000", "m010", "m020"})
		w.step()
	}
	w.steps(6 * time.Second)
	assert.Equal(t, len(w.owners()), 1, "grown: %v", w.owners())
	for i := range 60 {
		w.kill(fmt.Sprintf("m%03d", 40+i))
		w.step()
	}
	w.steps(10 * time.Second)
	assert.Equal(t, len(w.owners()), 1, "shrunk: %v", w.owners())
	for name, c := range w.cores {
		assert.Equal(t, len(c.Live(w.now)), 40, name)
	}
}
