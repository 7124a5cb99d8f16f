package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// Guards against new work for an endpoint that said that it leaves, by a list that still
// has it as ready, an older list of a peer, or a heartbeat; its successor gets work.
func TestAnnouncedLeavingHoldsForOneProcess(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1))
	apply(t, s, epoch, bornItem("a", 2, 1000, "ready"))
	first := s.View(epoch).EndpointByID("a")
	assert.Assert(t, first.TakesWork())
	assert.Assert(t, s.MarkLeaving(epoch, first.Key()))
	assert.Assert(t, !s.MarkLeaving(epoch, first.Key()), "the second answer says nothing new")
	assert.Assert(t, !s.View(epoch).EndpointByID("a").TakesWork())
	s.ApplyList(epoch.Add(time.Second), []platform.Item{bornItem("a", 3, 1000, "ready")}, position.Position{Revision: 3})
	assert.Assert(t, !s.View(epoch.Add(time.Second)).EndpointByID("a").TakesWork())
	apply(t, s, epoch.Add(2*time.Second), bornItem("a", 4, 2000, "ready"))
	assert.Assert(t, s.View(epoch.Add(2*time.Second)).EndpointByID("a").TakesWork(), "another process")
}

// Guards against an endpoint that does not report its start and is shut out for good: once
// it has been removed, it is another process that is listed under its ID.
func TestAnnouncedLeavingEndsWithTheEntry(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1))
	apply(t, s, epoch, bornItem("a", 2, 0, "ready"))
	s.MarkLeaving(epoch, "a")
	apply(t, s, epoch, bornItem("a", 3, 0, "ready"))
	assert.Assert(t, !s.View(epoch).EndpointByID("a").TakesWork())
	s.Apply(epoch, platform.Item{Key: platform.PrefixEndpoints + "a", Revision: 4, Gone: true})
	apply(t, s, epoch, bornItem("a", 5, 0, "ready"))
	assert.Assert(t, s.View(epoch).EndpointByID("a").TakesWork())
}

// Guards against a table of departures that grows for as long as the process runs.
func TestDeparturesAreForgotten(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1))
	s.MarkLeaving(epoch, "gone@1")
	s.View(epoch)
	apply(t, s, epoch, bornItem("a", 2, 1000, "ready"))
	s.View(epoch.Add(leavingTTL + time.Second))
	assert.Equal(t, len(s.AnnouncedLeaving(10)), 0)
}
