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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

func TestWatchersAreFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawList(t)
		live, watching := make(map[string]int), make(map[string]int)
		for _, vm := range vms {
			core := newSpreadCore(vm.Name, wire.Process{Domain: vm.Domain}, 0, rand.New(rand.NewPCG(1, 1)))
			core.list(vms)
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

// A list that lags behind says live of a VM that an earlier read showed as
// leaving. If the view went back, the VM would get new work until it vanished.
func TestLeavingOutlivesStaleLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := newViewCore("self")
		hello := wire.Hello{Process: wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent}}
		now := epoch
		var heldUntil time.Time
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				core.list(now, []confsvc.VM{{Name: "a", State: confsvc.VMLive}})
				if heldUntil.IsZero() {
					break
				}
				if m := core.members["a"]; !m.leaving && now.Before(heldUntil) {
					t.Fatalf("back to live %v too early", heldUntil.Sub(now))
				}
			case 1:
				core.list(now, []confsvc.VM{{Name: "a", State: confsvc.VMLeaving}})
				heldUntil = now.Add(leavingHold)
			case 2:
				if core.noted(&wire.VMNote{VM: "a", Process: hello.Process}) {
					heldUntil = now.Add(leavingHold)
				}
			case 3:
				core.connect(now, "a", &hello)
			case 4:
				core.disconnect(now, "a", hello.Process)
			case 5:
				core.list(now, nil)
				if core.members["a"] == nil {
					heldUntil = time.Time{}
				}
			}
		}
	})
}

func TestReplacedVMIsLiveAtOnce(t *testing.T) {
	core := newViewCore("self")
	hello := wire.Hello{Process: wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent}}
	core.connect(epoch, "a", &hello)
	core.list(epoch, []confsvc.VM{{Name: "a", State: confsvc.VMLeaving}})
	core.disconnect(epoch, "a", hello.Process)
	hello.Process.Incarnation = "i2"
	core.connect(epoch, "a", &hello)
	assert.Assert(t, core.members["a"].leaving, "the list still says so")
	core.list(epoch, []confsvc.VM{{Name: "a", State: confsvc.VMLive}})
	assert.Assert(t, !core.members["a"].leaving)
	old := wire.VMNote{VM: "a", Process: wire.Process{Name: "a", Incarnation: "i1"}}
	assert.Assert(t, !core.noted(&old), "a note about the VM's predecessor")
}

func TestListedClaimOwnsEndpoint(t *testing.T) {
	core := newViewCore("self")
	intruder := wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent}
	core.connect(epoch, "a", &wire.Hello{Process: intruder, Report: wire.AgentReport{Process: intruder, Endpoint: "e"}})
	core.list(epoch, []confsvc.VM{{Name: "b", Endpoint: "e"}})
	view, _, claims := core.view(epoch)
	owner, _ := view.Endpoint("e")
	assert.Equal(t, owner.VM.Name, "b")
	assert.DeepEqual(t, claims, []Claim{{Endpoint: "e", VM: "a"}})
	_, _, claims = core.view(epoch)
	assert.Equal(t, len(claims), 0, "told once")
}

// An agent's VM is replaced while its old process is stopped. When the old
// one wakes and connects again, calls must go on to its successor.
func TestSupersededProcessStaysOut(t *testing.T) {
	l := newLinks("self")
	run := func(incarnation string) admission {
		return l.admit(epoch, &peer.Conn{}, &wire.Hello{VM: "a", Process: wire.Process{Incarnation: incarnation}})
	}
	assert.Assert(t, run("i1").Link != nil)
	second := run("i2")
	assert.Assert(t, second.Link != nil && second.Retire != nil)
	assert.Assert(t, run("i1").Stale)
	assert.Assert(t, l.get("a") == second.Link)
}

// A process that starts while the configuration service is stale would serve
// its callers under a withdrawn bundle, unless it waits for a peer's word.
func TestSettles(t *testing.T) {
	ready := settleState{Elapsed: settleLeast, PlatformTried: true, ListTried: true, ListRead: true, Named: 2, Answered: 2}
	for name, c := range map[string]struct {
		change func(*settleState)
		want   bool
	}{
		"all answered":         {func(*settleState) {}, true},
		"no peers named":       {func(s *settleState) { s.Named, s.Answered = 0, 0 }, true},
		"too early":            {func(s *settleState) { s.Elapsed = 0 }, false},
		"platform not tried":   {func(s *settleState) { s.PlatformTried = false }, false},
		"fetching":             {func(s *settleState) { s.Fetching = 1 }, false},
		"some answered":        {func(s *settleState) { s.Answered = 1 }, false},
		"some, after a window": {func(s *settleState) { s.Answered, s.Elapsed = 1, settleWindow }, true},
		"none answered":        {func(s *settleState) { s.Answered, s.Elapsed = 0, settleWindow }, false},
		"list down, no peer":   {func(s *settleState) { s.ListRead, s.Named, s.Answered, s.Elapsed = false, 0, 0, settleWindow }, false},
		"none, at the longest": {func(s *settleState) { s.Answered, s.Elapsed = 0, settleLongest }, true},
	} {
		state := ready
		c.change(&state)
		assert.Equal(t, state.settles(), c.want, name)
	}
}

// cluster runs spread cores against each other on a virtual clock.
type cluster struct {
	now    time.Time
	rng    *rand.Rand
	cores  map[string]*spreadCore
	behind map[string]time.Time
	queue  []func()
	// loss is the share of notifications lost; fetchLoss that of fetches.
	loss, fetchLoss float64
}

func (c *cluster) holds(head wire.BundleHead) bool {
	for _, core := range c.cores {
		if core.head != head {
			return false
		}
	}
	return true
}

func (c *cluster) do(self string, e spreadEffects) {
	for _, to := range e.Tell {
		if c.rng.Float64() >= c.loss {
			c.queue = append(c.queue, func() { c.do(to, c.cores[to].heard(c.now, self, c.cores[self].head)) })
		}
	}
	for _, from := range e.Exchange {
		c.queue = append(c.queue, func() { c.do(self, c.cores[self].heard(c.now, from, c.cores[from].head)) })
	}
	for _, order := range e.Fetch {
		c.queue = append(c.queue, func() { c.fetched(self, order) })
	}
}

func (c *cluster) fetched(self string, order fetchOrder) {
	core, got := c.cores[self], c.cores[order.VM].head
	ok := c.rng.Float64() >= c.fetchLoss
	if ok && later(got, core.head) {
		c.do(self, core.adopted(c.now, got))
	} else if ok {
		core.refuse(c.now, order.Head)
	}
	c.do(self, core.fetched(c.now, order, ok))
	c.behind[self] = c.now
}

func (c *cluster) step() {
	c.now = c.now.Add(50 * time.Millisecond)
	for _, name := range slices.Sorted(maps.Keys(c.cores)) {
		if c.now.Before(c.behind[name]) {
			continue
		}
		effects, next := c.cores[name].tick(c.now)
		c.behind[name] = c.now.Add(next)
		c.do(name, effects)
	}
	for len(c.queue) > 0 {
		i := c.rng.IntN(len(c.queue))
		event := c.queue[i]
		c.queue = slices.Delete(c.queue, i, i+1)
		event()
	}
}

// TestSpreadConverges gives random versions to some processes of a random
// fleet, in which a third of the fetches fail. All must hold the highest within
// five seconds, or within a minute if a third of the notifications is lost too,
// as when connections break.
func TestSpreadConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, agents := rapid.IntRange(1, 6).Draw(t, "entries"), rapid.IntRange(0, 40).Draw(t, "agents")
		loss, limit := 0.0, 5*time.Second
		if rapid.Bool().Draw(t, "lossy") {
			loss, limit = 0.3, time.Minute
		}
		seed := rapid.Uint64().Draw(t, "seed")
		c := &cluster{
			now: epoch, rng: rand.New(rand.NewPCG(seed, 0)), loss: loss, fetchLoss: 0.3,
			cores: make(map[string]*spreadCore), behind: make(map[string]time.Time),
		}
		var names []string
		for i := range entries + agents {
			role := wire.RoleEntry
			if i >= entries {
				role = wire.RoleAgent
			}
			name := fmt.Sprintf("%s-%d", role, i)
			names = append(names, name)
			c.cores[name] = newSpreadCore(name, wire.Process{Role: role}, 0, rand.New(rand.NewPCG(seed, uint64(i)+1)))
		}
		for i, entry := range names[:entries] {
			for _, other := range names[i+1:] {
				c.cores[entry].peerUp(c.now, other, &wire.Hello{Process: wire.Process{Role: c.cores[other].role}}, true)
				c.cores[other].peerUp(c.now, entry, &wire.Hello{Process: wire.Process{Role: wire.RoleEntry}}, false)
			}
		}
		var highest wire.BundleHead
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			core := c.cores[rapid.SampledFrom(names).Draw(t, "holder")]
			version := uint64(rapid.IntRange(1, 3).Draw(t, "version"))
			head := wire.BundleHead{Version: version, Hash: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hash")}
			if later(head, core.head) {
				c.do(core.self, core.adopted(c.now, head))
			}
			if later(head, highest) {
				highest = head
			}
		}
		for !c.holds(highest) && c.now.Before(epoch.Add(limit)) {
			c.step()
		}
		for _, name := range names {
			if c.cores[name].head != highest {
				t.Fatalf("%s holds %v, not %v", name, c.cores[name].head, highest)
			}
		}
	})
}

func TestConnectionOutweighsTheList(t *testing.T) {
	core := newViewCore("self")
	hello := wire.Hello{Process: wire.Process{Name: "a", Incarnation: "i1", Role: wire.RoleAgent}}
	core.list(epoch, []confsvc.VM{{Name: "a", State: confsvc.VMLive}})
	core.connect(epoch, "a", &hello)
	core.list(epoch.Add(time.Second), nil)
	core.list(epoch.Add(2*absentHold), nil)
	assert.Assert(t, core.members["a"] != nil, "a connected VM was dropped")
	core.disconnect(epoch.Add(2*absentHold), "a", hello.Process)
	core.list(epoch.Add(3*absentHold), nil)
	assert.Assert(t, core.members["a"] == nil)
}
