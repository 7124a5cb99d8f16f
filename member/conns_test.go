package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// Guards against a connected VM that counts as not connected. An entry and a
// starting agent dial each other simultaneously, and the entry retires one of the
// two connections. The end of the first and the start of the second are handled in
// two goroutines, in either order. If the end were applied last, the endpoint would
// get no work although its agent is connected.
func TestEndOfOldLinkKeepsNewLink(t *testing.T) {
	s := New(Config{Self: wire.Process{Name: "entry-1", Role: wire.RoleEntry}, Holder: bundle.NewHolder(nil)})
	agent := wire.Process{Name: "catalogue-1", Incarnation: "a", Role: wire.RoleAgent}
	hello := wire.Hello{Process: agent, VM: "vm-catalogue-1"}
	connected := func() bool {
		view, _, _ := s.views.view(time.Now())
		m, _ := view.VM(hello.VM)
		_, known := s.gossip.peers[hello.VM]
		assert.Equal(t, m.Connected, known)
		return m.Connected
	}
	admit := func() *link { return s.links.admit(time.Now(), &peer.Conn{}, &hello).Link }

	first := admit()
	s.linkUp(first, &hello)
	assert.Assert(t, connected())
	assert.Equal(t, s.links.remove(first.conn), first)
	second := admit()
	s.linkUp(second, &hello)
	s.linkDown(first)
	assert.Assert(t, connected(), "the end of the first link was applied after the start of the second")

	assert.Equal(t, s.links.remove(second.conn), second)
	s.linkDown(second)
	assert.Assert(t, !connected())
	s.linkUp(second, &hello)
	assert.Assert(t, !connected(), "the start of a link was applied after its end")
}
