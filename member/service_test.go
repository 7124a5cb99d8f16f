package member

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

func TestBundleReachesAll(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(2, 6)
	f.awaitReady()
	f.publish(2)
	t.Logf("version 2 in force on 8 processes after %v", f.awaitVersion(2, maxAdoptionTime))
	for _, m := range f.members {
		if m.cfg.Self.Role == wire.RoleEntry {
			assert.Equal(t, len(m.Agents()), 6)
			assert.Equal(t, len(m.View().Pool("catalogue")), 6)
		}
	}
	f.assertNoRollback()
}

// Guards against a version that reaches only the processes which can reach the
// configuration service, here a single agent. Unless peers forward it, the old
// rules would apply on some VMs and the new ones on others during the outage.
func TestBundleReachesAllThroughOneProcess(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(2, 6)
	f.awaitReady()
	for _, m := range f.members[:7] {
		m.access.down.Store(true)
	}
	f.publish(2)
	last := f.members[7]
	last.offer(f.signed(2, "by an operator"), "test")
	t.Logf("version 2 in force everywhere through peers after %v", f.awaitVersion(2, maxAdoptionTime))
	f.assertNoRollback()
}

// Guards against a starting process that adopts a withdrawn bundle. The fleet has
// version 2 in force, while the configuration service serves version 1 again. The
// process reads version 1 first and must still adopt version 2 from its peers.
func TestFreshProcessPrefersPeersToStaleService(t *testing.T) {
	for _, role := range []wire.Role{wire.RoleEntry, wire.RoleAgent} {
		t.Run(string(role), func(t *testing.T) {
			f := newFleet(t)
			f.publish(1)
			old, _ := f.store.read()
			f.publish(2)
			f.start(2, 3)
			f.awaitReady()
			f.awaitVersion(2, maxAdoptionTime)
			for _, m := range f.members {
				m.access.stale.Store(&old)
			}
			a := &access{store: f.store}
			a.stale.Store(&old)
			fresh := f.add(role, a)
			waitFor(t, 10*time.Second, "fresh process ready", fresh.Ready)
			assert.DeepEqual(t, fresh.adoptedVersions(), []uint64{2})
			f.assertNoRollback()
		})
	}
}

// Guards against a fleet that stays divided when two operators publish version 2
// with different contents and processes adopt one or the other. All must adopt the
// same content, and the processes that have seen both must report the conflict.
func TestConflictConverges(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(2, 4)
	f.awaitReady()
	f.members[0].offer(f.signed(2, "by one"), "test")
	f.members[1].offer(f.signed(2, "by another"), "test")
	waitFor(t, 5*time.Second, "one content everywhere", f.all(func(m *testMember) bool {
		return m.version() == 2 && m.holder.Head() == f.members[0].holder.Head()
	}))
	reported := slices.ContainsFunc(f.members, func(m *testMember) bool { return m.holder.Conflict() != nil })
	assert.Assert(t, reported)
	f.publish(3)
	f.awaitVersion(3, maxAdoptionTime)
}

// Guards against a leaving VM that only one process knows of. The list shows an
// agent's VM as leaving, but all processes but one entry read a stale list. Without
// a notification, the other entry would continue to send work to the VM and the
// agent to accept it, and requests would be interrupted when the VM is gone.
func TestLeavingReachesAllThroughOneProcess(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(2, 3)
	f.awaitReady()
	agent := f.members[4]
	stale := append([]confsvc.VM(nil), f.store.vms...)
	for _, m := range f.members[1:] {
		m.access.staleList.Store(&stale)
	}
	f.store.edit(func(vms []confsvc.VM) []confsvc.VM {
		vms[4].State = confsvc.VMLeaving
		return vms
	})
	took := waitFor(t, 3*time.Second, "leaving everywhere", func() bool {
		for _, m := range f.members[:2] {
			if vm, _ := m.View().VM(agent.cfg.VM); vm.State != StateLeaving {
				return false
			}
		}
		return len(agent.leavingChanges()) == 1
	})
	t.Logf("the entries and the agent know that the VM is leaving after %v", took)
	assert.DeepEqual(t, agent.leavingChanges(), []bool{true})
}

func TestDrainingReportMeansLeaving(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 1)
	f.awaitReady()
	f.members[1].draining.Store(true)
	f.members[1].Announce()
	waitFor(t, 2*time.Second, "leaving", func() bool {
		vm, _ := f.members[0].View().VM(f.members[1].cfg.VM)
		return vm.State == StateLeaving
	})
}

// Guards against a process that takes work with stale state after a pause: messages
// in its socket buffers look new, and its view is as old as the pause. It must drop
// its connections and read the list again before it is ready.
func TestResumedProcessReconnectsBeforeReady(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(2, 3)
	f.awaitReady()
	entry := f.members[0]
	before := entry.Agents()
	entry.access.down.Store(true)
	entry.onResume(5 * time.Second)
	for _, conn := range before {
		<-conn.Done()
	}
	entry.access.down.Store(false)
	f.awaitReady()
	assert.Equal(t, entry.Stats().Wakes, int64(1))
}

// Guards against a stale list that empties a pool. A list that omits a VM is often
// only stale; while its process is connected, the VM must stay live.
func TestUnlistedConnectedVMStaysLive(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 2)
	f.awaitReady()
	entry, agent := f.members[0], f.members[2]
	f.store.edit(func(vms []confsvc.VM) []confsvc.VM { return vms[:2] })
	waitFor(t, 5*time.Second, "list read", func() bool {
		vm, ok := entry.View().VM(agent.cfg.VM)
		return ok && !vm.Listed
	})
	conn, ok := entry.Agent("endpoint-" + agent.cfg.VM)
	assert.Assert(t, ok)
	assert.Equal(t, conn.Peer().Process.Name, agent.cfg.VM)
	vm, _ := entry.View().VM(agent.cfg.VM)
	assert.Equal(t, vm.State, StateLive)
}

// Guards against requests that are sent to a stopped agent and wait there until
// their deadlines, because its connection stays open. After a few seconds without a
// reply to a hello, the VM must show as unreachable.
func TestSilentPeerIsUnreachable(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.publish(1)
	f.start(1, 0)
	self := wire.Process{Name: "silent", Incarnation: "i1", Role: wire.RoleAgent, Domain: "d0"}
	stopped, resume := make(chan struct{}), make(chan struct{})
	silent := peer.NewNode(peer.Config{Hello: func() wire.Hello {
		select {
		case <-stopped:
			<-resume
		default:
		}
		return wire.Hello{Process: self, Report: wire.AgentReport{Process: self, Endpoint: "e"}}
	}}, peer.NewMux())
	addr, err := silent.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(silent.Close)
	t.Cleanup(func() { close(resume) })
	f.store.edit(func(vms []confsvc.VM) []confsvc.VM {
		return append(vms, confsvc.VM{Name: "silent", Role: wire.RoleAgent, Address: addr.String(), Endpoint: "e"})
	})
	entry := f.members[0]
	waitFor(t, 15*time.Second, "connected", func() bool { _, ok := entry.Agent("e"); return ok })
	close(stopped)
	waitFor(t, 20*time.Second, "unreachable", func() bool {
		vm, _ := entry.View().Endpoint("e")
		return vm.State == StateUnreachable && !vm.Connected
	})
}

// Guards against an entry that takes a retired connection for one in use. An agent
// dials an entry that is already connected to it, and the new connection breaks.
// The entry keeps the old one open for calls in flight; it must dial again at once,
// or it would send the agent nothing for half a minute.
func TestRedialsWhileOldConnectionLingers(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 0)
	entry := f.members[0]
	self := wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent, Domain: "d0"}
	agent := peer.NewNode(peer.Config{Hello: func() wire.Hello {
		return wire.Hello{Process: self, Report: wire.AgentReport{Process: self, Endpoint: "e"}}
	}}, peer.NewMux())
	addr, err := agent.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(agent.Close)
	f.store.edit(func(vms []confsvc.VM) []confsvc.VM {
		return append(vms, confsvc.VM{Name: "a", Role: wire.RoleAgent, Address: addr.String(), Endpoint: "e"})
	})
	var first, second *peer.Conn
	waitFor(t, 10*time.Second, "connected", func() bool { first, _ = entry.Agent("e"); return first != nil })
	crossing, err := agent.Dial(context.Background(), f.store.vms[0].Address)
	assert.NilError(t, err)
	waitFor(t, 2*time.Second, "replaced", func() bool { second, _ = entry.Agent("e"); return second != nil && second != first })
	crossing.Close()
	waitFor(t, 5*time.Second, "connected again", func() bool {
		third, ok := entry.Agent("e")
		return ok && third != first && third != second
	})
	select {
	case <-first.Done():
		t.Fatal("calls in flight on the first connection were cut")
	default:
	}
}
