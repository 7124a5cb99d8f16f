package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/position"
)

// ended returns what is told of the process of endpoint "a" without a start time.
func ended(revision uint64) EndedProcess {
	return EndedProcess{Endpoint: "a", Entry: position.Position{Revision: revision}}
}

// doubted reports whether the version of endpoint "a" is in doubt.
func doubted(s *State, now time.Time) bool {
	if view := s.View(now); view != nil {
		return view.EndpointByID("a").VersionUnclear
	}
	_, known := s.ended["a"]
	return known
}

// Guards against a version that is believed of another process than the one that wrote the
// entry: the doubt ends once the entry has been written again, not with a late write of the
// process that has ended.
func TestEntryOfAnEndedProcessIsDoubted(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1))
	apply(t, s, epoch, bornItem("a", 2, 0, "ready"))
	assert.Assert(t, !doubted(s, epoch))
	assert.Assert(t, s.MarkEnded(epoch, ended(2)))
	assert.Assert(t, !s.MarkEnded(epoch, ended(2)), "known")
	assert.Assert(t, doubted(s, epoch))
	apply(t, s, epoch.Add(endedSettle/2), bornItem("a", 3, 0, "ready"))
	assert.Assert(t, doubted(s, epoch.Add(endedSettle/2)), "a late write of the ended process")
	apply(t, s, epoch.Add(time.Second), bornItem("a", 4, 0, "ready"))
	assert.Assert(t, !doubted(s, epoch.Add(time.Second)))
	assert.Assert(t, !s.MarkEnded(epoch.Add(time.Second), ended(2)), "word of the earlier process that comes late")
}

// Guards against an endpoint that is doubted for good: its entry stands, and whoever has the
// ID has had the time to write it again. While the store is away nobody has.
func TestDoubtEndsWhileTheStoreAnswers(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1))
	apply(t, s, epoch, bornItem("a", 2, 0, "ready"))
	s.MarkEnded(epoch, ended(2))
	s.NoteTrouble(epoch.Add(endedTTL))
	assert.Assert(t, doubted(s, epoch.Add(endedTTL+time.Second)), "the store was away")
	assert.Assert(t, !doubted(s, epoch.Add(2*endedTTL+time.Second)))
}

// Guards against the doubt about one process that is held against the next one, which says
// when it started.
func TestNextIncarnationIsNotDoubted(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1))
	apply(t, s, epoch, bornItem("a", 2, 1000, "ready"))
	key := s.View(epoch).EndpointByID("a").Key()
	s.MarkEnded(epoch, EndedProcess{Endpoint: key, Entry: position.Position{Revision: 2}})
	assert.Assert(t, s.View(epoch).EndpointByID("a").VersionUnclear)
	apply(t, s, epoch, bornItem("a", 3, 2000, "ready"))
	assert.Assert(t, !s.View(epoch).EndpointByID("a").VersionUnclear)
	s.Expire(epoch)
	assert.Equal(t, len(s.ended), 0)
}
