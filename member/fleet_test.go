package member

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

const sampleBundle = `version: %d
description: %q
pools: [{name: catalogue, endpoints: 3}]
accounts: [{name: shop, credential_sha256: ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}]
pipelines:
  - name: look-up
    deadline: 1s
    stages: [{name: find, pool: catalogue}]
`

// store is the actual state of the platform.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	value   confsvc.Value
	vms     []confsvc.VM
	calls   atomic.Int64
}

func newStore() *store { return &store{changed: make(chan struct{})} }

func (p *store) publish(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.value = confsvc.Value{Name: confsvc.ValueBundle, Revision: p.value.Revision + 1, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *store) read() (confsvc.Value, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.value, p.changed
}

func (p *store) edit(change func([]confsvc.VM) []confsvc.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = change(slices.Clone(p.vms))
}

// access is the platform as seen by one process.
type access struct {
	store *store
	// down makes every call fail.
	down atomic.Bool
	// stale and staleList, if set, are returned instead of the actual value and list.
	stale     atomic.Pointer[confsvc.Value]
	staleList atomic.Pointer[[]confsvc.VM]
}

var errDown = errorx.ExternalError.New("platform is down")

func (a *access) Read(context.Context, string) (confsvc.Value, error) {
	a.store.calls.Add(1)
	return a.present()
}

func (a *access) present() (confsvc.Value, error) {
	if a.down.Load() {
		return confsvc.Value{}, errDown
	}
	if old := a.stale.Load(); old != nil {
		return *old, nil
	}
	value, _ := a.store.read()
	return value, nil
}

func (a *access) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (confsvc.Value, error) {
	a.store.calls.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, changed := a.store.read()
		if a.down.Load() || (a.stale.Load() == nil && value.Revision > after) {
			return a.present()
		}
		select {
		case <-changed:
		case <-timer.C:
			return a.present()
		case <-ctx.Done():
			return confsvc.Value{}, ctx.Err()
		}
	}
}

func (a *access) List(context.Context) ([]confsvc.VM, error) {
	a.store.calls.Add(1)
	if a.down.Load() {
		return nil, errDown
	}
	if old := a.staleList.Load(); old != nil {
		return *old, nil
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	return slices.Clone(a.store.vms), nil
}

// testMember is one process of a test fleet.
type testMember struct {
	*Service
	access *access
	holder *bundle.Holder

	mu sync.Mutex
	// versions are the bundle versions adopted, in order.
	versions []uint64
	// leaving are the arguments of the calls of OnLeaving, in order.
	leaving  []bool
	draining atomic.Bool
	// clockOffset is how far the member's clock is ahead, in nanoseconds. Raising
	// it simulates a pause: a process that resumes sees its clock jump.
	clockOffset atomic.Int64
}

func (m *testMember) now() time.Time { return time.Now().Add(time.Duration(m.clockOffset.Load())) }

func (m *testMember) adoptedVersions() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.versions)
}

func (m *testMember) version() uint64 { return m.holder.Head().Version }

func (m *testMember) leavingChanges() []bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.leaving)
}

// fleet is a set of processes on the loopback interface that share a platform.
type fleet struct {
	t       *testing.T
	store   *store
	pub     ed25519.PublicKey
	priv    ed25519.PrivateKey
	members []*testMember
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	pub, priv, err := bundle.GenerateKey()
	assert.NilError(t, err)
	return &fleet{t: t, store: newStore(), pub: pub, priv: priv}
}

func (f *fleet) signed(version int, text string) []byte {
	f.t.Helper()
	signed, err := bundle.Sign(f.priv, fmt.Appendf(nil, sampleBundle, version, text))
	assert.NilError(f.t, err)
	return signed
}

func (f *fleet) publish(version int) { f.store.publish(f.signed(version, "by an operator")) }

// start starts entries and agents, alternately in two failure domains, and lists them.
func (f *fleet) start(entries, agents int) {
	f.t.Helper()
	for i := range entries + agents {
		role := wire.RoleEntry
		if i >= entries {
			role = wire.RoleAgent
		}
		f.add(role, &access{store: f.store})
	}
}

// add starts one process and lists it.
func (f *fleet) add(role wire.Role, a *access) *testMember {
	f.t.Helper()
	n := len(f.members)
	name := fmt.Sprintf("%s-%03d", role, n)
	m := &testMember{access: a, holder: bundle.NewHolder([]ed25519.PublicKey{f.pub})}
	self := wire.Process{Name: name, Incarnation: fmt.Sprintf("i%d", n), Role: role, Domain: fmt.Sprintf("d%d", n%2)}
	vm := confsvc.VM{Name: name, Role: role, Domain: self.Domain, State: confsvc.VMLive}
	cfg := Config{
		Self: self, Listen: "127.0.0.1:0", Platform: a, Holder: m.holder, Log: zerolog.Nop(),
		DialRoles: []wire.Role{wire.RoleEntry}, Now: m.now,
		OnBundle: func(v *bundle.Verified) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.versions = append(m.versions, v.Head.Version)
		},
		OnLeaving: func(leaving bool) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.leaving = append(m.leaving, leaving)
		},
	}
	if role == wire.RoleEntry {
		cfg.DialRoles = append(cfg.DialRoles, wire.RoleAgent)
	} else {
		vm.Endpoint, vm.Pool = "endpoint-"+name, "catalogue"
		var seq atomic.Uint64
		cfg.Report = func() wire.AgentReport {
			return wire.AgentReport{
				Process: self, Endpoint: vm.Endpoint, Pool: vm.Pool,
				Seq: seq.Add(1), Draining: m.draining.Load(),
			}
		}
	}
	m.Service = New(cfg)
	addr, err := m.Start(context.Background())
	assert.NilError(f.t, err)
	f.t.Cleanup(m.Stop)
	vm.Address = addr.String()
	f.store.edit(func(vms []confsvc.VM) []confsvc.VM { return append(vms, vm) })
	f.members = append(f.members, m)
	return m
}

// waitFor polls a condition for at most limit and returns how long it took.
func waitFor(t *testing.T, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
		<-ticker.C
	}
	return time.Since(start)
}

func (f *fleet) all(ok func(*testMember) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(f.members, func(m *testMember) bool { return !ok(m) })
	}
}

// awaitReady waits until every process is ready and every entry is connected
// to every other process.
func (f *fleet) awaitReady() {
	f.t.Helper()
	waitFor(f.t, time.Minute, "every process ready and connected", f.all(func(m *testMember) bool {
		connected := m.cfg.Self.Role == wire.RoleAgent || m.links.count() == len(f.members)-1
		return m.Ready() && connected
	}))
}

// maxAdoptionTime is the time within which a bundle must be in force everywhere.
const maxAdoptionTime = 5 * time.Second

func (f *fleet) awaitVersion(version uint64, limit time.Duration) time.Duration {
	f.t.Helper()
	return waitFor(f.t, limit, fmt.Sprintf("version %d everywhere", version),
		f.all(func(m *testMember) bool { return m.version() == version }))
}

func (f *fleet) assertNoRollback() {
	f.t.Helper()
	for _, m := range f.members {
		versions := m.adoptedVersions()
		assert.Assert(f.t, slices.IsSorted(versions), "%s adopted a lower version after a higher one: %v", m.cfg.VM, versions)
	}
}
