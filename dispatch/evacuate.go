package dispatch

import (
	"slices"
	"time"
)

// refuseEvacuated refuses the jobs that wait for a service all of whose endpoints
// are in evacuated failure domains. Nobody knows for how long, so that a client
// that comes back later, to another gateway or domain, is better off than one that
// is held until its deadline. Endpoints that crashed are back within seconds: jobs
// do wait for those.
func (c *Core) refuseEvacuated(now time.Time) {
	for _, j := range c.tickets() {
		if j.engine == nil && c.evacuated(j) {
			c.refuse(j, ReasonNoEndpoint, now)
		}
	}
}

// evacuated tells whether a service that the job still needs is evacuated.
func (c *Core) evacuated(j *job) bool {
	if es := c.engines[j.Service]; es != nil && allEvacuated(es.all) {
		return true
	}
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil && len(s.waiting) > 0 && allEvacuated(p.workers) {
			return true
		}
	}
	return false
}

// target is an endpoint that work goes to.
type target interface {
	usable() bool
	evacuated() bool
}

func (e *engine) evacuated() bool { return e.endpoint.Evacuated }

func (w *worker) evacuated() bool { return w.endpoint.Evacuated }

// allEvacuated tells whether no target takes work, and one does but for that.
func allEvacuated[T target](targets []T) bool {
	return !slices.ContainsFunc(targets, T.usable) && slices.ContainsFunc(targets, T.evacuated)
}
