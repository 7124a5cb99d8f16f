package soak

import (
	"time"

	"github.com/mangostage/mangostage/platform"
)

const (
	// addedRoutes is how many routes the configuration grows by at once, and
	// maxAdded how many it may have so: about 0.5 MB.
	addedRoutes = 700
	maxAdded    = 2100
)

// grow publishes a configuration with many routes more.
func (r *rig) grow() {
	r.mu.Lock()
	r.added = min(maxAdded, r.added+addedRoutes)
	r.mu.Unlock()
	r.publish()
}

// evacuate empties a failure domain for a time; alone, if no other is empty.
func (r *rig) evacuate(domain string, d time.Duration, alone bool) {
	r.mu.Lock()
	_, already := r.emptied[domain]
	if already || alone && len(r.emptied) > 0 {
		r.mu.Unlock()
		return
	}
	r.emptied[domain] = time.Now()
	r.mu.Unlock()
	r.store.Put(platform.PrefixEvacuations+domain, nil)
	wait(leaveBound + d)
	r.mu.Lock()
	// Before it is taken back: what arrives from then on is allowed.
	delete(r.emptied, domain)
	r.mu.Unlock()
	r.store.Remove(platform.PrefixEvacuations + domain)
}

// arrived checks a request or call at an endpoint.
func (r *rig) arrived(what string, e *endpoint) {
	r.mu.Lock()
	emptied := r.emptied[e.domain]
	r.mu.Unlock()
	r.book.late(what, e.service+" at "+e.addr, emptied)
}
