package gateway

import (
	"sync"
	"time"
)

const (
	// ageShare is the part of the usual deadline that must have passed for a
	// request to count as one that comes back.
	ageShare = 0.03
	// maxRoutes bounds the routes whose usual deadline is kept.
	maxRoutes = 4096
	// maxDeadlines bounds the different deadlines that are counted on a route.
	// When it is full all counts are halved and what falls to 0 goes.
	maxDeadlines = 32
)

// ages tells requests that come back from new ones. Clients say how long they
// still wait. Most first tries on a route say the same; a request that comes
// back says what is left, which is hardly ever the same twice. What it lacks of
// the most frequent deadline has passed since its first try. The longest
// deadline would not do: a few clients wait longer than all others, and made
// every other request look as if it came back.
type ages struct {
	mu     sync.Mutex
	routes map[string]*deadlines
}

// deadlines counts the deadlines that were seen on one route.
type deadlines struct {
	counts map[time.Duration]int
	usual  time.Duration
}

func newAges() *ages { return &ages{routes: make(map[string]*deadlines)} }

// of returns the time since the client's first try; 0 for a first try.
func (a *ages) of(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.routes[route]
	if d == nil {
		if len(a.routes) >= maxRoutes {
			clear(a.routes)
		}
		d = &deadlines{counts: make(map[time.Duration]int)}
		a.routes[route] = d
	}
	d.count(deadline)
	age := d.usual - deadline
	if float64(age) < ageShare*float64(d.usual) {
		return 0
	}
	return age
}

func (d *deadlines) count(deadline time.Duration) {
	if len(d.counts) >= maxDeadlines && d.counts[deadline] == 0 {
		d.halve()
	}
	d.counts[deadline]++
	if d.counts[deadline] >= d.counts[d.usual] {
		d.usual = deadline
	}
}

func (d *deadlines) halve() {
	for deadline, n := range d.counts {
		if n /= 2; n == 0 {
			delete(d.counts, deadline)
		} else {
			d.counts[deadline] = n
		}
	}
}
