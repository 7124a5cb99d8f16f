package dispatch

import "slices"

// Reach updates the failure domains that this process, the queue owner, cannot
// reach. The endpoints there are probably cut off as well.
//
// It guards against this failure: an owner that takes over while a failure domain
// is cut off sends a full call to each endpoint there, and requests to its
// engines. All of them are lost, and delayed by the time until that is detected.
func (c *Core) Reach(unreached []string) {
	if slices.Equal(unreached, c.unreached) {
		return
	}
	lost := func(domain string) bool {
		return slices.Contains(unreached, domain) && !slices.Contains(c.unreached, domain)
	}
	for _, p := range c.pools {
		for _, w := range p.workers {
			w.suspect = w.suspect || lost(w.endpoint.Domain)
		}
	}
	for _, es := range c.modelEngines {
		for _, e := range es.all {
			e.unreached = slices.Contains(unreached, e.endpoint.Domain)
		}
	}
	c.unreached = unreached
}
