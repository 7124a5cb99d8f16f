package entry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

// snapshotInterval is the least time between two snapshots that are made only
// for new reports. Each reply carries a report, and a new snapshot for each
// would cost more than routing.
const snapshotInterval = 2 * time.Millisecond

// memberEndpoint is an endpoint as the membership lists it.
type memberEndpoint struct {
	Endpoint string
	Pool     string
	Domain   string
	// Unavailability is why the endpoint takes no work; empty if it does.
	Unavailability route.Unavailability
}

// fleet builds routing snapshots from membership, agent reports and endpoint health.
type fleet struct {
	entry  string
	domain string

	current atomic.Pointer[route.Snapshot]
	// dirty is true if a report arrived after the current snapshot was made.
	dirty atomic.Bool

	mu      sync.Mutex
	members map[string]memberEndpoint
	reports map[string]report
	loads   map[string]*route.Load
	health  *route.Health
	// entries is the number of live entries that share the endpoints, this one included.
	entries int
	// unpublished holds the endpoints whose latest report is in no snapshot yet.
	unpublished map[string]bool
}

// report is the latest report of an agent and the time of its arrival.
type report struct {
	wire.AgentReport
	at time.Time
}

func newFleet(entry, domain string) *fleet {
	f := &fleet{
		entry:       entry,
		domain:      domain,
		members:     make(map[string]memberEndpoint),
		reports:     make(map[string]report),
		loads:       make(map[string]*route.Load),
		health:      route.NewHealth(),
		entries:     1,
		unpublished: make(map[string]bool),
	}
	f.current.Store(&route.Snapshot{Domain: domain, Pools: make(map[string]*route.Pool)})
	return f
}

// setMembers replaces the membership and forgets reports and loads of endpoints
// that are no longer members.
func (f *fleet) setMembers(endpoints []memberEndpoint, entries int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.members)
	f.entries = entries
	byPool := make(map[string][]string)
	for _, p := range endpoints {
		f.members[p.Endpoint] = p
		byPool[p.Pool] = append(byPool[p.Pool], p.Endpoint)
		if f.loads[p.Endpoint] == nil {
			f.loads[p.Endpoint] = new(route.Load)
		}
	}
	maps.DeleteFunc(f.reports, func(name string, _ report) bool { return !f.isMember(name) })
	maps.DeleteFunc(f.loads, func(name string, _ *route.Load) bool { return !f.isMember(name) })
	for pool, names := range byPool {
		f.health.SetMembers(pool, names, now)
	}
	f.rebuild(now)
}

func (f *fleet) isMember(endpoint string) bool {
	_, ok := f.members[endpoint]
	return ok
}

// setReport stores an agent's report. A report that is not newer than the latest
// of the same incarnation arrived out of order and is dropped.
func (f *fleet) setReport(r wire.AgentReport, now time.Time) {
	if r.Endpoint == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	last, known := f.reports[r.Endpoint]
	if known && last.Process.Incarnation == r.Process.Incarnation && r.Seq <= last.Seq {
		return
	}
	f.reports[r.Endpoint] = report{AgentReport: r, at: now}
	f.unpublished[r.Endpoint] = true
	f.dirty.Store(true)
	if r.Draining != last.Draining || r.Down != last.Down || last.Capacity == 0 {
		f.refresh(now)
	}
}

// observe updates the endpoint's health with the outcome of a call that ran for
// the given time, and returns the resulting transitions.
func (f *fleet) observe(pool, endpoint string, outcome route.CallOutcome, ran time.Duration, now time.Time) []route.Transition {
	return f.updateHealth(now, func(h *route.Health) []route.Transition {
		return h.Observe(pool, endpoint, outcome, ran, now)
	})
}

// overdue updates the endpoint's health for a call that has run for longer than
// overdueAfter and has not finished.
func (f *fleet) overdue(pool, endpoint string, now time.Time) []route.Transition {
	return f.updateHealth(now, func(h *route.Health) []route.Transition {
		return h.Overdue(pool, endpoint, now)
	})
}

// tick makes the health transitions that depend on time alone.
func (f *fleet) tick(now time.Time) []route.Transition {
	return f.updateHealth(now, func(h *route.Health) []route.Transition { return h.Tick(now) })
}

// updateHealth applies event to the health state and publishes a new snapshot if
// an endpoint's state changed.
func (f *fleet) updateHealth(now time.Time, event func(*route.Health) []route.Transition) []route.Transition {
	f.mu.Lock()
	defer f.mu.Unlock()
	transitions := event(f.health)
	if len(transitions) > 0 {
		f.rebuild(now)
	}
	return transitions
}

// overdueAfter returns the duration after which a call sent now indicates a slow
// endpoint; zero if it is not known. The time of calls that are queued ahead of
// it at the agent is added, because they are load and not slowness.
func (f *fleet) overdueAfter(pool, endpoint string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := f.health.OverdueAfter(pool)
	if after == 0 {
		return 0
	}
	r := f.reports[endpoint]
	ahead := r.InFlight + r.Queued
	if load := f.loads[endpoint]; load != nil {
		ahead += int(load.SentSinceReport.Load())
	}
	if r.Capacity == 0 || ahead <= r.Capacity {
		return after
	}
	return after + r.P50*time.Duration(ahead-r.Capacity)/time.Duration(r.Capacity)
}

// resetFailures forgets failures that a pause of this process may have caused.
func (f *fleet) resetFailures() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.ResetFailures()
}

// snapshot returns a snapshot that includes every change of membership and
// health, and whose load figures lag by at most about snapshotInterval.
func (f *fleet) snapshot(now time.Time) *route.Snapshot {
	snap := f.current.Load()
	if !f.dirty.Load() || now.Sub(snap.At) < snapshotInterval {
		return snap
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dirty.Load() {
		f.refresh(now)
	}
	return f.current.Load()
}

// refresh publishes a snapshot with the unpublished reports. The membership is
// unchanged, so all other endpoints are copied from the current snapshot.
func (f *fleet) refresh(now time.Time) {
	f.dirty.Store(false)
	old := f.current.Load()
	snap := &route.Snapshot{At: now, Domain: f.domain, Pools: maps.Clone(old.Pools)}
	for name := range f.unpublished {
		p, ok := f.members[name]
		if !ok {
			continue
		}
		if pool := snap.Pools[p.Pool]; pool != nil {
			snap.Pools[p.Pool] = pool.Replace(f.buildEndpoint(p))
		}
	}
	f.publish(snap)
}

// publish makes snap the current snapshot and then resets the count of calls
// sent since the report. Resetting first would make an endpoint look idle until
// the snapshot shows the report that includes those calls.
func (f *fleet) publish(snap *route.Snapshot) {
	f.current.Store(snap)
	for name := range f.unpublished {
		if load := f.loads[name]; load != nil {
			load.SentSinceReport.Store(0)
		}
	}
	clear(f.unpublished)
}

// rebuild publishes a snapshot of all members.
func (f *fleet) rebuild(now time.Time) {
	f.dirty.Store(false)
	byPool := make(map[string][]*route.Endpoint)
	for _, p := range f.members {
		byPool[p.Pool] = append(byPool[p.Pool], f.buildEndpoint(p))
	}
	old := f.current.Load()
	snap := &route.Snapshot{At: now, Domain: f.domain, Pools: make(map[string]*route.Pool, len(byPool))}
	for name, endpoints := range byPool {
		snap.Pools[name] = f.buildPool(old.Pools[name], name, endpoints)
	}
	f.publish(snap)
}

// buildPool returns the pool of a new snapshot, made from the old one if there is one.
func (f *fleet) buildPool(old *route.Pool, name string, endpoints []*route.Endpoint) *route.Pool {
	var pool *route.Pool
	if old != nil {
		pool = old.Refresh(f.entry, endpoints)
	} else {
		pool = route.NewPool(name, f.entry, endpoints)
	}
	pool.Subset = route.SubsetSize(len(endpoints), f.entries)
	return pool
}

// buildEndpoint combines what is known of a member endpoint for a snapshot.
func (f *fleet) buildEndpoint(p memberEndpoint) *route.Endpoint {
	r := f.reports[p.Endpoint]
	e := &route.Endpoint{
		Name:       p.Endpoint,
		Pool:       p.Pool,
		Domain:     p.Domain,
		Report:     r.AgentReport,
		ReportedAt: r.at,
		State:      f.health.State(p.Pool, p.Endpoint),
		Load:       f.loads[p.Endpoint],
	}
	// An agent that reports no capacity has no bundle yet and would refuse every
	// call.
	unready := r.Seq > 0 && r.Capacity == 0
	switch {
	case p.Unavailability != "":
		e.Unavailability = p.Unavailability
	case r.Draining:
		e.Unavailability = route.UnavailableDraining
	case unready:
		e.Unavailability = route.UnavailableNoBundle
	}
	if e.Unavailability != "" {
		e.State = route.StateLeaving
	}
	return e
}

// waitingCapacity returns how many waiting requests may be dispatched to the
// pool now: its free slots, or one if usable endpoints are all full, since their
// agents queue calls. With each report one more can follow.
func (f *fleet) waitingCapacity(pool string, now time.Time) int {
	p := f.snapshot(now).Pools[pool]
	if p == nil {
		return 0
	}
	free, usable := p.Free(now)
	if !usable {
		return 0
	}
	return max(1, free)
}

// load returns the entry's own counters for an endpoint, or nil if it is no member.
func (f *fleet) load(endpoint string) *route.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads[endpoint]
}

// incarnation returns the incarnation in the latest report of the endpoint's agent.
func (f *fleet) incarnation(endpoint string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.reports[endpoint]
	return r.Process.Incarnation, ok
}

// reportList lists the latest reports by endpoint name.
func (f *fleet) reportList() []wire.AgentReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := slices.Sorted(maps.Keys(f.reports))
	list := make([]wire.AgentReport, 0, len(names))
	for _, name := range names {
		list = append(list, f.reports[name].AgentReport)
	}
	return list
}

// usable returns the number of endpoints that may be sent work.
func (f *fleet) usable() int {
	n := 0
	for _, pool := range f.current.Load().Pools {
		for _, e := range pool.Endpoints {
			if e.State == route.StateLive && e.Report.Seq > 0 && !e.Report.Down {
				n++
			}
		}
	}
	return n
}
