package dispatch

import (
	"slices"
	"time"
)

// refuseEvacuated refuses the jobs that wait for a service all of whose endpoints
// are in evacuated failure domains. Nobody knows how long an evacuation lasts, so
// a client that retries later, at another gateway or failure domain, is better off
// than one that is held until its deadline. Crashed endpoints are back within
// seconds, so jobs do wait for those.
func (c *Core) refuseEvacuated(now time.Time) {
	for _, j := range c.jobsByTicket() {
		if j.engine != nil {
			continue
		}
		if service := c.evacuatedService(j); service != "" {
			c.refuseNoEndpoint(j, service, now)
		}
	}
}

// evacuatedService returns a service that the job still needs and that is
// evacuated, or the empty string.
func (c *Core) evacuatedService(j *job) string {
	if es := c.modelEngines[j.Service]; es != nil && allEvacuated(es.all) {
		return j.Service
	}
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil && len(s.waiting) > 0 && allEvacuated(p.workers) {
			return p.name
		}
	}
	return ""
}

// target is an endpoint that takes work.
type target interface {
	usable() bool
	evacuated() bool
}

func (e *engine) evacuated() bool { return e.endpoint.Evacuated }

func (w *worker) evacuated() bool { return w.endpoint.Evacuated }

// allEvacuated reports whether no target is usable and at least one is evacuated.
func allEvacuated[T target](targets []T) bool {
	return !slices.ContainsFunc(targets, T.usable) && slices.ContainsFunc(targets, T.evacuated)
}
