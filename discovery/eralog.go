package discovery

import (
	"time"

	"github.com/mangostage/mangostage/position"
)

// dropMargin is how long after restoreGrace the items that the copy lacks have been dropped.
const dropMargin = 500 * time.Millisecond

// maxDroppedKeys bounds the keys that an EraEnd names.
const maxDroppedKeys = 20

// EraChange says that the store has returned from a copy and begun a new era.
type EraChange struct {
	// From is the position in the earlier era, To the one in the new era.
	From, To position.Position
	// Peer is the name of the peer that told of it, empty for the store.
	Peer string
	// Repeated is the number of items that the copy repeats although they are outdated,
	// Kept that of the items that it lacks and that are kept until they are written again.
	Repeated, Kept int
}

// EraEnd says that the time is over in which items that the copy lacks are kept.
type EraEnd struct {
	Era uint64
	// Dropped is the number of items that have not been written again, Keys are some of
	// them.
	Dropped int
	Keys    []string
}

// noteEra notes that the state enters the era of the position.
func (s *State) noteEra(now time.Time, at position.Position) {
	s.eraChange.From, s.eraChange.To, s.eraChange.Peer = s.at, at, s.source.Peer
	s.eraChanged = true
	s.eraEntered = now
	s.eraEnd.Era = at.Era
}

// noteDropped notes that an item that the copy lacks has not been written again.
func (s *State) noteDropped(key string) {
	s.eraEnd.Dropped++
	if len(s.eraEnd.Keys) < maxDroppedKeys {
		s.eraEnd.Keys = append(s.eraEnd.Keys, key)
	}
}

// TakeEraChange returns the change of the era since the last call, and whether there was
// one.
func (s *State) TakeEraChange() (EraChange, bool) {
	change, changed := s.eraChange, s.eraChanged
	if changed {
		s.eraChange, s.eraChanged = EraChange{}, false
	}
	return change, changed
}

// TakeEraEnd returns what has become of the items that the copy lacks, once that is known,
// and whether it is.
func (s *State) TakeEraEnd(now time.Time) (EraEnd, bool) {
	if s.eraEntered.IsZero() || now.Sub(s.eraEntered) < restoreGrace+dropMargin {
		return EraEnd{}, false
	}
	end := s.eraEnd
	s.eraEnd, s.eraEntered = EraEnd{}, time.Time{}
	return end, true
}

// logEraChange logs that the store has returned from a copy, and what of the copy this
// process does not take for news.
func (f *Follower) logEraChange(c EraChange) {
	f.storeReturns.Add(1)
	f.log.Warn().Str("event", logStoreRestored).Uint64("from_era", c.From.Era).Uint64("from", c.From.Revision).
		Uint64("era", c.To.Era).Uint64("at", c.To.Revision).Str("peer", c.Peer).
		Int("repeated", c.Repeated).Int("kept", c.Kept).Msg("the store has returned from a copy")
}

// logEraEnd logs which items have not been written again after the store's return.
func (f *Follower) logEraEnd(e EraEnd) {
	f.itemsDropped.Add(uint64(e.Dropped))
	f.log.Info().Str("event", logStoreSettled).Uint64("era", e.Era).Int("dropped", e.Dropped).Strs("keys", e.Keys).
		Msg("what the store's copy lacks has been written again or dropped")
}

// StoreReturns returns how often the store has returned from a copy, and how many items were
// dropped since they were not written again.
func (f *Follower) StoreReturns() (returns, dropped uint64) {
	return f.storeReturns.Load(), f.itemsDropped.Load()
}
