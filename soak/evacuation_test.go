package soak

import (
	"time"

	"github.com/mangostage/mangostage/platform"
)

const (
	// routesPerGrowth is the number of routes added to the configuration at once,
	// maxAddedRoutes their limit: a configuration of about 0.5 MB.
	routesPerGrowth = 700
	maxAddedRoutes  = 2100
)

// growConfig publishes a configuration with routesPerGrowth more routes, up to
// maxAddedRoutes.
func (r *rig) growConfig() {
	r.mu.Lock()
	r.addedRoutes = min(maxAddedRoutes, r.addedRoutes+routesPerGrowth)
	r.mu.Unlock()
	r.publish()
}

// evacuate evacuates a failure domain for drainLimit and d. It does nothing if the
// domain is already evacuated or, with onlyOne set, if another one is.
func (r *rig) evacuate(domain string, d time.Duration, onlyOne bool) {
	r.mu.Lock()
	_, already := r.evacuated[domain]
	if already || onlyOne && len(r.evacuated) > 0 {
		r.mu.Unlock()
		return
	}
	r.evacuated[domain] = time.Now()
	r.store.Put(platform.PrefixEvacuations+domain, nil)
	r.mu.Unlock()
	wait(drainLimit + d)
	r.mu.Lock()
	// Requests may arrive as soon as the evacuation is withdrawn, so the record
	// goes first.
	delete(r.evacuated, domain)
	r.store.Remove(platform.PrefixEvacuations + domain)
	r.mu.Unlock()
}

// checkArrival checks that a request or call that reached e was not sent after the
// evacuation of its failure domain.
func (r *rig) checkArrival(what string, e *endpoint) {
	r.mu.Lock()
	evacuatedAt := r.evacuated[e.domain]
	r.mu.Unlock()
	r.recorder.checkEvacuated(what, e.service+" at "+e.addr, evacuatedAt)
}
