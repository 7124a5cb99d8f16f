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

// snapshotInterval bounds how often reports rebuild the snapshot: each reply
// carries a report, and one rebuild for each would cost more than routing.
const snapshotInterval = 2 * time.Millisecond

// place is what the membership says of an endpoint.
type place struct {
	Endpoint string
	Pool     string
	Domain   string
	// Away is why it takes no work; empty if it does.
	Away route.Away
}

// fleet turns membership, reports and health into routing snapshots.
type fleet struct {
	entry  string
	domain string

	current atomic.Pointer[route.Snapshot]
	dirty   atomic.Bool

	mu      sync.Mutex
	places  map[string]place
	reports map[string]report
	loads   map[string]*route.Load
	health  *route.Health
	// entries is the number of live entries, which share the endpoints.
	entries int
	// fresh names the endpoints with a report that no snapshot shows yet.
	fresh map[string]bool
}

// report is an agent's latest word on its endpoint.
type report struct {
	wire.AgentReport
	at time.Time
}

func newFleet(entry, domain string) *fleet {
	f := &fleet{
		entry:   entry,
		domain:  domain,
		places:  make(map[string]place),
		reports: make(map[string]report),
		loads:   make(map[string]*route.Load),
		health:  route.NewHealth(),
		entries: 1,
		fresh:   make(map[string]bool),
	}
	f.current.Store(&route.Snapshot{Domain: domain, Pools: make(map[string]*route.Pool)})
	return f
}

// setPlaces replaces the membership.
func (f *fleet) setPlaces(places []place, entries int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.places)
	f.entries = entries
	byPool := make(map[string][]string)
	for _, p := range places {
		f.places[p.Endpoint] = p
		byPool[p.Pool] = append(byPool[p.Pool], p.Endpoint)
		if f.loads[p.Endpoint] == nil {
			f.loads[p.Endpoint] = new(route.Load)
		}
	}
	maps.DeleteFunc(f.reports, func(name string, _ report) bool { return !f.member(name) })
	maps.DeleteFunc(f.loads, func(name string, _ *route.Load) bool { return !f.member(name) })
	for pool, names := range byPool {
		f.health.SetMembers(pool, names, now)
	}
	f.rebuild(now)
}

func (f *fleet) member(endpoint string) bool {
	_, ok := f.places[endpoint]
	return ok
}

// setReport takes in an agent's report. One that is older than the latest of
// the same incarnation came late or out of order and is dropped.
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
	f.fresh[r.Endpoint] = true
	f.dirty.Store(true)
	if r.Draining != last.Draining || r.Down != last.Down || last.Capacity == 0 {
		f.refresh(now)
	}
}

// observe takes in how a call to an endpoint ended.
func (f *fleet) observe(pool, endpoint string, outcome route.CallOutcome, ran time.Duration, now time.Time) []route.Transition {
	return f.judge(now, func(h *route.Health) []route.Transition {
		return h.Observe(pool, endpoint, outcome, ran, now)
	})
}

// overdue takes in that a call has been running for long and is not finished.
func (f *fleet) overdue(pool, endpoint string, now time.Time) []route.Transition {
	return f.judge(now, func(h *route.Health) []route.Transition {
		return h.Overdue(pool, endpoint, now)
	})
}

// tick makes the health transitions that are due by time alone.
func (f *fleet) tick(now time.Time) []route.Transition {
	return f.judge(now, func(h *route.Health) []route.Transition { return h.Tick(now) })
}

func (f *fleet) judge(now time.Time, event func(*route.Health) []route.Transition) []route.Transition {
	f.mu.Lock()
	defer f.mu.Unlock()
	transitions := event(f.health)
	if len(transitions) > 0 {
		f.rebuild(now)
	}
	return transitions
}

// overdueAfter is the time from which a call that is sent now tells of a slow
// endpoint; zero if not known. Calls that are ahead of it at the agent are load
// and not slowness, so their time is added.
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

// pardon forgets failures that a pause of this process may have caused.
func (f *fleet) pardon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health.Pardon()
}

// snapshot returns a view no older than the latest change of state and, for
// load, than snapshotInterval.
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

// refresh shows the fresh reports. Membership is as it was, so all other
// endpoints are taken over.
func (f *fleet) refresh(now time.Time) {
	f.dirty.Store(false)
	old := f.current.Load()
	snap := &route.Snapshot{At: now, Domain: f.domain, Pools: maps.Clone(old.Pools)}
	for name := range f.fresh {
		p, ok := f.places[name]
		if !ok {
			continue
		}
		if pool := snap.Pools[p.Pool]; pool != nil {
			snap.Pools[p.Pool] = pool.Replace(f.endpoint(p))
		}
	}
	f.show(snap)
}

// show puts a snapshot in place. The own sends are forgotten only once
// decisions see the report that counts them; the other way round an endpoint
// would look idle between.
func (f *fleet) show(snap *route.Snapshot) {
	f.current.Store(snap)
	for name := range f.fresh {
		if load := f.loads[name]; load != nil {
			load.SentSinceReport.Store(0)
		}
	}
	clear(f.fresh)
}

func (f *fleet) rebuild(now time.Time) {
	f.dirty.Store(false)
	byPool := make(map[string][]*route.Endpoint)
	for _, p := range f.places {
		byPool[p.Pool] = append(byPool[p.Pool], f.endpoint(p))
	}
	old := f.current.Load()
	snap := &route.Snapshot{At: now, Domain: f.domain, Pools: make(map[string]*route.Pool, len(byPool))}
	for name, endpoints := range byPool {
		snap.Pools[name] = f.pool(old.Pools[name], name, endpoints)
	}
	f.show(snap)
}

func (f *fleet) pool(old *route.Pool, name string, endpoints []*route.Endpoint) *route.Pool {
	var pool *route.Pool
	if old != nil {
		pool = old.Refresh(f.entry, endpoints)
	} else {
		pool = route.NewPool(name, f.entry, endpoints)
	}
	pool.Subset = route.SubsetSize(len(endpoints), f.entries)
	return pool
}

func (f *fleet) endpoint(p place) *route.Endpoint {
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
	// An agent that has told its load but no capacity holds no bundle yet and
	// would refuse every call.
	unready := r.Seq > 0 && r.Capacity == 0
	switch {
	case p.Away != "":
		e.Away = p.Away
	case r.Draining:
		e.Away = route.AwayDraining
	case unready:
		e.Away = route.AwayUnready
	}
	if e.Away != "" {
		e.State = route.StateLeaving
	}
	return e
}

// room returns how many waiting requests the pool takes now. An endpoint
// that takes work but is full gets one at a time, with each report: it queues.
func (f *fleet) room(pool string, now time.Time) int {
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

// load returns the entry's own counters for an endpoint, or nil.
func (f *fleet) load(endpoint string) *route.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads[endpoint]
}

// incarnation returns the running incarnation of the agent beside an endpoint.
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

// usable counts the endpoints that may take work.
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
