package discovery

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// Way is how an item came to this process.
type Way string

// The ways of an item.
const (
	// WayWatch and WayList are answers of the store.
	WayWatch Way = "watch"
	WayList  Way = "list"
	// WayChanges is an answer of a peer with its changes, WayItems one with all its items.
	WayChanges Way = "changes"
	WayItems   Way = "items"
	// WayInformed is an answer of a peer that knows more of what was before a return of the
	// store.
	WayInformed Way = "informed"
	// WayCompared means that a peer lists the same.
	WayCompared Way = "compared"
	// WayExpiry means that no item came: one that the store's copy lacks was not written
	// again in time.
	WayExpiry Way = "expiry"
)

// Source says where an item came from.
type Source struct {
	// Peer is the name of the peer, empty for the store.
	Peer string
	Way  Way
}

// Provenance is the item by which a belief has changed, and where it came from.
type Provenance struct {
	Source
	// At is the position of the item, Start the first position of its era that was known.
	// An item up to there may be one of the copy from which the store returned.
	At, Start position.Position
	// EraAge is how long ago the fleet entered the era, as far as is known.
	EraAge time.Duration
	// Lost is as in platform.Item.
	Lost bool
}

// provenance returns the provenance of an item that has just been applied.
func (s *State) provenance(now time.Time, item platform.Item) Provenance {
	p := Provenance{Source: s.source, At: item.Position(), Start: s.start, Lost: item.Lost}
	if p.Way == "" {
		p.Way = WayWatch
	}
	if !s.eraSince.IsZero() {
		p.EraAge = now.Sub(s.eraSince)
	}
	return p
}

// log adds the provenance to a log line.
func (p Provenance) log(e *zerolog.Event) *zerolog.Event {
	return e.Str("peer", p.Peer).Str("way", string(p.Way)).Uint64("era", p.At.Era).Uint64("revision", p.At.Revision).
		Uint64("start_era", p.Start.Era).Uint64("start", p.Start.Revision).Dur("era_age", p.EraAge).Bool("lost", p.Lost)
}

// from notes the source of the items that are applied next, and returns a function that
// ends that.
func (s *State) from(source Source) (end func()) {
	before := s.source
	s.source = source
	return func() { s.source = before }
}

// maxEndpointChanges bounds the endpoints that are named when a view changes.
const maxEndpointChanges = 20

// EndpointChange says that an endpoint got into the view, or left it.
type EndpointChange struct {
	ID string
	// Listed means that it gets work.
	Listed bool
	Provenance
}

// noteEndpoint notes that an item put an endpoint into the view, or took it out of it.
func (s *State) noteEndpoint(now time.Time, id string, listed bool, item platform.Item) {
	if len(s.endpointChanges) < maxEndpointChanges {
		s.endpointChanges = append(s.endpointChanges, EndpointChange{ID: id, Listed: listed, Provenance: s.provenance(now, item)})
	}
}

// TakeEndpointChanges returns the endpoints that got into the view or left it since the
// last call, at most maxEndpointChanges.
func (s *State) TakeEndpointChanges() []EndpointChange {
	changes := s.endpointChanges
	s.endpointChanges = nil
	return changes
}
