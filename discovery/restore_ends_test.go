package discovery

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// at returns a position.
func at(era, revision uint64) position.Position {
	return position.Position{Era: era, Revision: revision}
}

// evacuation returns the item of the evacuation of domain z0, or its end.
func evacuation(p position.Position, gone bool) platform.Item {
	return platform.Item{Key: platform.PrefixEvacuations + "z0", Era: p.Era, Revision: p.Revision, Gone: gone}
}

// evacuated reports whether domain z0 is evacuated.
func (s *State) evacuated() bool { return s.evacuations.evacuated(platform.PrefixEvacuations + "z0") }

// Guards against an evacuation that stays for good at a member that reads all items of a
// peer, which took the evacuation for lost before it was written again and ended.
func TestLostItemOfAPeerIsNotListed(t *testing.T) {
	peer, member := NewState(), NewState()
	for _, s := range []*State{peer, member} {
		s.ApplyList(epoch, []platform.Item{evacuation(at(1, 40), false)}, at(1, 50))
		s.ApplyList(epoch, nil, at(2, 30))
	}
	member.applyAll(epoch, []platform.Item{evacuation(at(2, 33), false)}, at(2, 33))
	// It was ended at 34, which the peer has not seen.
	peer.ApplyList(epoch, nil, at(2, 35))
	batch := peer.Changes(epoch, position.Position{})
	batch.Complete = true
	member.ApplyBatch(epoch, batch)
	assert.Assert(t, !member.evacuated())
}

// Guards against a removal that passes a member by for good, since it takes over the
// position of a better informed peer that has missed the same removal.
func TestAdoptedItemsAreNotComplete(t *testing.T) {
	member := NewState()
	member.ApplyList(epoch, nil, at(2, 30))
	member.applyAll(epoch, []platform.Item{evacuation(at(2, 34), false)}, at(2, 34))
	// The evacuation ended at 35. The peer was cut off and has listed the store since.
	member.Adopt(epoch, Batch{At: at(2, 36), Start: at(2, 30), Before: at(1, 20), Lists: []position.Position{at(2, 36)}})
	assert.Equal(t, member.At(), at(2, 34))
}
