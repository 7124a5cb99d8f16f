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

// The configuration service cannot be reached from any process but one agent.
// An operator publishes version 2. Users would see old rules on some VMs and
// new ones on others for as long as the outage lasts, unless peers pass it on.
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
	t.Logf("version 2 in force by peers after %v", f.awaitVersion(2, maxAdoptionTime))
	f.assertNoRollback()
}

// The fleet has version 2 in force; the configuration service falls back to
// version 1. A process that starts now reads version 1 first. If it believed
// the service, its callers would be served by rules that were withdrawn.
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
			await(t, 10*time.Second, "fresh process ready", fresh.Ready)
			assert.DeepEqual(t, fresh.adoptedVersions(), []uint64{2})
			f.assertNoRollback()
		})
	}
}

// Two operators publish version 2 with different content, and half of the
// fleet reads one, half the other. Users would get different answers from the
// two halves for good; instead all settle on one content, and those that met
// both contents say so.
func TestConflictConverges(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(2, 4)
	f.awaitReady()
	f.members[0].offer(f.signed(2, "by one"), "test")
	f.members[1].offer(f.signed(2, "by another"), "test")
	await(t, 5*time.Second, "one content everywhere", f.all(func(m *testMember) bool {
		return m.version() == 2 && m.holder.Head() == f.members[0].holder.Head()
	}))
	reported := slices.ContainsFunc(f.members, func(m *testMember) bool { return m.holder.Conflict() != nil })
	assert.Assert(t, reported)
	f.publish(3)
	f.awaitVersion(3, maxAdoptionTime)
}

// The list shows an agent's VM as leaving, but only one entry can read the
// list as it is. The other entry and the agent itself would go on taking work
// for a VM that is about to vanish, and requests would be cut.
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
	took := await(t, 3*time.Second, "leaving everywhere", func() bool {
		for _, m := range f.members[:2] {
			if vm, _ := m.View().VM(agent.cfg.VM); vm.State != StateLeaving {
				return false
			}
		}
		return len(agent.leavingChanges()) == 1
	})
	t.Logf("known to the entries and to the agent after %v", took)
	assert.DeepEqual(t, agent.leavingChanges(), []bool{true})
}

func TestDrainingReportMeansLeaving(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 1)
	f.awaitReady()
	f.members[1].draining.Store(true)
	f.members[1].Announce()
	await(t, 2*time.Second, "leaving", func() bool {
		vm, _ := f.members[0].View().VM(f.members[1].cfg.VM)
		return vm.State == StateLeaving
	})
}

// A process is paused and wakes. Messages in its socket buffers look new, and
// its view is as old as the pause. It must drop both before it takes work.
func TestWakeReconnectsBeforeReady(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(2, 3)
	f.awaitReady()
	entry := f.members[0]
	before := entry.Agents()
	entry.access.down.Store(true)
	entry.onWake(5 * time.Second)
	for _, conn := range before {
		<-conn.Done()
	}
	entry.access.down.Store(false)
	f.awaitReady()
	assert.Equal(t, entry.Stats().Wakes, int64(1))
}

// A list that omits a VM is often only late. The connection to its process
// proves that it is there; without this rule a stale list would empty a pool.
func TestConnectedVMOutlivesTheList(t *testing.T) {
	f := newFleet(t)
	f.publish(1)
	f.start(1, 2)
	f.awaitReady()
	entry, agent := f.members[0], f.members[2]
	f.store.edit(func(vms []confsvc.VM) []confsvc.VM { return vms[:2] })
	await(t, 5*time.Second, "list read", func() bool {
		vm, ok := entry.View().VM(agent.cfg.VM)
		return ok && !vm.Listed
	})
	conn, ok := entry.Agent("endpoint-" + agent.cfg.VM)
	assert.Assert(t, ok)
	assert.Equal(t, conn.Peer().Process.Name, agent.cfg.VM)
	vm, _ := entry.View().VM(agent.cfg.VM)
	assert.Equal(t, vm.State, StateLive)
}

// An agent's process is stopped. Its connection stays open, so requests would
// be sent there and wait until their deadlines. After a few seconds without
// an answer to a hello the VM must show as unreachable.
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
	await(t, 15*time.Second, "connected", func() bool { _, ok := entry.Agent("e"); return ok })
	close(stopped)
	await(t, 20*time.Second, "unreachable", func() bool {
		vm, _ := entry.View().Endpoint("e")
		return vm.State == StateUnreachable && !vm.Connected
	})
}

// An agent dials an entry that is connected to it already, and its new
// connection breaks. The entry keeps the old one open for calls in flight. If
// it took that for a connection in use, it would send the agent nothing for
// half a minute.
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
	await(t, 10*time.Second, "connected", func() bool { first, _ = entry.Agent("e"); return first != nil })
	crossing, err := agent.Dial(context.Background(), f.store.vms[0].Address)
	assert.NilError(t, err)
	await(t, 2*time.Second, "replaced", func() bool { second, _ = entry.Agent("e"); return second != nil && second != first })
	crossing.Close()
	await(t, 5*time.Second, "connected again", func() bool {
		third, ok := entry.Agent("e")
		return ok && third != first && third != second
	})
	select {
	case <-first.Done():
		t.Fatal("calls in flight on the first connection were cut")
	default:
	}
}
