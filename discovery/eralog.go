package discovery

import (
	"time"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// maxDroppedKeys bounds the keys that a Settlement names.
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

// Settlement says that this process lists what the store lists, since the writers have had
// their time to write again what a return had lost.
type Settlement struct {
	// Provenance says from whom the list is, and up to which position.
	Provenance
	// Corrected means that a judgement about the copy was wrong.
	Corrected bool
	// Dropped is the number of items that the copy lacked and that have not been written
	// again, Keys are some of them.
	Dropped int
	Keys    []string
}

// noteEra notes that the state enters the era of the position.
func (s *State) noteEra(at position.Position) {
	s.eraChange.From, s.eraChange.To, s.eraChange.Peer = s.at, at, s.source.Peer
	s.eraChanged = true
}

// noteDropped notes that an item that the copy lacks has not been written again.
func (s *State) noteDropped(key string) {
	s.dropped++
	if len(s.droppedKeys) < maxDroppedKeys {
		s.droppedKeys = append(s.droppedKeys, key)
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

// noteSettlement notes that the state lists what the store lists.
func (s *State) noteSettlement(now time.Time, corrected bool) {
	s.settlement = &Settlement{Corrected: corrected, Dropped: s.dropped, Keys: s.droppedKeys}
	s.settlement.Provenance = s.provenance(now, platform.Item{Era: s.at.Era, Revision: s.at.Revision})
	s.dropped, s.droppedKeys = 0, nil
}

// TakeSettlement returns the settlement since the last call, nil if there was none.
func (s *State) TakeSettlement() *Settlement {
	settlement := s.settlement
	s.settlement = nil
	return settlement
}

// logEraChange logs that the store has returned from a copy, and what of the copy this
// process does not take for news.
func (f *Follower) logEraChange(c EraChange) {
	f.storeReturns.Add(1)
	f.log.Warn().Str("event", logStoreRestored).Uint64("from_era", c.From.Era).Uint64("from", c.From.Revision).
		Uint64("era", c.To.Era).Uint64("at", c.To.Revision).Str("peer", c.Peer).
		Int("repeated", c.Repeated).Int("kept", c.Kept).Msg("the store has returned from a copy")
}

// logSettlement logs that what the store lists counts from now on, in place of what was
// judged about its copy.
func (f *Follower) logSettlement(c Settlement) {
	f.itemsDropped.Add(uint64(c.Dropped))
	event := f.log.Info()
	if c.Corrected {
		event = f.log.Warn()
	}
	c.log(event.Str("event", logStoreSettled)).Bool("corrected", c.Corrected).Int("dropped", c.Dropped).Strs("keys", c.Keys).
		Msg("what the store lists counts, in place of what was judged about its copy")
}

// StoreReturns returns how often the store has returned from a copy, and how many items were
// dropped since they were not written again.
func (f *Follower) StoreReturns() (returns, dropped uint64) {
	return f.storeReturns.Load(), f.itemsDropped.Load()
}
