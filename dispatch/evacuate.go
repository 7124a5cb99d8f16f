package dispatch

import "time"

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
	if es := c.engines[j.Service]; es != nil && es.evacuated() {
		return true
	}
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil && len(s.waiting) > 0 && p.evacuated() {
			return true
		}
	}
	return false
}

// evacuated tells whether no engine takes work, and one does but for that.
func (es *engines) evacuated() bool {
	found := false
	for _, e := range es.all {
		if e.usable() {
			return false
		}
		found = found || e.endpoint.Evacuated
	}
	return found
}

// evacuated tells whether no worker takes work, and one does but for that.
func (p *pool) evacuated() bool {
	found := false
	for _, w := range p.workers {
		if w.usable() {
			return false
		}
		found = found || w.endpoint.Evacuated
	}
	return found
}
