package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

const (
	shardCount = 32
	// maxCallLife is the longest time until a deadline that is taken for
	// serious; memory that is held until a deadline is bounded by it.
	maxCallLife = time.Hour
	// finishGrace is how long after its deadline an unrepeatable call may stay
	// on the endpoint. Its caller cannot send it anew, only ask again, and finds
	// an answer if the call was left to finish.
	finishGrace = 5 * time.Second
	// healthRetry is when a caller may come back to an endpoint that is down.
	healthRetry = 500 * time.Millisecond
	// downAfter is the number of failed health checks in a row that mark an
	// endpoint as down; one may fail for want of a connection.
	downAfter = 2
	// leavingHold is how long the VM list must show this VM as live again
	// before the agent believes it. A stale copy of the list may be read at any
	// time, and an endpoint that does leave must not take work for it.
	leavingHold = 10 * time.Second
)

// Bounds of the core's memory.
const (
	DefaultMaxCalls             = 1 << 17
	DefaultMaxUnrepeatable      = 1 << 16
	DefaultMaxUnrepeatableBytes = 128 << 20
	DefaultMaxResults           = 1 << 12
	DefaultMaxResultBytes       = 64 << 20
)

// CoreConfig is what a Core is made of. A bound of zero means its default.
type CoreConfig struct {
	Process  wire.Process
	Endpoint string
	Pool     string
	// Start is when this process began, on its wall clock.
	Start time.Time
	// MaxCalls bounds the calls remembered by ID.
	MaxCalls int
	// MaxUnrepeatable and MaxUnrepeatableBytes bound the identities of
	// unrepeatable calls and their results. When full, new ones are refused.
	MaxUnrepeatable      int
	MaxUnrepeatableBytes int
	// MaxResults and MaxResultBytes bound the held results of repeatable calls.
	MaxResults     int
	MaxResultBytes int
}

func (c *CoreConfig) setDefaults() {
	c.MaxCalls = orDefault(c.MaxCalls, DefaultMaxCalls)
	c.MaxUnrepeatable = orDefault(c.MaxUnrepeatable, DefaultMaxUnrepeatable)
	c.MaxUnrepeatableBytes = orDefault(c.MaxUnrepeatableBytes, DefaultMaxUnrepeatableBytes)
	c.MaxResults = orDefault(c.MaxResults, DefaultMaxResults)
	c.MaxResultBytes = orDefault(c.MaxResultBytes, DefaultMaxResultBytes)
}

func orDefault(value, standard int) int {
	if value > 0 {
		return value
	}
	return standard
}

// limits are for one shard; each shard has room for at least one.
func (c *CoreConfig) limits() tableLimits {
	share := func(total int) int { return max(1, total/shardCount) }
	return tableLimits{
		unrepeatable:      share(c.MaxUnrepeatable),
		unrepeatableBytes: share(c.MaxUnrepeatableBytes),
		results:           share(c.MaxResults),
		resultBytes:       share(c.MaxResultBytes),
	}
}

// Core decides for one endpoint. It does no I/O: each method takes an event and
// its time and returns what is to be done. Its methods may be called by several
// threads at once; locks are taken in the order identity shard, call shard,
// admission, and never two of a kind.
type Core struct {
	cfg        CoreConfig
	pause      pauseGuard
	settings   atomic.Pointer[settings]
	configure  sync.Mutex
	calls      *callTable
	identities *identityTable
	admission  *admission
	sweeps     atomic.Uint64

	state struct {
		sync.Mutex
		terminating bool
		leaving     bool
		// leavingCleared is since when the list has shown the VM as live again.
		leavingCleared time.Time
		failedChecks   int
		models         []string
	}
}

// NewCore returns a core without a bundle; it refuses calls until Configure.
func NewCore(cfg CoreConfig) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg:        cfg,
		calls:      newCallTable(cfg.MaxCalls),
		identities: newIdentityTable(cfg.limits()),
		admission:  newAdmission(),
	}
	c.settings.Store(defaultSettings(cfg.Start))
	return c
}

// phase is how far a run got.
type phase uint8

const (
	// phaseWaiting: queued, or about to be written.
	phaseWaiting phase = iota
	// phaseRunning: it may have been written.
	phaseRunning
	phaseEnded
)

// Run is one execution of a call, for one or more arrivals that wait for it.
// It is guarded by its identity shard's lock but for place.
type Run struct {
	call  wire.StageCall
	shard *identityShard
	// record is nil if the call is not recognised when it is sent again.
	record  *record
	waiters []waiter
	phase   phase
	// ran: it was or may have been written; meaningful once ended.
	ran bool
	// cancelled is why the core has cancelled it on the endpoint; empty if not.
	cancelled api.Reason
	epoch     uint64
	received  time.Time
	started   time.Time
	cost      time.Duration

	// ended follows phase, for readers without the shard's lock.
	ended atomic.Bool
	place place
}

// ID returns the ID of the call that started the run.
func (r *Run) ID() wire.CallID { return r.call.ID }

// waiter is one arrival that waits for a run.
type waiter struct {
	token   Token
	id      wire.CallID
	arrived time.Time
	// deadline is the arrival's own, on this process's clock.
	deadline time.Time
	// joined: the run was started by another arrival.
	joined bool
}

// deadline is the latest of those that still wait; zero if nobody does.
func (r *Run) deadline() time.Time {
	var latest time.Time
	for i := range r.waiters {
		latest = laterOf(latest, r.waiters[i].deadline)
	}
	return latest
}

// Configure applies a newer bundle; an older or equal one is ignored.
func (c *Core) Configure(now time.Time, b *bundle.Bundle) []Effect {
	var fx effects
	c.observe(now, &fx)
	c.configure.Lock()
	defer c.configure.Unlock()
	old := c.settings.Load()
	if b.Version <= old.version {
		return fx.list
	}
	next := old.next(now, b, c.cfg.Pool)
	c.settings.Store(next)
	c.admission.setTypical(typical(b, c.cfg.Pool))
	if next.pool == nil {
		return fx.list
	}
	started, displaced := c.admission.resize(next.pool.Concurrency, next.pool.Queue)
	c.start(started, &fx)
	for _, run := range displaced {
		c.refuseRun(now, run, api.ReasonOverloaded, &fx)
	}
	return fx.list
}

// observe notes that the process is running at now. If it was stopped, what
// waited for the endpoint is refused and the connections are dropped: whatever
// waits in their buffers was written to a process that did not read it.
func (c *Core) observe(now time.Time, fx *effects) pauseView {
	view := c.pause.observe(now)
	c.woke(now, view, fx)
	return view
}

func (c *Core) woke(now time.Time, view pauseView, fx *effects) {
	if view.gap == 0 {
		return
	}
	for _, run := range c.admission.flush() {
		c.refuseRun(now, run, api.ReasonPaused, fx)
	}
	fx.add(DropConnections{Gap: view.gap})
}

// Tick must be called every TickInterval.
func (c *Core) Tick(now time.Time) []Effect {
	var fx effects
	c.woke(now, c.pause.tick(now), &fx)
	c.admission.refresh()
	c.clearLeaving(now)
	c.sweep(now)
	return fx.list
}

// sweep forgets what has expired, one shard a tick.
func (c *Core) sweep(now time.Time) {
	i := int(c.sweeps.Add(1) % shardCount)
	c.calls.sweep(now, i)
	shard := &c.identities.shards[i]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.sweep(now)
}

// Drain makes the agent refuse new calls for good.
func (c *Core) Drain() {
	c.state.Lock()
	defer c.state.Unlock()
	c.state.terminating = true
}

// SetLeaving notes what the VM list says of the agent's own VM. Leaving is
// believed at once; its contrary after leavingHold.
func (c *Core) SetLeaving(now time.Time, leaving bool) {
	c.state.Lock()
	defer c.state.Unlock()
	switch {
	case leaving:
		c.state.leaving = true
		c.state.leavingCleared = time.Time{}
	case c.state.leaving && c.state.leavingCleared.IsZero():
		c.state.leavingCleared = now
	}
}

func (c *Core) clearLeaving(now time.Time) {
	c.state.Lock()
	defer c.state.Unlock()
	cleared := c.state.leavingCleared
	if cleared.IsZero() || now.Sub(cleared) < leavingHold {
		return
	}
	c.state.leaving = false
	c.state.leavingCleared = time.Time{}
}

func (c *Core) draining() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.state.terminating || c.state.leaving
}

// Health notes the outcome of a health check; err is nil if the endpoint answered.
func (c *Core) Health(now time.Time, h endpoint.Health, err error) []Effect {
	var fx effects
	c.observe(now, &fx)
	up := err == nil && h.Up
	c.state.Lock()
	if up {
		c.state.failedChecks = 0
		c.state.models = h.Models
	} else {
		c.state.failedChecks++
	}
	down := c.state.failedChecks >= downAfter
	c.state.Unlock()
	switch {
	case up:
		c.start(c.admission.up(), &fx)
	case down:
		c.endpointDown(now, &fx)
	}
	return fx.list
}

// endpointDown refuses what waits for the endpoint, so that it can go elsewhere.
func (c *Core) endpointDown(now time.Time, fx *effects) {
	for _, run := range c.admission.setDown() {
		c.refuseRun(now, run, api.ReasonNoEndpoint, fx)
	}
}

// Report returns the state of the endpoint.
func (c *Core) Report() wire.AgentReport {
	report := wire.AgentReport{
		Process:  c.cfg.Process,
		Endpoint: c.cfg.Endpoint,
		Pool:     c.cfg.Pool,
	}
	c.state.Lock()
	report.Draining = c.state.terminating || c.state.leaving
	report.Models = c.state.models
	c.state.Unlock()
	c.admission.report(&report)
	return report
}

// Idle tells whether no call runs or waits.
func (c *Core) Idle() bool {
	report := c.Report()
	return report.InFlight == 0 && report.Queued == 0
}

// fact returns a record of a call with what is common to all.
func (c *Core) fact(now time.Time, call *wire.StageCall, kind ledger.Kind) ledger.Record {
	return ledger.Record{
		Request:  call.ID.Request,
		At:       now,
		Process:  c.cfg.Process.Name,
		Kind:     kind,
		Account:  call.Account,
		Pipeline: call.Pipeline,
		Stage:    call.ID.Stage,
		Endpoint: c.cfg.Endpoint,
		Entry:    call.ID.Entry,
		Attempt:  call.ID.Attempt,
	}
}
