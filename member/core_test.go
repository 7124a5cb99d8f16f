package member

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawList(t *rapid.T) []confsvc.VM {
	states := []confsvc.VMState{confsvc.VMLive, confsvc.VMLeaving}
	var vms []confsvc.VM
	for i := range rapid.IntRange(0, 40).Draw(t, "vms") {
		vms = append(vms, confsvc.VM{
			Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("d%d", rapid.IntRange(0, 3).Draw(t, "domain")),
			State: rapid.SampledFrom(states).Draw(t, "state"),
		})
	}
	return vms
}

func TestWatchersPerDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawList(t)
		live, watching := make(map[string]int), make(map[string]int)
		for _, vm := range vms {
			core := newGossipCore(vm.Name, wire.Process{Domain: vm.Domain}, 0, rand.New(rand.NewPCG(1, 1)))
			core.applyList(vms)
			if core.watcher {
				watching[vm.Domain]++
			}
			if vm.State == confsvc.VMLive {
				live[vm.Domain]++
			}
		}
		for domain, n := range live {
			if watching[domain] != min(n, watchersPerDomain) {
				t.Fatalf("%d watchers among %d live VMs", watching[domain], n)
			}
		}
	})
}

// Guards against a stale list that shows a VM as live after an earlier read showed
// it as leaving. If the view reverted, the VM would get new work until it is gone.
func TestLeavingOutlivesStaleLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := newViewCore("self")
		hello := wire.Hello{Process: wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent}}
		now := simulationStart
		var leavingUntil time.Time
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				core.applyList(now, []confsvc.VM{{Name: "a", State: confsvc.VMLive}})
				if leavingUntil.IsZero() {
					break
				}
				if m := core.members["a"]; !m.leaving && now.Before(leavingUntil) {
					t.Fatalf("the VM counts as live %v too early", leavingUntil.Sub(now))
				}
			case 1:
				core.applyList(now, []confsvc.VM{{Name: "a", State: confsvc.VMLeaving}})
				leavingUntil = now.Add(leavingHoldTime)
			case 2:
				if core.applyNote(&wire.VMNote{VM: "a", Process: hello.Process}) {
					leavingUntil = now.Add(leavingHoldTime)
				}
			case 3:
				core.connect(now, "a", &hello)
			case 4:
				core.disconnect(now, "a", hello.Process)
			case 5:
				core.applyList(now, nil)
				if core.members["a"] == nil {
					leavingUntil = time.Time{}
				}
			}
		}
	})
}

func TestReplacedVMIsLiveAtOnce(t *testing.T) {
	core := newViewCore("self")
	hello := wire.Hello{Process: wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent}}
	core.connect(simulationStart, "a", &hello)
	core.applyList(simulationStart, []confsvc.VM{{Name: "a", State: confsvc.VMLeaving}})
	core.disconnect(simulationStart, "a", hello.Process)
	hello.Process.Incarnation = "i2"
	core.connect(simulationStart, "a", &hello)
	assert.Assert(t, core.members["a"].leaving, "the list still shows the VM as leaving")
	core.applyList(simulationStart, []confsvc.VM{{Name: "a", State: confsvc.VMLive}})
	assert.Assert(t, !core.members["a"].leaving)
	old := wire.VMNote{VM: "a", Process: wire.Process{Name: "a", Incarnation: "i1"}}
	assert.Assert(t, !core.applyNote(&old), "a notification about the VM's predecessor")
}

func TestListedClaimOwnsEndpoint(t *testing.T) {
	core := newViewCore("self")
	intruder := wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent}
	core.connect(simulationStart, "a", &wire.Hello{Process: intruder, Report: wire.AgentReport{Process: intruder, Endpoint: "e"}})
	core.applyList(simulationStart, []confsvc.VM{{Name: "b", Endpoint: "e"}})
	view, _, claims := core.view(simulationStart)
	owner, _ := view.Endpoint("e")
	assert.Equal(t, owner.VM.Name, "b")
	assert.DeepEqual(t, claims, []Claim{{Endpoint: "e", VM: "a"}})
	_, _, claims = core.view(simulationStart)
	assert.Equal(t, len(claims), 0, "an ignored claim is reported once")
}

// Guards against an agent that was replaced while it was stopped: when it resumes
// and connects again, calls must still go to its successor.
func TestSupersededProcessIsRefused(t *testing.T) {
	l := newLinks("self")
	connect := func(incarnation string) admission {
		return l.admit(simulationStart, &peer.Conn{}, &wire.Hello{VM: "a", Process: wire.Process{Incarnation: incarnation}})
	}
	assert.Assert(t, connect("i1").Link != nil)
	second := connect("i2")
	assert.Assert(t, second.Link != nil && second.Retire != nil)
	assert.Assert(t, connect("i1").Stale)
	assert.Assert(t, l.get("a") == second.Link)
}

// Guards against a process that starts while the configuration service is stale
// and serves requests under a withdrawn bundle because it did not wait for a reply
// from a peer.
func TestCollectionEnds(t *testing.T) {
	ready := collectState{Elapsed: minCollectTime, PlatformTried: true, ListTried: true, ListRead: true, NamedPeers: 2, AnsweredPeers: 2}
	for name, c := range map[string]struct {
		change func(*collectState)
		want   bool
	}{
		"all answered":         {func(*collectState) {}, true},
		"no peers named":       {func(s *collectState) { s.NamedPeers, s.AnsweredPeers = 0, 0 }, true},
		"too early":            {func(s *collectState) { s.Elapsed = 0 }, false},
		"platform not tried":   {func(s *collectState) { s.PlatformTried = false }, false},
		"fetching":             {func(s *collectState) { s.Fetching = 1 }, false},
		"some answered":        {func(s *collectState) { s.AnsweredPeers = 1 }, false},
		"some, after a window": {func(s *collectState) { s.AnsweredPeers, s.Elapsed = 1, collectWindow }, true},
		"none answered":        {func(s *collectState) { s.AnsweredPeers, s.Elapsed = 0, collectWindow }, false},
		"list down, no peer": {func(s *collectState) {
			s.ListRead, s.NamedPeers, s.AnsweredPeers, s.Elapsed = false, 0, 0, collectWindow
		}, false},
		"none, at the longest": {func(s *collectState) { s.AnsweredPeers, s.Elapsed = 0, maxCollectTime }, true},
	} {
		state := ready
		c.change(&state)
		assert.Equal(t, state.done(), c.want, name)
	}
}

// gossipSimulation runs gossip cores against each other on a virtual clock.
type gossipSimulation struct {
	now   time.Time
	rng   *rand.Rand
	cores map[string]*gossipCore
	// tickAt is when the next tick of each core is due.
	tickAt map[string]time.Time
	// pending are the events that step executes in random order.
	pending []func()
	// notificationLoss and fetchFailureRate are the probabilities that a
	// notification is lost and that a fetch fails.
	notificationLoss, fetchFailureRate float64
}

func (c *gossipSimulation) allHold(head wire.BundleHead) bool {
	for _, core := range c.cores {
		if core.head != head {
			return false
		}
	}
	return true
}

func (c *gossipSimulation) run(self string, e gossipEffects) {
	for _, to := range e.SendHead {
		if c.rng.Float64() >= c.notificationLoss {
			c.pending = append(c.pending, func() { c.run(to, c.cores[to].headReceived(c.now, self, c.cores[self].head)) })
		}
	}
	for _, from := range e.Exchange {
		c.pending = append(c.pending, func() { c.run(self, c.cores[self].headReceived(c.now, from, c.cores[from].head)) })
	}
	for _, task := range e.Fetch {
		c.pending = append(c.pending, func() { c.fetchDone(self, task) })
	}
}

func (c *gossipSimulation) fetchDone(self string, task fetchTask) {
	core, got := c.cores[self], c.cores[task.VM].head
	ok := c.rng.Float64() >= c.fetchFailureRate
	if ok && newerHead(got, core.head) {
		c.run(self, core.headAdopted(c.now, got))
	} else if ok {
		core.markRefused(c.now, task.Head)
	}
	c.run(self, core.fetchDone(c.now, task, ok))
	c.tickAt[self] = c.now
}

func (c *gossipSimulation) step() {
	c.now = c.now.Add(50 * time.Millisecond)
	for _, name := range slices.Sorted(maps.Keys(c.cores)) {
		if c.now.Before(c.tickAt[name]) {
			continue
		}
		effects, next := c.cores[name].tick(c.now)
		c.tickAt[name] = c.now.Add(next)
		c.run(name, effects)
	}
	for len(c.pending) > 0 {
		i := c.rng.IntN(len(c.pending))
		event := c.pending[i]
		c.pending = slices.Delete(c.pending, i, i+1)
		event()
	}
}

// TestGossipConverges gives random versions to some processes of a random fleet in
// which a third of the fetches fail. All processes must hold the highest version
// within five seconds, or within a minute if a third of the notifications are lost
// too, as they are when connections break.
func TestGossipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, agents := rapid.IntRange(1, 6).Draw(t, "entries"), rapid.IntRange(0, 40).Draw(t, "agents")
		loss, limit := 0.0, 5*time.Second
		if rapid.Bool().Draw(t, "lossy") {
			loss, limit = 0.3, time.Minute
		}
		seed := rapid.Uint64().Draw(t, "seed")
		sim := &gossipSimulation{
			now: simulationStart, rng: rand.New(rand.NewPCG(seed, 0)), notificationLoss: loss, fetchFailureRate: 0.3,
			cores: make(map[string]*gossipCore), tickAt: make(map[string]time.Time),
		}
		var names []string
		for i := range entries + agents {
			role := wire.RoleEntry
			if i >= entries {
				role = wire.RoleAgent
			}
			name := fmt.Sprintf("%s-%d", role, i)
			names = append(names, name)
			sim.cores[name] = newGossipCore(name, wire.Process{Role: role}, 0, rand.New(rand.NewPCG(seed, uint64(i)+1)))
		}
		for i, entry := range names[:entries] {
			for _, other := range names[i+1:] {
				sim.cores[entry].peerUp(sim.now, other, &wire.Hello{Process: wire.Process{Role: sim.cores[other].role}}, true)
				sim.cores[other].peerUp(sim.now, entry, &wire.Hello{Process: wire.Process{Role: wire.RoleEntry}}, false)
			}
		}
		var highest wire.BundleHead
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			core := sim.cores[rapid.SampledFrom(names).Draw(t, "holder")]
			version := uint64(rapid.IntRange(1, 3).Draw(t, "version"))
			head := wire.BundleHead{Version: version, Hash: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hash")}
			if newerHead(head, core.head) {
				sim.run(core.self, core.headAdopted(sim.now, head))
			}
			if newerHead(head, highest) {
				highest = head
			}
		}
		for !sim.allHold(highest) && sim.now.Before(simulationStart.Add(limit)) {
			sim.step()
		}
		for _, name := range names {
			if sim.cores[name].head != highest {
				t.Fatalf("%s holds %v, not %v", name, sim.cores[name].head, highest)
			}
		}
	})
}

func TestConnectedVMIsKeptWhenUnlisted(t *testing.T) {
	core := newViewCore("self")
	hello := wire.Hello{Process: wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent}}
	core.applyList(simulationStart, []confsvc.VM{{Name: "a", State: confsvc.VMLive}})
	core.connect(simulationStart, "a", &hello)
	core.applyList(simulationStart.Add(time.Second), nil)
	core.applyList(simulationStart.Add(2*absentRetention), nil)
	assert.Assert(t, core.members["a"] != nil, "a connected VM was dropped")
	core.disconnect(simulationStart.Add(2*absentRetention), "a", hello.Process)
	core.applyList(simulationStart.Add(3*absentRetention), nil)
	assert.Assert(t, core.members["a"] == nil)
}
