package dispatch

import "slices"

// Reach notes the failure domains that this process, the owner, does not reach. The
// endpoints there are likely cut off as well.
//
// The failure that it guards against: an owner that takes over while a domain is cut
// off sends a full call to each endpoint there, and requests to its engines. All are
// lost, and late by the time that it takes to tell.
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
	for _, es := range c.engines {
		for _, e := range es.all {
			e.unreached = slices.Contains(unreached, e.endpoint.Domain)
		}
	}
	c.unreached = unreached
}
