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
)

// ages tells requests that come back from new ones. Clients say how long they
// still wait; the longest wait seen on a route is that of a first try, and what
// a request lacks of it has passed since its own.
type ages struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

func newAges() *ages { return &ages{usual: make(map[string]time.Duration)} }

// of returns the time since the client's first try; 0 for a first try.
func (a *ages) of(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	usual := a.usual[route]
	if deadline > usual {
		if usual == 0 && len(a.usual) >= maxRoutes {
			clear(a.usual)
		}
		a.usual[route] = deadline
		return 0
	}
	age := usual - deadline
	if float64(age) < ageShare*float64(usual) {
		return 0
	}
	return age
}
