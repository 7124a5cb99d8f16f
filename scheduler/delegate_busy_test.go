package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// newTestNode returns a node that serves mux.
func newTestNode(t *testing.T, name string, mux *peer.Mux) *peer.Node {
	t.Helper()
	node := peer.NewNode(peer.Config{Hello: func() wire.Hello {
		return wire.Hello{Process: wire.Process{Name: name, Incarnation: "1"}}
	}}, mux)
	t.Cleanup(node.Close)
	return node
}

// Guards against a member that ends, in a planned stop, with the ends of calls that it has not sent:
// their pieces are made a second time.
func TestMemberIsBusyUntilItsReportIsSent(t *testing.T) {
	mux, reported := peer.NewMux(), make(chan report, 1)
	peer.HandleCompact(mux, MethodReport, func(_ *peer.Conn, r report) { reported <- r })
	addr, err := newTestNode(t, "owner", mux).Listen("127.0.0.1:0")
	assert.NilError(t, err)
	owner, err := newTestNode(t, "member", peer.NewMux()).Dial(t.Context(), addr.String())
	assert.NilError(t, err)
	d := &delegate{owners: make(map[*peer.Conn]*ownerLink)}
	link := d.begin(owner, 2)
	const delay = 50 * time.Millisecond
	d.end(owner, link, delay, func(r *report) { r.Calls = append(r.Calls, callReport{Call: 1}) })
	d.end(owner, link, delay, func(r *report) { r.Frees = append(r.Frees, freeReport{ID: 2, OK: true}) })
	assert.Assert(t, d.busy())
	r := <-reported
	assert.Equal(t, len(r.Calls), 1)
	assert.Equal(t, len(r.Frees), 1)
	testwait.For(t, time.Second, func() bool { return !d.busy() })
}
