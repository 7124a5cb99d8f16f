package discovery

import (
	"slices"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

const (
	// leavingTTL is how long it is remembered that an endpoint said that it leaves, once
	// it is no longer listed.
	leavingTTL = 10 * time.Minute
	// maxLeaving bounds the endpoints that are remembered.
	maxLeaving = 1 << 14
)

// MarkLeaving records that the endpoint process with the Key said in an answer that it
// leaves, and reports whether that is new. Nothing takes it back: it holds against the
// store's list and against later answers, until another process takes the place.
func (s *State) MarkLeaving(now time.Time, key string) bool {
	if _, known := s.announcedLeaving[key]; known || key == "" || len(s.announcedLeaving) >= maxLeaving {
		return false
	}
	s.announcedLeaving[key] = now
	s.dirty = true
	return true
}

// withAnnouncement returns the endpoint as leaving if it said so in an answer.
func (s *State) withAnnouncement(e *catalog.Endpoint) *catalog.Endpoint {
	if _, announced := s.announcedLeaving[e.Key()]; !announced || e.Leaving {
		return e
	}
	leaving := *e
	leaving.Leaving = true
	return &leaving
}

// forgetReplaced drops what an endpoint said that has been removed and is listed again,
// if it does not report its start: the key cannot tell its processes apart.
func (s *State) forgetReplaced(known *entry, e *catalog.Endpoint) {
	if e.Incarnation == 0 && known != nil && known.isRemoved() && !known.item.Lost {
		delete(s.announcedLeaving, e.Key())
	}
}

// forgetLeaving drops what endpoints said that have not been listed for leavingTTL.
func (s *State) forgetLeaving(now time.Time, listed func(key string) bool) {
	for key, at := range s.announcedLeaving {
		switch {
		case listed(key):
			s.announcedLeaving[key] = now
		case now.Sub(at) > leavingTTL:
			delete(s.announcedLeaving, key)
		}
	}
}

// AnnouncedLeaving returns the Keys of up to most endpoints that said that they leave.
func (s *State) AnnouncedLeaving(most int) []string {
	keys := make([]string, 0, min(most, len(s.announcedLeaving)))
	for key := range s.announcedLeaving {
		if len(keys) == most {
			break
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Departure says that an endpoint process leaves, by its own answer.
type Departure struct {
	// Endpoint is the endpoint's Key.
	Endpoint string `json:"endpoint"`
	// Request is the request whose answer said so.
	Request string `json:"request,omitempty"`
}

// ObserveDeparture records that an endpoint said that it leaves and reports whether that
// is new. from is the member that reported it, empty for this process.
func (f *Follower) ObserveDeparture(d Departure, from string) bool {
	if f.knowsDeparture(d.Endpoint) {
		return false
	}
	listedLeaving := false
	if e := f.View().Endpoint(d.Endpoint); e != nil {
		listedLeaving = e.Leaving
	}
	isNew := false
	f.update(func(now time.Time, s *State) { isNew = s.MarkLeaving(now, d.Endpoint) })
	if !isNew {
		return false
	}
	f.log.Warn().Str("event", logEndpointLeaving).Str("endpoint", d.Endpoint).Str("request", d.Request).
		Str("from", from).Bool("listed_leaving", listedLeaving).Msg("an endpoint says in its answers that it leaves")
	return true
}

// knowsDeparture reports whether the endpoint is known to have said that it leaves.
func (f *Follower) knowsDeparture(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.state.announcedLeaving[endpoint]
	return known
}

// Departures returns up to most of the endpoints that said that they leave.
func (f *Follower) Departures(most int) []Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	var departures []Departure
	for _, key := range f.state.AnnouncedLeaving(most) {
		departures = append(departures, Departure{Endpoint: key})
	}
	return departures
}
