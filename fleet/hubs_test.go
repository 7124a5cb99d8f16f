package fleet

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sparse is a large fleet as its services connect it: heartbeats pass on
// connections that a member dialled, and answers on those that it accepted.
type sparse struct {
	now   time.Time
	round int
	cores map[string]*Core
	// dialled holds the connections by the member that dialled them.
	dialled map[string]map[string]bool
	// bytes counts the members named in heartbeats, as the measure of their size.
	beats, named int
}

func newSparse(n int, seeds ...string) *sparse {
	w := &sparse{now: epoch, cores: make(map[string]*Core), dialled: make(map[string]map[string]bool)}
	for i := range n {
		w.start(fmt.Sprintf("m%03d", i), float64(1+i%7)/8, seeds)
	}
	return w
}

func (w *sparse) start(name string, cores float64, seeds []string) {
	self := Member{Name: name, Incarnation: fmt.Sprintf("%s@%d", name, w.round), Addr: name, Cores: cores}
	w.cores[name] = NewCore(self, seeds)
	w.dialled[name] = make(map[string]bool)
}

// kill ends a member and its connections.
func (w *sparse) kill(name string) {
	incarnation := w.cores[name].self.Incarnation
	delete(w.cores, name)
	delete(w.dialled, name)
	for other, to := range w.dialled {
		delete(to, name)
		w.cores[other].Closed(w.now, name, incarnation)
	}
}

func (w *sparse) names() []string {
	names := make([]string, 0, len(w.cores))
	for name := range w.cores {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// step lets one round of heartbeats pass, as Service.beat does.
func (w *sparse) step() {
	w.now = w.now.Add(BeatEvery)
	w.round++
	for _, from := range w.names() {
		c := w.cores[from]
		c.Owner(w.now)
		beat := c.Beat(w.now, 0, w.round)
		for _, to := range c.Addrs(w.now) {
			if w.cores[to] == nil {
				continue
			}
			if !w.dialled[from][to] {
				w.dialled[from][to] = true
				w.hear(from, to, c.Introduction(w.now, 0, to))
			} else if c.Due(w.now, to, w.round) {
				w.hear(from, to, c.AckTo(to, beat))
			}
		}
		for to := range w.dialled[from] {
			if !c.Partner(to) {
				delete(w.dialled[from], to)
			}
		}
		for _, to := range w.names() {
			if w.dialled[to][from] && !c.Partner(to) && c.Due(w.now, to, w.round) {
				w.hear(from, to, c.AckTo(to, beat))
			}
		}
	}
}

// hear delivers a heartbeat; a member that is dialled and does not dial back
// introduces itself.
func (w *sparse) hear(from, to string, b Beat) {
	w.beats++
	w.named += 1 + len(b.Peers) + len(b.Hubs)
	other := w.cores[to]
	known := other.peers[from] != nil
	other.Heard(w.now, b)
	if !known && !other.Partner(from) {
		w.cores[from].Heard(w.now, other.Introduction(w.now, 0, from))
	}
}

func (w *sparse) steps(d time.Duration) {
	for range int(d / BeatEvery) {
		w.step()
	}
}

func (w *sparse) owners() map[string]int {
	owners := make(map[string]int)
	for _, c := range w.cores {
		owner, _ := c.Owner(w.now)
		owners[owner.Name]++
	}
	return owners
}

// connections is the number of connections of the median member and of the one
// with the most.
func (w *sparse) connections() (median, most int) {
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

// 150 gateways start as one, after a loss of power. Users wait until the fleet
// has one queue: all must follow the same owner within seconds, know the size
// of the fleet, and hold a few connections each instead of one to all.
func TestLargeFleetStartsAsOne(t *testing.T) {
	w := newSparse(150, sparseSeeds...)
	w.steps(6 * time.Second)
	assert.Equal(t, len(w.owners()), 1, "owners: %v", w.owners())
	for name, c := range w.cores {
		size := c.Size(w.now)
		assert.Assert(t, size > 140 && size <= 150, "%s takes the fleet for %d", name, size)
	}
	w.steps(20 * time.Second)
	median, most := w.connections()
	t.Logf("connections: median %d, most %d", median, most)
	assert.Assert(t, median <= 2*(hubCount+len(sparseSeeds)+1), "median %d", median)
	w.beats, w.named = 0, 0
	w.steps(10 * time.Second)
	t.Logf("heartbeats a second of a member: %.1f, members named: %.1f",
		float64(w.beats)/10/150, float64(w.named)/10/150)
	assert.Assert(t, w.beats < 150*10*40)
}

// The owner of the queue is killed, then all hubs at once, then two thirds of
// the fleet. Each time the rest agrees on another owner within seconds.
func TestLargeFleetLosesItsHubs(t *testing.T) {
	w := newSparse(150, sparseSeeds...)
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

// A fleet grows past the size of a full mesh and shrinks again. The members
// must follow one owner all along, and hear each other again in the end.
func TestFleetGrowsAndShrinks(t *testing.T) {
	w := newSparse(50, "m000", "m010", "m020")
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
