package discovery

import (
	"cmp"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

// entry is what is known of one endpoint.
type entry struct {
	item     platform.Item
	endpoint *catalog.Endpoint
	// pendingEndpoint is what the item says, while no configuration has named its service.
	pendingEndpoint *catalog.Endpoint
	// faultReported is set once it is a fault that the service is not named.
	faultReported bool
	// removedAt is when the removal was heard of; zero while it is listed.
	removedAt time.Time
	// graceUntil is when a lapsed or spoiled endpoint counts as gone.
	graceUntil time.Time
}

func unknownServiceError(e *catalog.Endpoint) error {
	return platform.ErrMalformed.New("no configuration names service %q", e.Service)
}

// registerServices takes the endpoints of services that the configuration names and
// none before it has. A service keeps its endpoints when a later configuration
// names it no longer: requests of the version before are still under way there.
func (s *State) registerServices() {
	for _, service := range s.index.Config.ServiceNames() {
		s.knownServices[service] = true
	}
	for id, e := range s.entries {
		switch {
		case e.pendingEndpoint == nil:
		case s.knownServices[e.pendingEndpoint.Service]:
			s.putUsable(id, &entry{item: e.item, endpoint: e.pendingEndpoint})
		case !e.faultReported:
			e.faultReported = true
			s.fault(e.item, unknownServiceError(e.pendingEndpoint))
		}
	}
}

func (s *State) applyEndpoint(now time.Time, item platform.Item) {
	id := platform.EndpointID(item.Key)
	known := s.entries[id]
	if known != nil && item.Revision <= known.item.Revision {
		return
	}
	if item.Gone {
		s.remove(now, id, item)
		return
	}
	endpoint, err := platform.DecodeEndpoint(item)
	if err != nil {
		s.recordUnusable(now, id, &entry{item: item.Refused(err)})
		s.fault(item, err)
		return
	}
	if known != nil && known.removedAt.IsZero() && known.endpoint != nil {
		endpoint.Incarnation = cmp.Or(endpoint.Incarnation, known.endpoint.Incarnation)
		if fromEarlierProcess(endpoint, known.endpoint) {
			return
		}
	}
	if endpoint.ColdLeft > 0 {
		endpoint.ColdUntil = now.Add(endpoint.ColdLeft)
	}
	if s.knownServices[endpoint.Service] {
		s.putUsable(id, &entry{item: item, endpoint: endpoint})
		return
	}
	// A configuration that is not decoded yet may name the service.
	_, awaited := s.Awaited()
	tell := s.index != nil && !awaited
	s.recordUnusable(now, id, &entry{item: item, pendingEndpoint: endpoint, faultReported: tell})
	if tell {
		s.fault(item, unknownServiceError(endpoint))
	}
}

// putUsable makes the entry's endpoint one to use.
func (s *State) putUsable(id string, e *entry) {
	s.entries[id] = e
	delete(s.expiring, id)
	s.dirty = true
}

// recordUnusable notes an entry that names no endpoint to use. What stood there before
// named one that another writer cannot have stopped, only made unknown: nothing
// in the store says any more where it is, so it gets no new work from this
// revision on, as if it were leaving. It is not taken for gone at once: what
// runs there may end, results there can be fetched, and its content is not
// blamed for a crash. If it lives, its next heartbeat writes the entry again.
// Later writes of the same kind do not prolong the wait.
func (s *State) recordUnusable(now time.Time, id string, e *entry) {
	known := s.entries[id]
	s.entries[id] = e
	delete(s.expiring, id)
	if known == nil || known.endpoint == nil {
		return
	}
	s.dirty = true
	if !known.removedAt.IsZero() {
		return
	}
	leaving := *known.endpoint
	leaving.Leaving = true
	e.endpoint = &leaving
	e.graceUntil = known.graceUntil
	if e.graceUntil.IsZero() {
		e.graceUntil = now.Add(unusableGrace)
	}
	s.expiring[id] = e
}

// fromEarlierProcess tells whether an entry is of an earlier process than the one that is
// listed under its ID, although it was written later.
//
// The failure that it guards against: the store does a write of a process that
// has ended only after the entry of the next one is written, and requests are
// sent, with what the new process never held, as to the old one. Only while the
// newer one is listed: an endpoint whose clock was set back can return after a
// removal.
func fromEarlierProcess(next, listed *catalog.Endpoint) bool {
	return next.Incarnation < listed.Incarnation
}

// remove notes that an endpoint is no longer listed.
func (s *State) remove(now time.Time, id string, item platform.Item) {
	known := s.entries[id]
	if known == nil {
		known = &entry{item: item, removedAt: now}
		s.entries[id] = known
		s.expiring[id] = known
		return
	}
	known.item = item
	known.pendingEndpoint = nil
	if !known.removedAt.IsZero() {
		return
	}
	known.removedAt = now
	known.graceUntil = now
	s.expiring[id] = known
	if known.endpoint == nil {
		return
	}
	if now.Sub(s.lastTrouble) < troublePeriod && !known.endpoint.Leaving {
		known.graceUntil = now.Add(lapseGrace)
	}
	s.dirty = true
}

// withDomainState returns the endpoint with what the deployment says of its domain and
// service beside its own entry. The endpoints of a domain whose evacuation has
// ended are taken for cold: they have had no work, and their own word that they
// are comes with a heartbeat, when the first requests have long been sent.
func (s *State) withDomainState(e *catalog.Endpoint, evacuated bool) *catalog.Endpoint {
	service := s.index.Service(e.Service)
	until := e.ColdUntil
	if back, ok := s.evacuationEnded[e.Domain]; ok && service != nil && service.ColdStart > 0 {
		until = later(until, back.Add(service.ColdStart))
	}
	if !evacuated && until.IsZero() {
		return e
	}
	next := *e
	next.Evacuated = evacuated
	next.ColdUntil = until
	if service != nil {
		next.ColdRate = service.ColdRate
	}
	return &next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Expire ends the grace of lapsed and spoiled endpoints and forgets old
// removals. An entry that names no endpoint stays known by its revision while
// it is listed: it hides older ones, and its fault is told of once.
func (s *State) Expire(now time.Time) {
	for id, e := range s.expiring {
		if e.endpoint != nil && !now.Before(e.graceUntil) {
			e.endpoint = nil
			s.dirty = true
		}
		switch {
		case e.removedAt.IsZero() && e.endpoint == nil:
			delete(s.expiring, id)
		case !e.removedAt.IsZero() && now.Sub(e.removedAt) > tombstoneTTL:
			delete(s.entries, id)
			delete(s.expiring, id)
		}
	}
}
