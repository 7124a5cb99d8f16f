package gateway

import (
	"sync"
	"time"
)

const (
	// minAgeShare is the part of the usual deadline that must have passed for a
	// request to count as a client's retry.
	minAgeShare = 0.03
	// maxRoutes bounds the routes that ageEstimator and durationEstimator each keep.
	maxRoutes = 4096
	// maxDeadlines bounds the distinct deadlines counted for a route. When the limit
	// is reached, all counts are halved and those that become 0 are removed.
	maxDeadlines = 32
)

// ageEstimator estimates how long ago a client first sent a request. Clients send
// the time that they still wait. On a route, most first attempts carry the same
// deadline, while a retry carries what is left of it, which is hardly ever the same
// twice. The difference to the most frequent deadline is the age. The longest
// deadline would be the wrong reference: when a few clients wait longer than all
// others, every other request would look like a retry.
type ageEstimator struct {
	mu     sync.Mutex
	routes map[string]*deadlineCounts
}

// deadlineCounts counts the deadlines seen on one route.
type deadlineCounts struct {
	counts       map[time.Duration]int
	mostFrequent time.Duration
}

func newAgeEstimator() *ageEstimator { return &ageEstimator{routes: make(map[string]*deadlineCounts)} }

// estimate counts the deadline and returns the time since the client's first
// attempt, or 0 for a first attempt or a request without a deadline.
func (a *ageEstimator) estimate(route string, deadline time.Duration) time.Duration {
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
		d = &deadlineCounts{counts: make(map[time.Duration]int)}
		a.routes[route] = d
	}
	d.count(deadline)
	age := d.mostFrequent - deadline
	if float64(age) < minAgeShare*float64(d.mostFrequent) {
		return 0
	}
	return age
}

// count adds a deadline and updates mostFrequent.
func (d *deadlineCounts) count(deadline time.Duration) {
	if len(d.counts) >= maxDeadlines && d.counts[deadline] == 0 {
		d.halve()
	}
	d.counts[deadline]++
	if d.counts[deadline] >= d.counts[d.mostFrequent] {
		d.mostFrequent = deadline
	}
}

// halve halves all counts and removes those that become 0.
func (d *deadlineCounts) halve() {
	for deadline, n := range d.counts {
		if n /= 2; n == 0 {
			delete(d.counts, deadline)
		} else {
			d.counts[deadline] = n
		}
	}
}
