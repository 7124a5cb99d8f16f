package discovery

import (
	"testing"
	"time"

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

// entryOf returns the entry of endpoint e1 in state ready, or its removal.
func entryOf(p position.Position, gone bool) platform.Item {
	item := platform.Item{Key: platform.PrefixEndpoints + "e1", Era: p.Era, Revision: p.Revision, Gone: gone}
	if !gone {
		item.Value = (&modelEndpoint{domain: "z1", state: "ready"}).value()
	}
	return item
}

// configAt returns a configuration that names the service of the endpoints.
func configAt(p position.Position) platform.Item {
	return platform.Item{Key: platform.KeyConfig, Era: p.Era, Revision: p.Revision, Value: []byte(`{"version":1,"routes":[],"services":[{"name":"s"}]}`)}
}

// evacuated reports whether domain z0 is evacuated.
func (s *State) evacuated() bool { return s.evacuations.evacuated(platform.PrefixEvacuations + "z0") }

// given reports whether endpoint e1 gets work.
func (s *State) given(now time.Time) bool {
	s.View(now)
	return s.entries["e1"].takesWork()
}

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

// Guards against a domain that is evacuated again, and an endpoint that gets work again, at a
// member that was told of the end, by the word of a better informed peer that was not and
// has both from the copy.
func TestToldEndOutlivesAPeersCopy(t *testing.T) {
	peer, member := NewState(), NewState()
	items := []platform.Item{configAt(at(1, 9)), evacuation(at(1, 10), false), entryOf(at(1, 11), false)}
	for _, s := range []*State{peer, member} {
		s.ApplyList(epoch, items, at(1, 20))
	}
	member.applyAll(epoch, []platform.Item{evacuation(at(1, 21), true), entryOf(at(1, 22), true)}, at(1, 22))
	later := epoch.Add(time.Minute)
	copied := []platform.Item{configAt(at(2, 9)), evacuation(at(2, 14), false), entryOf(at(2, 15), false)}
	peer.ApplyList(later, copied, at(2, 20))
	member.ApplyList(later, nil, at(2, 20))
	batch := peer.Changes(later, position.Position{})
	batch.Before, batch.Memory = at(1, 30), time.Hour
	member.Adopt(later, batch)
	assert.Assert(t, !member.evacuated())
	assert.Assert(t, !member.given(later))
}

// Guards against a domain that is evacuated again at a member that started in a later era
// than that of the copy: an evacuation that it has never seen is not a new one.
func TestToldEndOutlivesAnUnseenCopy(t *testing.T) {
	s := NewState()
	s.ApplyList(epoch, []platform.Item{evacuation(at(9, 16), false)}, at(9, 36))
	s.applyAll(epoch, []platform.Item{evacuation(at(9, 38), true)}, at(9, 38))
	s.ApplyList(epoch, []platform.Item{evacuation(at(10, 38), false)}, at(10, 46))
	assert.Assert(t, !s.evacuated())
}

// Guards against the opposite: a member that has seen all writes since the first era knows
// that an evacuation it has not seen is a new one.
func TestUnseenEvacuationIsNew(t *testing.T) {
	s := NewState()
	s.ApplyList(epoch, []platform.Item{evacuation(at(1, 16), false)}, at(1, 20))
	s.applyAll(epoch, []platform.Item{evacuation(at(1, 21), true)}, at(1, 21))
	s.ApplyList(epoch, []platform.Item{evacuation(at(2, 22), false)}, at(2, 23))
	assert.Assert(t, s.evacuated())
}

// Guards against requests to an endpoint that has ended, after its entry in the copy has
// lapsed: one that lives would have written it again by then.
func TestUnwrittenEntryDoesNotLapse(t *testing.T) {
	for since, given := range map[time.Duration]bool{time.Second: true, restoreGrace + time.Second: false} {
		s := NewState()
		list := []platform.Item{configAt(at(1, 2)), entryOf(at(1, 3), false)}
		s.ApplyList(epoch, list, at(1, 4))
		s.ApplyList(epoch, []platform.Item{configAt(at(2, 2)), entryOf(at(2, 3), false)}, at(2, 4))
		now := epoch.Add(since)
		s.applyAll(now, []platform.Item{entryOf(at(2, 5), true)}, at(2, 5))
		assert.Equal(t, s.given(now), given, "%v after the return", since)
	}
}
