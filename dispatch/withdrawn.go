package dispatch

import (
	"slices"
	"time"
)

// refuseWithdrawn refuses the jobs that wait for a service all of whose endpoints
// leave or are in evacuated failure domains. Endpoints that leave do not return, and
// nobody knows how long an evacuation lasts, so a client that retries later, at another
// gateway or failure domain, is better off than one that is held until its deadline.
// Crashed endpoints are back within seconds, so jobs do wait for those.
func (c *Core) refuseWithdrawn(now time.Time) {
	for _, j := range c.jobsByTicket() {
		if j.engine != nil {
			continue
		}
		if c.lacksVersion(j, now) {
			c.refuseNoVersion(j, now)
			continue
		}
		if service := c.withdrawnService(j); service != "" {
			c.refuseNoEndpoint(j, service, now)
		}
	}
}

// lacksVersion reports whether the job goes on with a stream and no engine of the version
// that began it is there: none of the others may serve it, and nobody knows whether the
// version comes back.
func (c *Core) lacksVersion(j *job, now time.Time) bool {
	return j.Version != nil && !c.modelEngines[j.Service].serves(j, now)
}

// refuseNoVersion refuses a job for want of an engine of its version.
func (c *Core) refuseNoVersion(j *job, now time.Time) {
	j.shortService, j.shortResource = j.Service, ResourceVersion
	c.refuse(j, ReasonNoVersion, now)
}

// withdrawnService returns a service that the job still needs and all of whose
// endpoints leave or are evacuated, or the empty string.
func (c *Core) withdrawnService(j *job) string {
	if es := c.modelEngines[j.Service]; es != nil && j.Version == nil && allWithdrawn(es.all) {
		return j.Service
	}
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil && len(s.waiting) > 0 && allWithdrawn(p.workers) {
			return p.name
		}
	}
	return ""
}

// target is an endpoint that takes work.
type target interface {
	usable() bool
	withdrawn() bool
}

func (e *engine) withdrawn() bool { return !e.endpoint.TakesWork() }

func (w *worker) withdrawn() bool { return !w.endpoint.TakesWork() }

// allWithdrawn reports whether no target is usable and at least one is withdrawn.
func allWithdrawn[T target](targets []T) bool {
	return !slices.ContainsFunc(targets, T.usable) && slices.ContainsFunc(targets, T.withdrawn)
}
