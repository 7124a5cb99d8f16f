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
	// shardCount is the number of shards of the call and identity tables.
	shardCount = 32
	// maxTimeToDeadline is the longest accepted time until a call's deadline.
	// It bounds memory that is held until a deadline.
	maxTimeToDeadline = time.Hour
	// unrepeatableGrace is how long after its deadline an unrepeatable call may
	// stay on the endpoint when nobody waits for it any more. Its client cannot
	// run it again, only resend it to ask for the result, which exists if the
	// call could finish.
	unrepeatableGrace = 5 * time.Second
	// downRetryAfter is the retry delay returned for calls to an endpoint that
	// is down.
	downRetryAfter = 500 * time.Millisecond
	// downThreshold is the number of consecutive failed health checks that mark
	// an endpoint as down. A single check may fail for lack of a connection.
	downThreshold = 2
	// leavingClearDelay is how long the VM list must show this VM as live again
	// before the agent accepts calls again. A stale copy of the list may be
	// read at any time, and an endpoint on a VM that does leave must not accept
	// calls because of it.
	leavingClearDelay = 10 * time.Second
)

// Default bounds of the core's memory.
const (
	DefaultMaxCalls             = 1 << 17
	DefaultMaxUnrepeatable      = 1 << 16
	DefaultMaxUnrepeatableBytes = 128 << 20
	DefaultMaxResults           = 1 << 12
	DefaultMaxResultBytes       = 64 << 20
)

// CoreConfig configures a Core. A bound of zero means its default.
type CoreConfig struct {
	Process  wire.Process
	Endpoint string
	Pool     string
	// Start is when this process started, on its wall clock.
	Start time.Time
	// MaxCalls bounds the number of calls remembered by ID.
	MaxCalls int
	// MaxUnrepeatable and MaxUnrepeatableBytes bound the number of identities
	// of unrepeatable calls and the bytes of their results. At a bound, new
	// unrepeatable calls are refused.
	MaxUnrepeatable      int
	MaxUnrepeatableBytes int
	// MaxResults and MaxResultBytes bound the cached results of repeatable
	// calls; the least recently used are evicted.
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

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// limits returns the bounds of one shard; each shard has room for at least one
// item.
func (c *CoreConfig) limits() tableLimits {
	share := func(total int) int { return max(1, total/shardCount) }
	return tableLimits{
		unrepeatable:      share(c.MaxUnrepeatable),
		unrepeatableBytes: share(c.MaxUnrepeatableBytes),
		results:           share(c.MaxResults),
		resultBytes:       share(c.MaxResultBytes),
	}
}

// Core makes the decisions for one endpoint. It does no I/O: each method takes
// an event and its time and returns the effects to execute. Its methods are
// safe for concurrent use. Locks are acquired in the order identity shard, call
// shard, admission, and no goroutine holds two of a kind.
type Core struct {
	cfg         CoreConfig
	pause       pauseDetector
	settings    atomic.Pointer[settings]
	configureMu sync.Mutex
	calls       *callTable
	identities  *identityTable
	admission   *admission
	// sweepCount counts sweeps; it selects the next shard to sweep.
	sweepCount atomic.Uint64

	state struct {
		sync.Mutex
		// terminating means that Drain was called; it is never reset.
		terminating bool
		// leaving means that the VM list shows the agent's VM as leaving.
		leaving bool
		// notLeavingSince is when the list first showed the VM as live again;
		// zero if it does not.
		notLeavingSince time.Time
		// failedChecks is the number of consecutive failed health checks.
		failedChecks int
		models       []string
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

// phase is the progress of a run.
type phase uint8

const (
	// phaseWaiting means that the run is queued or about to be written to the
	// endpoint.
	phaseWaiting phase = iota
	// phaseRunning means that the run is committed and may have been written.
	phaseRunning
	// phaseEnded means that the run has a final result.
	phaseEnded
)

// Run is one execution of a call, shared by all arrivals that wait for its
// result. All fields but ended and schedState are guarded by the lock of its
// identity shard.
type Run struct {
	call  wire.StageCall
	shard *identityShard
	// record is the identity's record; nil if resends of the call are not
	// recognised.
	record  *record
	waiters []waiter
	phase   phase
	// mayHaveRun means that the call was or may have been written to the
	// endpoint. It is valid once the phase is phaseEnded.
	mayHaveRun bool
	// cancelled is why the core cancelled the run on the endpoint; empty if it
	// did not.
	cancelled api.Reason
	// epoch is the pause epoch in which the call arrived.
	epoch    uint64
	received time.Time
	started  time.Time
	// cost is the endpoint time charged to the run, set when it ends.
	cost time.Duration

	// ended is set with phaseEnded, for readers without the shard's lock.
	ended atomic.Bool
	// schedState is guarded by the lock of admission.
	schedState schedState
}

// ID returns the ID of the call that started the run.
func (r *Run) ID() wire.CallID { return r.call.ID }

// waiter is one arrival that waits for a run.
type waiter struct {
	token   Token
	id      wire.CallID
	arrived time.Time
	// deadline is this arrival's deadline on this process's clock.
	deadline time.Time
	// joined means that another arrival started the run.
	joined bool
}

// deadline returns the latest deadline of the waiters; zero if there are none.
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
	c.configureMu.Lock()
	defer c.configureMu.Unlock()
	old := c.settings.Load()
	if b.Version <= old.version {
		return fx.list
	}
	next := old.next(now, b, c.cfg.Pool)
	c.settings.Store(next)
	c.admission.setTypical(typicalTime(b, c.cfg.Pool))
	if next.pool == nil {
		return fx.list
	}
	started, displaced := c.admission.resize(next.pool.Concurrency, next.pool.Queue)
	c.startRuns(started, &fx)
	for _, run := range displaced {
		c.refuseRun(now, run, api.ReasonOverloaded, &fx)
	}
	return fx.list
}

// observe checks at each event whether the process was paused before now, and
// handles the pause if it was.
func (c *Core) observe(now time.Time, fx *effects) pauseStatus {
	status := c.pause.observe(now)
	c.handlePause(now, status, fx)
	return status
}

// handlePause refuses the queued calls after a pause and drops the connections:
// messages in their buffers were sent to a process that did not read them, so
// their age is unknown.
func (c *Core) handlePause(now time.Time, status pauseStatus, fx *effects) {
	if status.gap == 0 {
		return
	}
	for _, run := range c.admission.flush() {
		c.refuseRun(now, run, api.ReasonPaused, fx)
	}
	fx.add(DropConnections{Gap: status.gap})
}

// Tick performs the periodic work; it must be called every TickInterval.
func (c *Core) Tick(now time.Time) []Effect {
	var fx effects
	c.handlePause(now, c.pause.tick(now), &fx)
	c.admission.refreshQuantiles()
	c.clearLeaving(now)
	c.sweep(now)
	return fx.list
}

// sweep removes expired items from one shard of each table per call.
func (c *Core) sweep(now time.Time) {
	i := int(c.sweepCount.Add(1) % shardCount)
	c.calls.sweep(now, i)
	shard := &c.identities.shards[i]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.sweep(now)
}

// Drain makes the agent refuse new calls permanently.
func (c *Core) Drain() {
	c.state.Lock()
	defer c.state.Unlock()
	c.state.terminating = true
}

// SetLeaving records whether the VM list shows the agent's VM as leaving.
// Leaving takes effect at once, its end only after leavingClearDelay.
func (c *Core) SetLeaving(now time.Time, leaving bool) {
	c.state.Lock()
	defer c.state.Unlock()
	switch {
	case leaving:
		c.state.leaving = true
		c.state.notLeavingSince = time.Time{}
	case c.state.leaving && c.state.notLeavingSince.IsZero():
		c.state.notLeavingSince = now
	}
}

// clearLeaving ends leaving once the VM has been live for leavingClearDelay.
func (c *Core) clearLeaving(now time.Time) {
	c.state.Lock()
	defer c.state.Unlock()
	cleared := c.state.notLeavingSince
	if cleared.IsZero() || now.Sub(cleared) < leavingClearDelay {
		return
	}
	c.state.leaving = false
	c.state.notLeavingSince = time.Time{}
}

func (c *Core) draining() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return c.state.terminating || c.state.leaving
}

// Health processes the result of a health check; err is nil if the endpoint
// answered.
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
	down := c.state.failedChecks >= downThreshold
	c.state.Unlock()
	switch {
	case up:
		c.startRuns(c.admission.markUp(), &fx)
	case down:
		c.endpointDown(now, &fx)
	}
	return fx.list
}

// endpointDown marks the endpoint as down and refuses the queued calls, so that
// their senders can use another endpoint.
func (c *Core) endpointDown(now time.Time, fx *effects) {
	for _, run := range c.admission.markDown() {
		c.refuseRun(now, run, api.ReasonNoEndpoint, fx)
	}
}

// Report returns the load and state of the endpoint.
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
	c.admission.fillReport(&report)
	return report
}

// Idle reports whether no call runs or waits.
func (c *Core) Idle() bool {
	report := c.Report()
	return report.InFlight == 0 && report.Queued == 0
}

// ledgerRecord returns a ledger record with the fields that all records of a
// call share.
func (c *Core) ledgerRecord(now time.Time, call *wire.StageCall, kind ledger.Kind) ledger.Record {
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
