// Package agent is the process beside one endpoint and the only way to it. It
// decides which calls run, in which order and until when, suppresses
// duplicates, and tells first-hand what became of each call. The decisions are
// in Core, which does no I/O; Agent carries them out.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

const (
	// healthInterval and downInterval are the times between health checks of an
	// endpoint that is up and of one that is down.
	healthInterval = time.Second
	downInterval   = 200 * time.Millisecond
	healthTimeout  = time.Second
	// drainPoll is how often Drain looks whether the last call has ended.
	drainPoll = 10 * time.Millisecond
	// drainLinger is how long Drain waits once nothing runs. The last reply is
	// handed to the connection after its call has ended here, and whoever closes
	// the connections next would cut it off.
	drainLinger = 200 * time.Millisecond
)

// Config is what an Agent is made of.
type Config struct {
	Process wire.Process
	// Endpoint and Pool name what the agent stands beside.
	Endpoint string
	Pool     string
	// VM is the agent's own line in the platform's list.
	VM       string
	Protocol endpoint.Protocol
	Log      zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Records receives what the agent knows of requests; nil keeps none.
	Records *ledger.Store
	// DropConnections closes all connections to peers; it is called when the
	// process finds that it was stopped. Nil for none.
	DropConnections func()
	// Announce tells the entries of the agent's report; it is called when the
	// endpoint goes down, comes back or stops taking work, and must not block. Nil
	// for none.
	Announce func()
	// OnNewerBundle is called when a call was made under a newer bundle than the
	// agent holds; it must not block. Nil for none.
	OnNewerBundle func(version uint64)
	// RefusalsOnly leaves decisions to run a call, and their success, out of the log.
	RefusalsOnly bool
	// Bounds sets the bounds of the core; its other fields are ignored.
	Bounds CoreConfig
}

// Agent runs calls on one endpoint.
type Agent struct {
	cfg     Config
	log     zerolog.Logger
	core    *Core
	started time.Time
	head    atomic.Pointer[wire.BundleHead]
	tokens  atomic.Uint64
	waiting sync.Map // Token to *arrivalState
	cancels sync.Map // *Run to context.CancelFunc

	decisions decisionCounts

	stop    context.CancelFunc
	stopped context.Context
	wg      sync.WaitGroup
}

// New returns an agent that refuses calls until ApplyBundle and Start.
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

// Start begins ticks and health checks.
func (a *Agent) Start() {
	a.do(a.core.Tick(a.cfg.Now()))
	a.wg.Add(2)
	go a.tick()
	go a.checkHealth()
}

// Stop cancels what still runs and waits for it. Drain comes first when no
// call may be cut.
func (a *Agent) Stop() {
	a.core.Drain()
	a.stop()
	a.wg.Wait()
}

// ApplyBundle puts a verified bundle in force.
func (a *Agent) ApplyBundle(v *bundle.Verified) {
	a.do(a.core.Configure(a.cfg.Now(), v.Bundle))
	head := v.Head
	a.head.Store(&head)
}

// SetLeaving notes whether the platform lists the agent's VM as leaving.
func (a *Agent) SetLeaving(leaving bool) {
	a.log.Info().Str("event", logVMState).Str("vm", a.cfg.VM).Bool("leaving", leaving).Msg("vm state")
	a.core.SetLeaving(a.cfg.Now(), leaving)
}

// Drain refuses new calls and returns when all that were accepted have been
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

// idle tells whether nothing runs and no reply is outstanding.
func (a *Agent) idle() bool {
	if !a.core.Idle() {
		return false
	}
	idle := true
	a.waiting.Range(func(any, any) bool {
		idle = false
		return false
	})
	return idle
}

// Report returns the load and state of the endpoint.
func (a *Agent) Report() wire.AgentReport { return a.core.Report() }

// Status returns the process as it sees itself.
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

func (a *Agent) tick() {
	defer a.wg.Done()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var announced availability
	for {
		select {
		case <-a.stopped.Done():
			return
		case <-ticker.C:
			a.do(a.core.Tick(a.cfg.Now()))
			a.announceChange(&announced)
		}
	}
}

// availability is what of a report decides whether an endpoint gets work.
type availability struct{ draining, down bool }

// announceChange announces a change of availability. Without it an entry that
// sends nothing here would learn only by the next exchange of hellos, seconds
// later, that a crashed endpoint is back. When a request has crashed several
// endpoints that shows as callers who are refused though there is room for them.
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

func (a *Agent) checkHealth() {
	defer a.wg.Done()
	for {
		a.probe()
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

func (a *Agent) probe() {
	ctx, cancel := context.WithTimeout(a.stopped, healthTimeout)
	defer cancel()
	h, err := a.cfg.Protocol.Health(ctx)
	if a.stopped.Err() != nil {
		return
	}
	a.do(a.core.Health(a.cfg.Now(), h, err))
}
