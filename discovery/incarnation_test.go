package discovery

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// bornItem returns an endpoint's entry with the start of its process; 0 leaves it out.
func bornItem(id string, revision uint64, born int, state string) platform.Item {
	text := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":%q`, state)
	if born != 0 {
		text += fmt.Sprintf(`,"born":%d`, born)
	}
	return platform.Item{Key: platform.PrefixEndpoints + id, Revision: revision, Value: []byte(text + "}")}
}

// Guards against requests to an endpoint as if it still had the state of its previous
// process, or no requests to a healthy one: it has restarted under its ID, and a late write
// of the old process, or an older list of a peer, counted as the newest entry.
func TestOlderIncarnationDoesNotComeBack(t *testing.T) {
	cases := map[string]struct {
		items   []platform.Item
		want    catalog.Incarnation
		leaving bool
	}{
		"newer one":                   {[]platform.Item{bornItem("a", 2, 10, "draining"), bornItem("a", 3, 20, "ready")}, 20, false},
		"late write of the old one":   {[]platform.Item{bornItem("a", 2, 20, "ready"), bornItem("a", 3, 10, "draining")}, 20, false},
		"older list of a peer":        {[]platform.Item{bornItem("a", 3, 20, "ready"), bornItem("a", 2, 10, "ready")}, 20, false},
		"newer one that leaves":       {[]platform.Item{bornItem("a", 2, 20, "ready"), bornItem("a", 3, 10, "ready"), bornItem("a", 4, 20, "draining")}, 20, true},
		"start left out later":        {[]platform.Item{bornItem("a", 2, 20, "ready"), bornItem("a", 3, 0, "draining")}, 20, true},
		"start left out at first":     {[]platform.Item{bornItem("a", 2, 0, "ready"), bornItem("a", 3, 20, "ready")}, 20, false},
		"never stated":                {[]platform.Item{bornItem("a", 2, 0, "ready"), bornItem("a", 3, 0, "draining")}, 0, true},
		"clock back after a removal":  {[]platform.Item{bornItem("a", 2, 20, "ready"), removed("a", 3), bornItem("a", 4, 10, "ready")}, 10, false},
		"back within its lease, late": {[]platform.Item{bornItem("a", 4, 20, "ready"), removed("a", 3), bornItem("a", 2, 10, "ready")}, 20, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			apply(t, s, epoch, config(1, 1))
			apply(t, s, epoch, c.items...)
			e := s.View(epoch).Endpoint((&catalog.Endpoint{ID: "a", Incarnation: c.want}).Key())
			assert.Assert(t, e != nil)
			assert.Equal(t, e.Incarnation, c.want)
			assert.Equal(t, e.Leaving, c.leaving)
		})
	}
}

// As above, where the late write is in a complete list: the endpoint is listed, so it must
// not count as removed either.
func TestOlderIncarnationInList(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), bornItem("a", 2, 20, "ready"))
	s.ApplyList(epoch, []platform.Item{bornItem("a", 3, 10, "draining")}, position.Position{Revision: 5})
	assert.Equal(t, len(s.TakeFaults()), 0)
	e := s.View(epoch).Endpoint("a@20")
	assert.Assert(t, e != nil && e.Incarnation == 20 && !e.Leaving)
}

// Processes keep state per process of an endpoint. After a restart the view must contain the
// new process instead of the old one, so that the old one is recognised as gone.
func TestViewIdentifiesProcesses(t *testing.T) {
	s := NewState()
	apply(t, s, epoch, config(1, 1), bornItem("a", 2, 10, "ready"), listed("b", 3))
	view := s.View(epoch)
	assert.Assert(t, view.Endpoint("a@10") != nil)
	assert.Assert(t, view.Endpoint("b") != nil)
	apply(t, s, epoch, bornItem("a", 4, 20, "ready"))
	view = s.View(epoch)
	assert.Assert(t, view.Endpoint("a@10") == nil)
	assert.Equal(t, view.Endpoint("a@20").ID, "a")
}
