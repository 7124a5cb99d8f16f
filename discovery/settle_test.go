package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform"
)

// misjudged returns the state of a member that takes a new evacuation for one of the copy,
// since it has seen one with the same revision, and when it entered the era.
func misjudged(t *testing.T) (*State, time.Time) {
	t.Helper()
	s := NewState()
	s.ApplyList(epoch, nil, at(1, 20))
	s.applyAll(epoch, []platform.Item{evacuation(at(1, 25), false)}, at(1, 25))
	s.applyAll(epoch, []platform.Item{evacuation(at(1, 26), true)}, at(1, 26))
	now := epoch.Add(time.Second)
	s.ApplyList(now, []platform.Item{evacuation(at(2, 25), false)}, at(2, 27))
	assert.Assert(t, !s.evacuated())
	return s, now
}

// Guards against a wrong judgement about a copy that is never looked at again: a domain that
// is to get no work gets some until the operator writes once more.
func TestStoresListEndsAJudgement(t *testing.T) {
	s, entered := misjudged(t)
	early := entered.Add(settlePeriod - time.Second)
	assert.Assert(t, !s.SettleDue(early))
	list := []platform.Item{evacuation(at(2, 25), false)}
	s.ApplyStoreList(early, early, list, at(2, 27))
	assert.Assert(t, !s.Settled())
	late := entered.Add(settlePeriod)
	assert.Assert(t, s.SettleDue(late))
	s.ApplyStoreList(late, late, list, at(2, 27))
	assert.Assert(t, s.Settled())
	assert.Assert(t, s.evacuated())
	assert.Assert(t, s.TakeSettlement().Corrected)
}

// Guards against a list that was begun too early, or is of another era, and settles.
func TestOnlyALateListSettles(t *testing.T) {
	s, entered := misjudged(t)
	late := entered.Add(settlePeriod)
	s.ApplyStoreList(late, entered, nil, at(2, 28))
	assert.Assert(t, !s.Settled())
	s.ApplyStoreList(late, late, nil, at(3, 10))
	assert.Assert(t, !s.Settled())
}

// Guards against members that disagree for good, and against an answer with all items for
// each of them when they agree.
func TestPeersAreComparedByDigest(t *testing.T) {
	settled, entered := misjudged(t)
	now := entered.Add(settlePeriod)
	settled.ApplyStoreList(now, now, []platform.Item{evacuation(at(2, 25), false)}, at(2, 27))
	right, wrong := NewState(), NewState()
	right.ApplyList(entered, []platform.Item{evacuation(at(2, 25), false)}, at(2, 27))
	wrong.ApplyList(entered, nil, at(2, 27))
	assert.Equal(t, settled.Compare(right.At(), right.ComparisonDigest(now)), VerdictSame)
	assert.Equal(t, settled.Compare(wrong.At(), wrong.ComparisonDigest(now)), VerdictDifferent)
	assert.Equal(t, settled.Compare(at(2, 26), wrong.ComparisonDigest(now)), VerdictElsewhere)
	assert.Equal(t, right.Compare(wrong.At(), wrong.ComparisonDigest(now)), VerdictElsewhere)

	right.ApplyComparison(now, Comparison{Verdict: VerdictSame}, right.At(), right.Digest())
	assert.Assert(t, right.Settled())
	assert.Assert(t, !right.TakeSettlement().Corrected)

	all := settled.Changes(now, at(0, 0))
	all.Complete = true
	wrong.ApplyComparison(now, Comparison{Verdict: VerdictDifferent, Batch: all}, wrong.At(), wrong.Digest())
	assert.Assert(t, wrong.Settled())
	assert.Assert(t, wrong.evacuated())
	assert.Assert(t, wrong.TakeSettlement().Corrected)
}

// Guards against a process that compares for good while writes keep its position from that
// of its peers: it reads all items instead.
func TestComparisonEnds(t *testing.T) {
	s, entered := misjudged(t)
	assert.Assert(t, s.ComparisonDigest(entered.Add(settlePeriod+comparePeriod)) != 0)
	assert.Equal(t, s.ComparisonDigest(entered.Add(settlePeriod+comparePeriod+time.Second)), uint64(0))
}

// Guards against a settled member that takes over the judgement of one that is not.
func TestSettledMemberTakesNoJudgement(t *testing.T) {
	s, entered := misjudged(t)
	now := entered.Add(settlePeriod)
	s.ApplyStoreList(now, now, []platform.Item{evacuation(at(2, 25), false)}, at(2, 27))
	other, _ := misjudged(t)
	batch := other.Changes(now, at(0, 0))
	assert.Assert(t, batch.isJudgement(s.Knowledge()))
	assert.Assert(t, !batch.isJudgement(other.Knowledge()))
}

// Guards against an endpoint that has ended and gets work again from the copy of the next
// return: what the settled list lacks is gone, not lost.
func TestSettledLossIsAnEnd(t *testing.T) {
	s := NewState()
	s.ApplyList(epoch, []platform.Item{configAt(at(1, 2)), entryOf(at(1, 3), false)}, at(1, 4))
	s.ApplyList(epoch, []platform.Item{configAt(at(2, 2))}, at(2, 2))
	now := epoch.Add(settlePeriod)
	s.ApplyStoreList(now, now, []platform.Item{configAt(at(2, 2))}, at(2, 2))
	s.ApplyList(now, []platform.Item{configAt(at(3, 2)), entryOf(at(3, 3), false)}, at(3, 4))
	assert.Assert(t, !s.given(now))
}

// Guards against a fleet that drops all endpoints at once: the store fails right after its
// return, their leases run out, and the list that settles has none of them.
func TestSettlementKeepsTheGraceOfLapsedEntries(t *testing.T) {
	for failed, given := range map[bool]bool{true: true, false: false} {
		s := NewState()
		s.ApplyList(epoch, []platform.Item{configAt(at(1, 2)), entryOf(at(1, 3), false)}, at(1, 4))
		s.ApplyList(epoch, []platform.Item{configAt(at(2, 2)), entryOf(at(2, 3), false)}, at(2, 4))
		now := epoch.Add(settlePeriod)
		if failed {
			s.NoteTrouble(now.Add(-time.Second))
		}
		s.ApplyStoreList(now, now, []platform.Item{configAt(at(2, 2))}, at(2, 5))
		assert.Equal(t, s.given(now), given, "the store failed: %v", failed)
	}
}

// Guards against a process that reads all items since an entry is unusable, although its
// peer lists the same: the texts of the fault may differ.
func TestUnusableEntriesCompare(t *testing.T) {
	one := entryOf(at(2, 3), false).WithFault(platform.ErrMalformed.New("one"))
	other := entryOf(at(2, 3), false).WithFault(platform.ErrMalformed.New("other"))
	assert.Equal(t, hashContent(one), hashContent(other))
	assert.Assert(t, hashContent(one) != hashContent(entryOf(at(2, 3), false)))
}
