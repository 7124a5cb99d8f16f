package discovery

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// settlePeriod is how long after the store's return from a copy its writers have written
// again what was lost, and the entries of endpoints that have ended have lapsed: three
// heartbeats of the endpoints and a margin.
const settlePeriod = 4 * time.Second

// Settled reports whether the state holds what the store has listed after settlePeriod.
// Before that, what it holds of the copy is a judgement: which of its items were written
// since, and which of those that it lacks are written again.
func (s *State) Settled() bool {
	return !s.at.IsZero() && (s.at.Era <= position.FirstEra || s.settledEra == s.at.Era)
}

// SettleDue reports whether all items are to be read again, since the writers have had their
// time.
func (s *State) SettleDue(now time.Time) bool {
	return !s.at.IsZero() && !s.Settled() && now.Sub(s.eraSince) >= settlePeriod
}

// ApplyStoreList applies a list of the store that is complete as of the position at, and
// whose reading began at a time.
func (s *State) ApplyStoreList(now, began time.Time, items []platform.Item, at position.Position) {
	if at.Era == s.at.Era && !s.at.After(at) && s.SettleDue(began) {
		s.settle(now, items, at)
		return
	}
	s.ApplyList(now, items, at)
}

// settle puts the items of the store in the place of all judgements about the copy. They are
// complete as of the position at, which is not before that of the state.
func (s *State) settle(now time.Time, items []platform.Item, at position.Position) {
	before, isStart := s.Digest(), s.at.IsZero()
	s.settling, s.settlingAt = true, at
	s.ApplyList(now, items, at)
	s.settling = false
	s.noteSettled(now, !isStart && s.Digest() != before)
}

// noteSettled notes that what the state holds is what the store lists.
func (s *State) noteSettled(now time.Time, corrected bool) {
	s.settledEra = s.at.Era
	for _, e := range s.entries {
		e.item = confirmed(e.item, e.isHeld())
	}
	for key, item := range s.evacuations.items {
		_, held := s.evacuations.heldUntil[key]
		s.evacuations.items[key] = confirmed(item, held)
	}
	s.noteSettlement(now, corrected)
}

// confirmed returns an item that is no longer a judgement; one that is held may still be
// written again.
func confirmed(item platform.Item, held bool) platform.Item {
	item.Copied = false
	item.Lost = item.Lost && held
	return item
}

// Digest returns a hash of the endpoints and evacuations that the state lists, whatever
// their positions. It is equal at processes that list the same, and not zero.
func (s *State) Digest() uint64 {
	digest := uint64(0)
	for _, e := range s.entries {
		digest += hashContent(e.item)
	}
	for _, item := range s.evacuations.items {
		digest += hashContent(item)
	}
	return max(digest, 1)
}

// hashContent returns a hash of what an item says; that of a key which is gone is zero.
func hashContent(item platform.Item) uint64 {
	if item.Gone {
		return 0
	}
	var h xxhash.Digest
	h.Reset()
	usable := byte(0)
	if item.Fault == "" {
		usable = 1
	}
	// Write of a Digest never fails.
	_, _ = h.WriteString(item.Key)
	_, _ = h.Write([]byte{0, usable})
	_, _ = h.Write(item.Value)
	return h.Sum64()
}

// comparePeriod is how long after settlePeriod a process compares digests, which need equal
// positions, before it reads all items.
const comparePeriod = 5 * time.Second

// ComparisonDigest returns the digest by which a process that is not settled asks one that is;
// zero if it has to read all items.
func (s *State) ComparisonDigest(now time.Time) uint64 {
	if now.Sub(s.eraSince) > settlePeriod+comparePeriod {
		return 0
	}
	return s.Digest()
}

// Verdict is what a settled process says of the digest of another one.
type Verdict string

// The verdicts.
const (
	// VerdictSame means that both list the same.
	VerdictSame Verdict = "same"
	// VerdictDifferent means that they do not, and all items are to be read.
	VerdictDifferent Verdict = "different"
	// VerdictElsewhere means that they are at different positions, so that nothing can be
	// said, or that the process that was asked is not settled.
	VerdictElsewhere Verdict = "elsewhere"
)

// Compare compares the digest of a process at a position with that of this one.
func (s *State) Compare(at position.Position, digest uint64) Verdict {
	switch {
	case !s.Settled() || digest != 0 && at != s.at:
		return VerdictElsewhere
	case digest != s.Digest():
		return VerdictDifferent
	}
	return VerdictSame
}

// ApplyComparison applies what a settled peer says to this process, which asked with its digest
// at a position.
func (s *State) ApplyComparison(now time.Time, c Comparison, at position.Position, digest uint64) {
	switch c.Verdict {
	case VerdictSame:
		s.agree(now, c.Peer, at, digest)
	case VerdictDifferent:
		if s.settledBy(c.Batch) {
			s.ApplyBatch(now, c.Batch)
		}
	}
}

// agree notes that a settled peer lists the same as this process, which had the digest at
// the position.
func (s *State) agree(now time.Time, peer string, at position.Position, digest uint64) {
	if at != s.at || digest != s.Digest() || s.Settled() {
		return
	}
	defer s.from(Source{Peer: peer, Way: WayCompared})()
	s.noteSettled(now, false)
}

// supersedes reports whether an item takes the place of the known one under its key.
func (s *State) supersedes(known, item platform.Item) bool {
	switch {
	case !s.settling:
		return s.isNews(known, item)
	case item.Gone && item.Position() != s.settlingAt:
		// What is known and not listed is removed by ApplyList, as of settlingAt.
		return known.Position().IsZero()
	}
	return !known.Position().After(s.settlingAt)
}

// endsHold reports whether a list as of the position at ends that an item counts which was
// lost before.
func (s *State) endsHold(held bool, item platform.Item, at position.Position) bool {
	return held && (s.settling || at.Era > item.Era)
}

// beginEra notes that this process enters the era of the position.
func (s *State) beginEra(now time.Time, at position.Position) {
	s.eraSince, s.enteredAt = time.Time{}, now
	if at.Era > position.FirstEra {
		s.eraSince = now
	}
}

// noteEraAge notes when a peer, or one that has told it, entered the era of the state.
func (s *State) noteEraAge(now time.Time, b Batch) {
	if since := now.Add(-b.EraAge); b.At.Era == s.at.Era && since.Before(s.eraSince) {
		s.eraSince = since
	}
}

// settledBy reports whether a batch has all items of a peer that is settled in an era in
// which this process is not.
func (s *State) settledBy(b Batch) bool {
	isComplete := b.Complete || s.at.IsZero()
	return isComplete && !s.at.After(b.At) && b.settlesMore(s.Knowledge())
}

// settlesMore reports whether the peer of a batch is settled in an era in which a process is
// not.
func (b Batch) settlesMore(known position.Knowledge) bool {
	return b.Settled && b.At.Era > position.FirstEra && (!known.Settled || known.At.Era < b.At.Era)
}

// lacks reports whether the changes are not all that has to be told to a process: the peer
// entered the era without knowing all that the process knew before, or the process is before
// a list from which the peer knows the items. It then needs all items of the peer.
func (b Batch) lacks(known position.Knowledge) bool {
	at := known.At
	if at.IsZero() {
		return false
	}
	beforeList := func(list position.Position) bool { return list.Era == at.Era && list.After(at) }
	return b.At.Era > at.Era && at.After(b.Before) || slices.ContainsFunc(b.Lists, beforeList)
}

// isJudgement reports whether what the peer holds of the copy is a judgement, of no use to a
// process that is settled in the same era.
func (b Batch) isJudgement(known position.Knowledge) bool {
	return !b.Settled && known.Settled && known.At.Era == b.At.Era
}
