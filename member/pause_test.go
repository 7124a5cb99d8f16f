package member

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/peer"
)

// unserved is a method that no member has: its call is answered with an error,
// which proves that it was written.
const unservedMethod = "test.unserved"

// An entry is stopped for seconds with callers' requests in its socket buffers.
// When it wakes it hands them to agents before its next tick, or while it is
// about to drop its connections. The calls go with the connections: users read
// that their requests may have run, though a moment later they would have gone
// out on fresh connections. The cause: the pause counted as dealt with from the
// tick that noticed it, and the calls did not ask.
func TestWokenProcessWritesNoCallOnOldConnections(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 1)
	f.awaitReady()
	entry, endpoint := f.members[0], "endpoint-"+f.members[1].cfg.VM
	old, ok := entry.Agent(endpoint)
	assert.Assert(t, ok)
	assert.Assert(t, errorx.IsOfType(call(t, old), peer.ErrRemote), "before the pause")

	// Whoever deals with the pause needs this lock, and waits here.
	entry.coreMu.Lock()
	entry.clockOffset.Store(int64(5 * time.Second))
	early := call(t, old)
	await(t, 5*time.Second, "pause noticed", func() bool { return entry.Stats().Wakes == 1 })
	amid, stalled, ready := call(t, old), entry.Stalled(), entry.Ready()
	entry.coreMu.Unlock()
	assert.Check(t, errorx.IsOfType(early, peer.ErrNotWritten), "before the first tick: %v", early)
	assert.Check(t, errorx.IsOfType(amid, peer.ErrNotWritten), "before the connections were dropped: %v", amid)
	assert.Check(t, stalled)
	assert.Check(t, !ready)

	<-old.Done()
	f.awaitReady()
	fresh, ok := entry.Agent(endpoint)
	assert.Assert(t, ok && fresh != old)
	assert.Assert(t, errorx.IsOfType(call(t, fresh), peer.ErrRemote), "after it")
}

func call(t *testing.T, conn *peer.Conn) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return conn.Call(ctx, unservedMethod, struct{}{}, nil)
}

// An entry wakes from a pause in which an endpoint's VM was listed as leaving. It
// has read the list anew and counts as ready, but the view that requests are
// routed by is still the one from before the pause: a call goes to a VM that is
// about to be ended.
func TestWokenProcessIsReadyOnceItsViewIsNew(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 2)
	f.awaitReady()
	entry, leaving := f.members[0], f.members[1]
	await(t, 5*time.Second, "all VMs listed", func() bool { return len(entry.targets()) == 2 })

	// Whoever publishes a view needs this lock, and waits here.
	entry.publishMu.Lock()
	f.store.edit(func(vms []confsvc.VM) []confsvc.VM {
		vms[1].State = confsvc.VMLeaving
		return vms
	})
	entry.clockOffset.Store(int64(5 * time.Second))
	await(t, 5*time.Second, "list read and peers connected", func() bool {
		entry.coreMu.Lock()
		defer entry.coreMu.Unlock()
		m := entry.views.members[leaving.cfg.VM]
		return entry.Stats().Wakes == 1 && m.leaving && entry.links.count() == 2 && !entry.Stalled()
	})
	early := entry.Ready()
	entry.publishMu.Unlock()
	assert.Check(t, !early, "ready with the view from before the pause")
	await(t, 5*time.Second, "ready", entry.Ready)
	vm, _ := entry.View().VM(leaving.cfg.VM)
	assert.Equal(t, vm.State, StateLeaving)
}
