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

// Source says by whose word a belief has changed.
type Source struct {
	// Peer is the name of the peer, empty for the store.
	Peer string
	Way  Way
}

// Word is the item by which a belief has changed, and where it came from.
type Word struct {
	Source
	// At is the position of the item, Start the first position of its era that was known.
	// An item up to there may be one of the copy from which the store returned.
	At, Start position.Position
	// EraAge is how long ago the fleet entered the era, as far as is known.
	EraAge time.Duration
	// Lost is as in platform.Item.
	Lost bool
}

// word returns the word of an item that has just been applied.
func (s *State) word(now time.Time, item platform.Item) Word {
	w := Word{Source: s.source, At: item.Position(), Start: s.start, Lost: item.Lost}
	if w.Way == "" {
		w.Way = WayWatch
	}
	if !s.eraSince.IsZero() {
		w.EraAge = now.Sub(s.eraSince)
	}
	return w
}

// log adds the word to a log line.
func (w Word) log(e *zerolog.Event) *zerolog.Event {
	return e.Str("peer", w.Peer).Str("way", string(w.Way)).Uint64("era", w.At.Era).Uint64("revision", w.At.Revision).
		Uint64("start_era", w.Start.Era).Uint64("start", w.Start.Revision).Dur("era_age", w.EraAge).Bool("lost", w.Lost)
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
	Word
}

// noteEndpoint notes that an item put an endpoint into the view, or took it out of it.
func (s *State) noteEndpoint(now time.Time, id string, listed bool, item platform.Item) {
	if len(s.endpointChanges) < maxEndpointChanges {
		s.endpointChanges = append(s.endpointChanges, EndpointChange{ID: id, Listed: listed, Word: s.word(now, item)})
	}
}

// TakeEndpointChanges returns the endpoints that got into the view or left it since the
// last call, at most maxEndpointChanges.
func (s *State) TakeEndpointChanges() []EndpointChange {
	changes := s.endpointChanges
	s.endpointChanges = nil
	return changes
}
