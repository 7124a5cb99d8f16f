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

// unservedMethod is a method that no member serves. A call of it returns an error
// from the peer, which proves that the call was written.
const unservedMethod = "test.unserved"

// Guards against calls that a process writes to its old connections when it resumes
// from a pause. An entry is stopped for seconds with client requests in its socket
// buffers, and resumes. If it called agents before the tick that detects the pause,
// or before its old connections are dropped, the calls would be lost with the
// connections, and clients would be told that their requests may have run. A moment
// later the calls could go out on new connections. So the process must count as
// stalled until the pause has been handled, and each call must check that.
func TestResumedProcessWritesNoCallOnOldConnections(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 1)
	f.awaitReady()
	entry, endpoint := f.members[0], "endpoint-"+f.members[1].cfg.VM
	old, ok := entry.Agent(endpoint)
	assert.Assert(t, ok)
	assert.Assert(t, errorx.IsOfType(call(t, old), peer.ErrRemote), "before the pause")

	// The handling of the pause needs this lock and is blocked while it is held.
	entry.coreMu.Lock()
	entry.clockOffset.Store(int64(5 * time.Second))
	beforeTick := call(t, old)
	waitFor(t, 5*time.Second, "pause noticed", func() bool { return entry.Stats().Wakes == 1 })
	beforeDrop, stalled, ready := call(t, old), entry.Stalled(), entry.Ready()
	entry.coreMu.Unlock()
	assert.Check(t, errorx.IsOfType(beforeTick, peer.ErrNotWritten), "before the first tick: %v", beforeTick)
	assert.Check(t, errorx.IsOfType(beforeDrop, peer.ErrNotWritten), "before the connections were dropped: %v", beforeDrop)
	assert.Check(t, stalled)
	assert.Check(t, !ready)

	<-old.Done()
	f.awaitReady()
	fresh, ok := entry.Agent(endpoint)
	assert.Assert(t, ok && fresh != old)
	assert.Assert(t, errorx.IsOfType(call(t, fresh), peer.ErrRemote), "after the pause")
}

func call(t *testing.T, conn *peer.Conn) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return conn.Call(ctx, unservedMethod, struct{}{}, nil)
}

// Guards against an entry that is ready before it has published a new view. It
// resumes from a pause during which an endpoint's VM was listed as leaving, and has
// read the list again. If it were ready with the view from before the pause, it
// would route a call to a VM that is about to be terminated.
func TestResumedProcessIsReadyOnceItsViewIsNew(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 2)
	f.awaitReady()
	entry, leaving := f.members[0], f.members[1]
	waitFor(t, 5*time.Second, "all VMs listed", func() bool { return len(entry.targets()) == 2 })

	// The publication of a view needs this lock and is blocked while it is held.
	entry.publishMu.Lock()
	f.store.edit(func(vms []confsvc.VM) []confsvc.VM {
		vms[1].State = confsvc.VMLeaving
		return vms
	})
	entry.clockOffset.Store(int64(5 * time.Second))
	waitFor(t, 5*time.Second, "list read and peers connected", func() bool {
		entry.coreMu.Lock()
		defer entry.coreMu.Unlock()
		m := entry.views.members[leaving.cfg.VM]
		return entry.Stats().Wakes == 1 && m.leaving && entry.links.count() == 2 && !entry.Stalled()
	})
	readyBeforePublish := entry.Ready()
	entry.publishMu.Unlock()
	assert.Check(t, !readyBeforePublish, "ready with the view from before the pause")
	waitFor(t, 5*time.Second, "ready", entry.Ready)
	vm, _ := entry.View().VM(leaving.cfg.VM)
	assert.Equal(t, vm.State, StateLeaving)
}
