package discovery

import (
	"cmp"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

// entry is what is known about one endpoint.
type entry struct {
	// item is the newest one under the endpoint's key, possibly a removal.
	item platform.Item
	// endpoint is what the view shows; nil if the view has no such endpoint.
	endpoint *catalog.Endpoint
	// pendingEndpoint is the decoded item while no configuration has named its service.
	pendingEndpoint *catalog.Endpoint
	// faultReported means that the unknown service has been recorded as a fault.
	faultReported bool
	// removedAt is when the removal was applied; zero while the endpoint is listed.
	removedAt time.Time
	// graceUntil is when a lapsed or unusable endpoint leaves the view.
	graceUntil time.Time
}

// isRemoved reports whether the entry has been removed from the store.
func (e *entry) isRemoved() bool { return !e.removedAt.IsZero() }

// listed returns the endpoint of an entry that has not been removed, or nil; e may be nil.
func (e *entry) listed() *catalog.Endpoint {
	if e == nil || e.isRemoved() {
		return nil
	}
	return e.endpoint
}

// takesWork reports whether the view has the endpoint of an entry and it does not leave; e
// may be nil.
func (e *entry) takesWork() bool {
	return e != nil && e.endpoint != nil && !e.endpoint.Leaving
}

// current returns the item as it is passed on to peers.
func (e *entry) current() platform.Item {
	item := e.item
	item.Held = e.isHeld()
	return item
}

// isHeld reports whether the entry is lost and its endpoint is still in the view.
func (e *entry) isHeld() bool { return e.item.Lost && e.endpoint != nil }

// unknownServiceError returns the fault of an endpoint whose service no configuration names.
func unknownServiceError(e *catalog.Endpoint) error {
	return platform.ErrMalformed.New("no configuration names service %q", e.Service)
}

// registerServices adds the services that the new configuration names to the known ones
// and puts their pending endpoints into use. A service that a later configuration no
// longer names keeps its endpoints, because requests of the previous version may still be
// in flight there.
func (s *State) registerServices(now time.Time) {
	for _, service := range s.index.Config.ServiceNames() {
		s.knownServices[service] = true
	}
	for id, e := range s.entries {
		switch {
		case e.pendingEndpoint == nil:
		case s.knownServices[e.pendingEndpoint.Service]:
			s.putUsable(now, id, &entry{item: e.item, endpoint: e.pendingEndpoint})
		case !e.faultReported:
			e.faultReported = true
			s.fault(e.item, unknownServiceError(e.pendingEndpoint))
		}
	}
}

// applyEndpoint applies the item of an endpoint.
func (s *State) applyEndpoint(now time.Time, item platform.Item) {
	id := platform.EndpointID(item.Key)
	known := s.entries[id]
	if !s.supersedes(knownItem(known), item) {
		return
	}
	if item.Gone {
		s.remove(now, id, item)
		return
	}
	endpoint, err := platform.DecodeEndpoint(item)
	if err != nil {
		s.recordUnusable(now, id, &entry{item: item.WithFault(err)})
		s.fault(item, err)
		return
	}
	if !endpoint.Leaving && s.contradictsEnd(now, knownItem(known), item) {
		return
	}
	if listed := known.listed(); listed != nil {
		endpoint.Incarnation = cmp.Or(endpoint.Incarnation, listed.Incarnation)
		if fromEarlierProcess(endpoint, listed) || s.takesBackLeaving(known, item, endpoint) {
			return
		}
	}
	if s.repeatsEndpoint(known, item, endpoint) {
		s.restoreEntry(id, known, item)
		return
	}
	s.forgetReplaced(known, endpoint)
	s.endDoubt(now, endpoint, item)
	if endpoint.ColdLeft > 0 {
		endpoint.ColdUntil = now.Add(endpoint.ColdLeft)
	}
	s.limitRest(now, known, endpoint)
	if s.knownServices[endpoint.Service] {
		s.putUsable(now, id, &entry{item: item, endpoint: endpoint})
		return
	}
	// A configuration that is not decoded yet may name the service.
	_, undecoded := s.UndecodedConfig()
	isFault := s.index != nil && !undecoded
	s.recordUnusable(now, id, &entry{item: item, pendingEndpoint: endpoint, faultReported: isFault})
	if isFault {
		s.fault(item, unknownServiceError(endpoint))
	}
}

// limitRest sets until when an endpoint that leaves may be sent the rest of streams: from the
// first entry on that says so.
func (s *State) limitRest(now time.Time, known *entry, e *catalog.Endpoint) {
	if !e.Leaving {
		return
	}
	e.ContinuesUntil = now.Add(s.restTime)
	if listed := known.listed(); listed != nil && listed.Leaving && listed.Key() == e.Key() {
		e.ContinuesUntil = listed.ContinuesUntil
	}
}

// knownItem returns the item of an entry, which may be nil.
func knownItem(e *entry) platform.Item {
	if e == nil {
		return platform.Item{}
	}
	return e.item
}

// takesBackLeaving reports whether an item that may be one of a copy lists an endpoint as
// ready that is known to leave: an endpoint process that leaves does not return.
func (s *State) takesBackLeaving(known *entry, item platform.Item, endpoint *catalog.Endpoint) bool {
	unusable := !known.graceUntil.IsZero()
	if unusable || item.Era == known.item.Era || !item.Copied {
		return false
	}
	return known.endpoint.Leaving && !endpoint.Leaving && known.endpoint.Key() == endpoint.Key()
}

// repeatsEndpoint reports whether an item, the first one in its era, says of an endpoint in
// the view what is known.
func (s *State) repeatsEndpoint(known *entry, item platform.Item, endpoint *catalog.Endpoint) bool {
	if known == nil || known.endpoint == nil || item.Era == known.item.Era && !known.item.Lost {
		return false
	}
	before, after := *known.endpoint, *endpoint
	after.Incarnation = cmp.Or(after.Incarnation, before.Incarnation)
	before.ColdLeft, after.ColdLeft = 0, 0
	before.ColdUntil, after.ColdUntil = time.Time{}, time.Time{}
	before.ContinuesUntil, after.ContinuesUntil = time.Time{}, time.Time{}
	return before == after
}

// restoreEntry notes that an endpoint has written the entry that is known again.
func (s *State) restoreEntry(id string, known *entry, item platform.Item) {
	known.item = item
	known.pendingEndpoint = nil
	known.removedAt, known.graceUntil = time.Time{}, time.Time{}
	delete(s.expiring, id)
}

// putUsable stores an entry whose endpoint can be used.
func (s *State) putUsable(now time.Time, id string, e *entry) {
	if before, after := s.entries[id].takesWork(), e.takesWork(); before != after {
		s.noteEndpoint(now, id, after, e.item)
	}
	s.entries[id] = e
	delete(s.expiring, id)
	s.dirty = true
}

// recordUnusable stores an entry that names no usable endpoint. If a usable one stood
// there before, another writer has overwritten its entry, which does not stop the endpoint
// but removes its address from the store. From this revision on it therefore gets no new
// work, as if it were leaving. It stays in the view for unusableGrace, so that what runs
// there can finish, its results can be fetched, and no crash is attributed to the requests
// there. If it is running, its next heartbeat writes the entry again. Further unusable
// entries do not extend the grace period.
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

// fromEarlierProcess reports whether an entry is of an earlier process than the one that
// is listed under its ID, although it was written later.
//
// It guards against a write of an ended process that the store executes only after the
// next process has written its entry: requests would be sent as if the endpoint still held
// state that the new process never had. The check applies only while the newer process is
// listed, so that an endpoint whose clock was set back can return after a removal.
func fromEarlierProcess(next, listed *catalog.Endpoint) bool {
	return next.Incarnation < listed.Incarnation
}

// remove applies the removal of an endpoint's entry. After a recent store failure it
// counts as a lapse: unless the endpoint was leaving or has ended, it stays in the view for
// lapseGrace.
func (s *State) remove(now time.Time, id string, item platform.Item) {
	known := s.entries[id]
	if known == nil {
		item.Held = false
		known = &entry{item: item, removedAt: now}
		s.entries[id] = known
		s.expiring[id] = known
		return
	}
	ended := s.hasEnded(now, known.item)
	wasRemoved := known.isRemoved() && !s.endsHold(known.isHeld(), known.item, item.Position())
	known.item = item
	known.item.Held = false
	known.pendingEndpoint = nil
	if wasRemoved {
		return
	}
	known.removedAt = now
	known.graceUntil = now
	s.expiring[id] = known
	if known.endpoint == nil {
		return
	}
	if item.Lost && known.endpoint.Leaving {
		s.MarkLeaving(now, known.endpoint.Key())
	}
	if item.Held {
		known.graceUntil = now.Add(restoreGrace)
		return
	}
	if known.takesWork() {
		s.noteEndpoint(now, id, false, item)
	}
	if now.Sub(s.lastTrouble) < troublePeriod && !known.endpoint.Leaving && !ended {
		known.graceUntil = now.Add(lapseGrace)
	}
	s.dirty = true
}

// hasEnded reports whether the removal of an endpoint's item is no lapse although the store
// has returned from a copy lately: the store has not failed since, and the endpoint had its
// time to write the item again.
func (s *State) hasEnded(now time.Time, item platform.Item) bool {
	if s.Settled() || s.lastTrouble.After(s.enteredAt) {
		return false
	}
	isEarlier := item.Copied || item.Era < s.at.Era
	return s.settling || isEarlier && now.Sub(s.eraSince) > restoreGrace
}

// withDomainState returns the endpoint with the state of its failure domain and the cold
// rate of its service. Endpoints of a domain whose evacuation has ended count as cold for
// the service's cold start time: they have had no work, and the heartbeat in which they
// report themselves cold comes long after the first requests were sent.
func (s *State) withDomainState(e *catalog.Endpoint, evacuated bool) *catalog.Endpoint {
	service := s.index.Service(e.Service)
	until := e.ColdUntil
	if ended, ok := s.evacuationEnded[e.Domain]; ok && service != nil && service.ColdStart > 0 {
		until = later(until, ended.Add(service.ColdStart))
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

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Expire removes lapsed and unusable endpoints from the view after their grace period and
// forgets old removals, and ends the evacuations whose items stay lost. An unusable entry is kept while it is listed, so that its revision
// hides older ones and its fault is reported once.
func (s *State) Expire(now time.Time) {
	defer s.from(Source{Way: WayExpiry})()
	s.expireEnded(now)
	for _, item := range s.evacuations.expire(now) {
		s.noteDropped(item.Key)
		s.noteEvacuation(now, item)
	}
	for id, e := range s.expiring {
		if e.endpoint != nil && !now.Before(e.graceUntil) {
			s.endGrace(now, id, e)
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

// endGrace removes an endpoint from the view whose grace period has ended.
func (s *State) endGrace(now time.Time, id string, e *entry) {
	if e.item.Lost {
		s.noteDropped(e.item.Key)
	}
	if e.item.Lost && e.takesWork() {
		s.noteEndpoint(now, id, false, e.item)
	}
	e.endpoint = nil
	s.dirty = true
}
