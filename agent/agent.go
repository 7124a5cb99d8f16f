// Package agent implements the process that runs next to one endpoint and is
// its only client. It admits, queues and cancels calls, suppresses duplicates,
// and reports the outcome of each call from its own records.
//
// All decisions are made in Core, which does no I/O; Agent executes them.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

const (
	// healthInterval and downInterval are the times between health checks of an
	// endpoint that is up and of one that is down.
	healthInterval = time.Second
	downInterval   = 200 * time.Millisecond
	healthTimeout  = time.Second
	// drainPoll is how often Drain checks whether the last call has ended.
	drainPoll = 10 * time.Millisecond
	// drainLinger is how long the agent must stay idle before Drain returns.
	// The last reply is handed to the connection after its call has ended here,
	// so closing the connections at once would lose that reply.
	drainLinger = 200 * time.Millisecond
)

// Config configures an Agent.
type Config struct {
	Process wire.Process
	// Endpoint and Pool are the names of the agent's endpoint and of its pool.
	Endpoint string
	Pool     string
	// VM is the name of the agent's VM in the platform's VM list.
	VM       string
	Protocol endpoint.Protocol
	Log      zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Records receives the agent's ledger records of requests; nil disables
	// them.
	Records *ledger.Store
	// DropConnections closes all connections to peers. It is called when the
	// agent detects that its process had been paused; nil means no call.
	DropConnections func()
	// Announce sends the agent's report to the entries. It is called when the
	// endpoint goes down, comes back, or starts or stops draining, and must not
	// block; nil means no call.
	Announce func()
	// OnNewerBundle is called when a call carries a newer bundle version than
	// the agent's; it must not block. Nil means no call.
	OnNewerBundle func(version uint64)
	// RefusalsOnly omits decisions to run a call, and successful results, from
	// the log.
	RefusalsOnly bool
	// Bounds sets the memory bounds of the core; its other fields are ignored.
	Bounds CoreConfig
}

// Agent runs calls on one endpoint.
type Agent struct {
	cfg      Config
	log      zerolog.Logger
	core     *Core
	started  time.Time
	head     atomic.Pointer[wire.BundleHead]
	tokens   atomic.Uint64
	arrivals sync.Map // Token to *arrivalState
	cancels  sync.Map // *Run to context.CancelFunc

	decisions decisionCounts

	stop    context.CancelFunc
	stopped context.Context
	wg      sync.WaitGroup
}

// New returns an agent that refuses calls until ApplyBundle and Start are
// called.
func New(cfg Config) *Agent {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	core := cfg.Bounds
	core.Process, core.Endpoint, core.Pool = cfg.Process, cfg.Endpoint, cfg.Pool
	core.Start = cfg.Now()
	a := &Agent{
		cfg:     cfg,
		log:     cfg.Log.With().Str("endpoint", cfg.Endpoint).Str("pool", cfg.Pool).Logger(),
		core:    NewCore(core),
		started: core.Start,
	}
	a.stopped, a.stop = context.WithCancel(context.Background())
	return a
}

// Start begins periodic ticks and health checks.
func (a *Agent) Start() {
	a.execute(a.core.Tick(a.cfg.Now()))
	a.wg.Add(2)
	go a.tickLoop()
	go a.checkHealthLoop()
}

// Stop cancels running calls and waits for them to end. Call Drain first to let
// them complete.
func (a *Agent) Stop() {
	a.core.Drain()
	a.stop()
	a.wg.Wait()
}

// ApplyBundle applies a verified bundle.
func (a *Agent) ApplyBundle(v *bundle.Verified) {
	a.execute(a.core.Configure(a.cfg.Now(), v.Bundle))
	head := v.Head
	a.head.Store(&head)
}

// SetLeaving records whether the platform's VM list shows the agent's VM as
// leaving.
func (a *Agent) SetLeaving(leaving bool) {
	a.log.Info().Str("event", logVMState).Str("vm", a.cfg.VM).Bool("leaving", leaving).Msg("vm state")
	a.core.SetLeaving(a.cfg.Now(), leaving)
}

// Drain refuses new calls and returns once all accepted calls have been
// answered, or with ctx's error.
func (a *Agent) Drain(ctx context.Context) error {
	a.log.Info().Str("event", logDraining).Msg("draining")
	a.core.Drain()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for quiet := time.Duration(0); quiet < drainLinger; quiet += drainPoll {
		if !a.idle() {
			quiet = 0
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// idle reports whether no call runs or waits and no reply is outstanding.
func (a *Agent) idle() bool {
	if !a.core.Idle() {
		return false
	}
	idle := true
	a.arrivals.Range(func(any, any) bool {
		idle = false
		return false
	})
	return idle
}

// Report returns the load and state of the endpoint.
func (a *Agent) Report() wire.AgentReport { return a.core.Report() }

// Status returns the status of this process.
func (a *Agent) Status() wire.Status {
	report := a.core.Report()
	status := wire.Status{
		Process:  a.cfg.Process,
		Draining: report.Draining,
		Uptime:   a.cfg.Now().Sub(a.started),
		Report:   &report,
	}
	if head := a.head.Load(); head != nil {
		status.Bundle = *head
		status.Ready = !report.Draining && !report.Down
	}
	return status
}

func (a *Agent) tickLoop() {
	defer a.wg.Done()
	var announced availability
	sleep.Every(a.stopped, TickInterval, func(time.Time) {
		a.execute(a.core.Tick(a.cfg.Now()))
		a.announceChange(&announced)
	})
}

// availability is the part of a report that decides whether an endpoint
// receives calls.
type availability struct{ draining, down bool }

// announceChange calls Announce if the availability differs from last.
// Otherwise an entry that sends no calls here would learn only from the next
// exchange of hello messages, seconds later, that a crashed endpoint is back.
// After a request has crashed several endpoints, clients would be refused
// meanwhile although there is capacity for them.
func (a *Agent) announceChange(last *availability) {
	report := a.core.Report()
	now := availability{draining: report.Draining, down: report.Down}
	if now == *last {
		return
	}
	*last = now
	if a.cfg.Announce != nil {
		a.cfg.Announce()
	}
}

func (a *Agent) checkHealthLoop() {
	defer a.wg.Done()
	for {
		a.checkHealthOnce()
		wait := healthInterval
		if a.core.Report().Down {
			wait = downInterval
		}
		select {
		case <-a.stopped.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (a *Agent) checkHealthOnce() {
	ctx, cancel := context.WithTimeout(a.stopped, healthTimeout)
	defer cancel()
	h, err := a.cfg.Protocol.Health(ctx)
	if a.stopped.Err() != nil {
		return
	}
	a.execute(a.core.Health(a.cfg.Now(), h, err))
}
