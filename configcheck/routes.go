package configcheck

import (
	"strings"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// pattern is what selects a route.
type pattern struct{ host, prefix string }

// checkRoutes checks all routes.
func (c *checker) checkRoutes() {
	names := make(map[string]int)
	patterns := make(map[pattern]int)
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		place := Place{List: ListRoutes, Index: i, Name: r.Name}
		c.checkName(names, place, "route")
		c.checkPattern(r, place)
		p := pattern{r.Host, r.Prefix}
		if first, ok := patterns[p]; ok {
			c.add(KindUnreachable, place.at(FieldPrefix), "the route at position %d has the same host and prefix and goes first", first)
		} else {
			patterns[p] = i
		}
		c.checkSplit(r, place)
		c.checkStages(r, place)
		c.checkTimes(r, place)
	}
}

// checkPattern checks the host and the prefix of a route.
func (c *checker) checkPattern(r *catalog.Route, place Place) {
	switch {
	case r.Host == "":
		c.add(KindError, place.at(FieldHost), "is missing")
	case r.Host != strings.ToLower(r.Host):
		c.add(KindUnreachable, place.at(FieldHost), "%q has capital letters; hosts of requests are compared in lower case", r.Host)
	case strings.ContainsAny(r.Host, ":/ "):
		c.add(KindUnreachable, place.at(FieldHost), "%q is more than a host name; the port of a request is not compared", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.add(KindUnreachable, place.at(FieldPrefix), "%q does not begin with a slash", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(KindError, place.at(FieldPrefix), "%q does not end with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?#"):
		c.add(KindUnreachable, place.at(FieldPrefix), "%q has characters that no path contains", r.Prefix)
	}
}

// checkSplit checks the services to which a route's requests go.
func (c *checker) checkSplit(r *catalog.Route, place Place) {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
		service := c.services[s.Service]
		switch {
		case s.Weight < 0:
			c.add(KindError, place.at(FieldSplit), "service %q has the negative weight %g", s.Service, s.Weight)
		case s.Weight == 0:
			c.add(KindUnreachable, place.at(FieldSplit), "service %q has the weight 0", s.Service)
		}
		switch {
		case service == nil:
			c.add(KindError, place.at(FieldSplit), "service %q is not configured", s.Service)
		case service.Batch != nil:
			c.add(KindError, place.at(FieldSplit), "service %q runs stages and takes no requests", s.Service)
		case r.Model && service.Model == nil:
			c.add(KindContradiction, place.at(FieldModel), "service %q has no model engines", s.Service)
		case !r.Model && service.Model != nil:
			c.add(KindContradiction, place.at(FieldModel), "service %q has model engines, the route's requests are for plain endpoints", s.Service)
		}
	}
	if total == 0 {
		c.add(KindError, place.at(FieldSplit), "no service has a weight above 0")
	}
}

// checkStages checks the stages of a route: their services, and that each one depends
// on earlier ones only.
func (c *checker) checkStages(r *catalog.Route, place Place) {
	for i, s := range r.Stages {
		service := c.services[s.Service]
		switch {
		case service == nil:
			c.add(KindError, place.at(FieldStages), "stage %d: service %q is not configured", i, s.Service)
		case service.Batch == nil:
			c.add(KindError, place.at(FieldStages), "stage %d: service %q runs no stages", i, s.Service)
		case service.Batch.Room > 0 && s.ResultBytes > service.Batch.Room:
			c.add(KindContradiction, place.at(FieldStages), "stage %d: a result of %d bytes is larger than the room of %d bytes at an endpoint of %q", i, s.ResultBytes, service.Batch.Room, s.Service)
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				c.add(KindError, place.at(FieldStages), "stage %d depends on stage %d, which is not before it", i, d)
			}
		}
	}
	if len(r.Stages) > 0 && !r.Model {
		c.add(KindContradiction, place.at(FieldStages), "stages run only before requests for model engines")
	}
}

// checkTimes checks the time limits of a route against each other and against the time
// that its stages take.
func (c *checker) checkTimes(r *catalog.Route, place Place) {
	for _, limit := range []struct {
		field Field
		value time.Duration
	}{{FieldTimeout, r.Timeout}, {FieldObjective, r.Objective}, {FieldEventGap, r.EventGap}} {
		if limit.value < 0 {
			c.add(KindError, place.at(limit.field), "is negative")
		}
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(KindContradiction, place.at(FieldObjective), "%v is longer than the timeout of %v", r.Objective, r.Timeout)
	}
	if r.Timeout > 0 && r.EventGap > r.Timeout {
		c.add(KindContradiction, place.at(FieldEventGap), "%v is longer than the timeout of %v", r.EventGap, r.Timeout)
	}
	if r.Kind != catalog.RouteStream && r.EventGap > 0 {
		c.add(KindContradiction, place.at(FieldEventGap), "has no effect on a route without streams")
	}
	if r.Kind != catalog.RouteStream && r.Resumable {
		c.add(KindContradiction, place.at(FieldResumable), "has no effect on a route without streams")
	}
	shortest := c.shortestStages(r)
	switch {
	case shortest == 0:
	case r.Timeout > 0 && shortest >= r.Timeout:
		c.add(KindContradiction, place.at(FieldTimeout), "the stages alone take %v, the timeout is %v", shortest, r.Timeout)
	case r.Objective > 0 && shortest >= r.Objective:
		c.add(KindContradiction, place.at(FieldObjective), "the stages alone take %v, the objective is %v", shortest, r.Objective)
	}
}

// shortestStages returns the least time from the start of a route's stages to their
// end: the longest chain of calls with one piece each.
func (c *checker) shortestStages(r *catalog.Route) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	longest := time.Duration(0)
	for i, s := range r.Stages {
		for _, d := range s.DependsOn {
			if d >= 0 && d < i {
				ends[i] = max(ends[i], ends[d])
			}
		}
		if service := c.services[s.Service]; service != nil && service.Batch != nil {
			ends[i] += service.Batch.CallTimeFor(1)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
