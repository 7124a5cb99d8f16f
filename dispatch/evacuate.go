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
		if j.engine != nil {
			continue
		}
		if service := c.evacuated(j); service != "" {
			c.refuseUnserved(j, service, now)
		}
	}
}

// evacuated returns a service that the job still needs and that is evacuated, or
// the empty string.
func (c *Core) evacuated(j *job) string {
	if es := c.engines[j.Service]; es != nil && allEvacuated(es.all) {
		return j.Service
	}
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil && len(s.waiting) > 0 && allEvacuated(p.workers) {
			return p.name
		}
	}
	return ""
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
