package discovery

import (
	"slices"
	"time"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// restoreGrace is how long an item that the store lacks since it returned from a copy still
// counts: its writer writes it again within that time if it is alive.
const restoreGrace = 2 * time.Second

// maxCopyAge is more than the age of a copy from which the store returns, some seconds.
const maxCopyAge = 30 * time.Second

// Batch holds changes that a peer has passed on.
type Batch struct {
	Items []platform.Item
	// At is the position up to which the changes are complete.
	At position.Position
	// Start is the first position of the era at which the store is known to have been read.
	Start position.Position
	// Before is the Knowledge.Before of the peer.
	Before position.Position
	// Lists are the positions of the latest lists from which the peer knows the items. To one
	// that is within the same era before a list, it cannot tell all that was removed.
	Lists []position.Position
	// Entered and Memory are those of the peer's Knowledge, Seen how long it has now seen all writes
	// without a gap.
	Entered      position.Position
	Memory, Seen time.Duration
	// Peer is the name of the peer.
	Peer string
	// AsOf is a time of this process's clock as of which the changes are complete; zero if
	// none is known.
	AsOf time.Time
	// Complete means that the changes are all items that the peer knows.
	Complete bool
	// Settled is that of the peer's Knowledge, EraAge how long ago the fleet entered the era
	// of At, as far as the peer knows.
	Settled bool
	EraAge  time.Duration
	// Writes are hashes of the latest writes that the peer has seen. A process that did not
	// see them could not tell what a later copy repeats.
	Writes []uint64
}

// Changes returns what a peer that is complete up to the position has to be told. A peer
// from another era may lack writes of any time.
func (s *State) Changes(now time.Time, after position.Position) Batch {
	b := Batch{Items: s.Since(after), At: s.at, Start: s.start, Before: s.before, Lists: slices.Clone(s.lists), Entered: s.entered, Memory: s.memory, Seen: now.Sub(s.seenSince), Settled: s.Settled()}
	if !s.eraSince.IsZero() {
		b.EraAge = now.Sub(s.eraSince)
	}
	since := after
	if after.Era < s.at.Era {
		since = position.Position{}
	}
	b.Writes = s.seen.after(since, b.Items, maxToldWrites)
	return b
}

// knowledge returns what the peer knew of the store when it answered.
func (b Batch) knowledge() position.Knowledge {
	return position.Knowledge{At: b.At, Before: b.Before, Entered: b.Entered, Memory: b.Memory, Settled: b.Settled}
}

// maxLists bounds the lists that are remembered: those of a few eras.
const maxLists = 8

// noteLists remembers the positions of lists.
func (s *State) noteLists(lists ...position.Position) {
	s.lists = append(s.lists, lists...)
	slices.SortFunc(s.lists, position.Position.Compare)
	s.lists = slices.Compact(s.lists)
	s.lists = s.lists[max(0, len(s.lists)-maxLists):]
}

// noteWrites remembers the writes that a peer has seen. It is called once the peer's items
// have been applied.
func (s *State) noteWrites(b Batch) {
	for _, hash := range b.Writes {
		s.seen.addHash(hash, b.At)
	}
}

// Knowledge returns what is known of the store.
func (s *State) Knowledge() position.Knowledge {
	return position.Knowledge{At: s.at, Before: s.before, Entered: s.entered, Memory: s.memory, Settled: s.Settled()}
}

// Start returns the first position of the latest era at which the store is known to have
// been read. Items up to it may be those of the copy from which the store returned.
func (s *State) Start() position.Position { return s.start }

// noteStart notes that the store was read at a position.
func (s *State) noteStart(at position.Position) {
	if at.Era > s.start.Era || at.Era == s.start.Era && at.Revision < s.start.Revision {
		s.start = at
	}
}

// isNews reports whether an item says more than the known one under its key, which is the
// zero Item if there is none.
//
// After a return of the store, an item of the copy has the position of the new era, but it
// is older than what is known. It is told from an item that was written since by its
// revision, which is then after the first one that was read in the era, or because it was
// seen before as it is.
func (s *State) isNews(known, item platform.Item) bool {
	switch {
	case item.Lost && known.Gone && !known.Lost:
		return false
	case statesImplied(known, item):
		return true
	case item.Era == known.Era:
		return item.Revision > known.Revision
	case item.Era < known.Era:
		return s.adopting && known.Era == s.at.Era && s.mayBeCopied(known)
	case known.Position().IsZero() || known.Lost || item.Lost:
		return true
	case s.includes(item):
		return s.adopting
	case item.Copied && s.seen.has(item):
		s.noteRepeated(known, item)
		return false
	}
	return true
}

// statesImplied reports whether an item is the written removal of what a list only implied to
// be gone: it says more.
func statesImplied(known, item platform.Item) bool {
	return item.Gone && !item.Lost && known.Gone && known.Lost && item.Era == known.Era
}

// contradictsEnd reports whether an item of the copy says that something is there of which
// this process was told that it is gone. Only what was certainly written since takes that
// back: a write that this process would have seen if it were an earlier one.
func (s *State) contradictsEnd(now time.Time, known, item platform.Item) bool {
	if s.settling || !known.Gone || known.Lost || item.Era == known.Era || !item.Copied {
		return false
	}
	return s.adopting || s.mayHaveMissed(now, item)
}

// mayHaveMissed reports whether this process may not have seen a write, although a copy can
// be old enough to have it.
func (s *State) mayHaveMissed(now time.Time, item platform.Item) bool {
	switch {
	case now.Sub(s.seenSince) > maxCopyAge:
		return false
	case s.at.Era > position.FirstEra:
		return true
	}
	return item.Revision <= s.observedFrom
}

// observed reports whether the items are all writes that lead to the position.
func (s *State) observed(items []platform.Item, at position.Position) bool {
	revisions := make(map[uint64]bool)
	for _, item := range items {
		if item.Position().After(s.at) && !item.Position().After(at) {
			revisions[item.Revision] = true
		}
	}
	return at.Era == s.at.Era && uint64(len(revisions)) == at.Revision-s.at.Revision
}

// noteObserved notes whether all writes up to the position have been seen.
func (s *State) noteObserved(all bool, at position.Position) {
	if !all {
		s.observedFrom = at.Revision
	}
}

// includes reports whether the item is of the era in which the state is complete beyond it,
// so that it has been judged before.
func (s *State) includes(item platform.Item) bool {
	return item.Era == s.at.Era && item.Revision <= s.at.Revision
}

// mayBeCopied reports whether an item may be one that the store had before it returned from
// a copy.
func (s *State) mayBeCopied(item platform.Item) bool {
	switch {
	case s.settling || item.Era <= position.FirstEra:
		return false
	case item.Era == s.start.Era && item.Era != s.settledEra:
		return item.Revision <= s.start.Revision
	}
	return item.Copied
}

// noteRepeated counts an item of a copy that is older than the known one.
func (s *State) noteRepeated(known, item platform.Item) {
	if item.Revision != known.Revision {
		s.eraChange.Repeated++
	}
}

// ApplyBatch applies changes from a peer.
func (s *State) ApplyBatch(now time.Time, b Batch) {
	way := WayChanges
	if b.Complete {
		way = WayItems
	}
	defer s.from(Source{Peer: b.Peer, Way: way})()
	from := s.at
	s.noteStart(b.Start)
	if b.At.After(s.at) {
		defer s.noteObserved(s.observed(b.Items, b.At), b.At)
	}
	switch {
	case s.settledBy(b):
		s.settle(now, b.Items, b.At)
	case b.Complete:
		s.ApplyList(now, b.Items, b.At)
	default:
		s.applyAll(now, b.Items, b.At)
	}
	if from.IsZero() || b.Complete {
		s.noteLists(b.Lists...)
	}
	s.noteWrites(b)
	s.noteEraAge(now, b)
	includesEarlier := b.Complete || from.IsZero() || from.Era < b.At.Era
	if includesEarlier && s.at.Era == b.At.Era {
		s.inherit(now, b)
	}
}

// Adopt applies all changes since Before of a peer that knows more of what was before the
// era. Where this process took an item of the copy for a new one, the peer's earlier item
// takes its place. It does not make the state complete up to the peer's position: that peer
// may itself have missed what was removed meanwhile.
func (s *State) Adopt(now time.Time, b Batch) {
	if b.At.Era != s.at.Era || s.start.After(b.At) {
		return
	}
	defer s.from(Source{Peer: b.Peer, Way: WayInformed})()
	s.adopting = true
	for _, item := range b.Items {
		s.Apply(now, item)
	}
	s.adopting = false
	s.noteWrites(b)
	s.noteEraAge(now, b)
	s.inherit(now, b)
}

// inherit notes that this process knows what the peer of a batch knows of the time before
// the era.
func (s *State) inherit(now time.Time, b Batch) {
	s.before = position.Latest(s.before, b.Before)
	s.memory, s.entered = max(s.memory, b.Memory), position.Latest(s.entered, b.Entered)
	s.seenSince = now.Add(-b.Seen)
}

// applyAll applies the items of an answer that is complete up to the position at.
func (s *State) applyAll(now time.Time, items []platform.Item, at position.Position) {
	for _, item := range items {
		s.Apply(now, item)
	}
	s.Advance(now, at)
}

// Advance notes that all changes up to the position have been applied.
func (s *State) Advance(now time.Time, at position.Position) {
	if !at.After(s.at) {
		return
	}
	switch {
	case s.at.IsZero():
		s.knownSince, s.seenSince = now, now
		s.beginEra(now, at)
	case at.Era > s.at.Era:
		s.enterEra(now, at)
	}
	s.at = at
}

// RemembersCopy reports whether the state was kept for longer than the copy from which the
// store returns is old. If not, it may lack writes that the copy repeats.
func (s *State) RemembersCopy(now time.Time) bool {
	return !s.at.IsZero() && now.Sub(s.knownSince) > maxCopyAge
}

// enterEra notes that the store has returned from a copy. Leases may have run out while it
// was away.
func (s *State) enterEra(now time.Time, at position.Position) {
	s.noteStart(at)
	s.before, s.entered, s.memory = position.Position{}, s.at, now.Sub(s.seenSince)
	if s.RemembersCopy(now) {
		s.before = s.at
	}
	s.lastTrouble = now
	s.beginEra(now, at)
	s.noteEra(at)
}

// removal returns the item that says that a key is missing from a list of all items.
func (s *State) removal(key string, at position.Position) platform.Item {
	item := platform.Item{Key: key, Era: at.Era, Revision: at.Revision, Gone: true}
	if at.Era > s.at.Era && !s.at.IsZero() && !s.settling {
		item.Lost, item.Held = true, true
		s.eraChange.Kept++
	}
	return item
}
