// Package entry serves callers' requests over HTTP. It passes events to the
// pipeline core, which makes the decisions, and executes the core's effects.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/limit"
	"github.com/mangostage/mangostage/member"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/pipeline"
	"github.com/mangostage/mangostage/reqid"
	"github.com/mangostage/mangostage/retry"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// tickInterval is the period of the background work: health transitions that
// depend on time, crash counts, waiting requests and membership views.
const tickInterval = 100 * time.Millisecond

// failureResetGap is the time between two ticks above which this process was
// certainly paused and the failures that it saw may be its own fault.
const failureResetGap = time.Second

// Members is the part of the membership service that an entry uses.
// *member.Service implements it.
type Members interface {
	Agent(endpoint string) (*peer.Conn, bool)
	Agents() []*peer.Conn
	Entries() []*peer.Conn
	View() *member.View
	Ready() bool
	Stalled() bool
}

// Config configures an Entry.
type Config struct {
	Process wire.Process
	// FleetKeys sign and verify request IDs; the first signs.
	FleetKeys []reqid.Key
	Log       zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now     func() time.Time
	Records *ledger.Store
	// MaxBody is the largest accepted request body in bytes. A bundle can lower
	// it for a pipeline but not raise it.
	MaxBody int64
	// RefusalsOnly means that routing decisions are logged only if no endpoint was found.
	RefusalsOnly bool
}

// Entry serves callers' requests and routes their stages to endpoints.
type Entry struct {
	cfg       Config
	core      *pipeline.Core
	fleet     *fleet
	estimates *route.Estimator
	costs     *costs
	waiters   *waiters
	stats     stats
	pauses    pauseDetector

	members Members
	current atomic.Pointer[generation]
	// refs is the last reference number given to a submission.
	refs atomic.Uint64
	// sentTo maps each wire.CallID to the incarnation of the agent that the call
	// was sent to. Elements are deleted replyGrace after the call's deadline.
	sentTo sync.Map

	// resuming is held by the goroutine that dispatches waiting requests.
	resuming sync.Mutex

	suspects crashSharing
	// draining is true from the start of Drain: the entry reports unready.
	draining atomic.Bool
	// refusing is true once Drain has waited for the balancer: new requests are refused.
	refusing atomic.Bool
	// viewApplied is true once the first membership view has been applied.
	viewApplied atomic.Bool
	wg          sync.WaitGroup
	stop        context.CancelFunc
	ctx         context.Context
	started     time.Time
}

// generation is everything that is derived from one adopted bundle. It is
// immutable except for the state inside its policies.
type generation struct {
	verified *bundle.Verified
	creds    *credentials
	router   route.Router
	limiter  limit.Limiter
	retry    retry.Policy
	suspects *suspect.Table
}

// New returns an entry that refuses all requests until a bundle is applied.
func New(cfg Config) *Entry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	e := &Entry{
		cfg:       cfg,
		fleet:     newFleet(cfg.Process.Name, cfg.Process.Domain),
		estimates: route.NewEstimator(),
		costs:     newCosts(),
		waiters:   newWaiters(),
		started:   cfg.Now(),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	policies := (*policies)(e)
	e.core = pipeline.New(pipeline.Config{
		Entry:     e.name(),
		Picker:    pipeline.NewRouterPicker(policies.router, e.fleet.snapshot, rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Retrier:   policies,
		Suspects:  policies,
		Quantiles: e.estimates,
	})
	return e
}

// name identifies this run of the entry by name and incarnation, so that
// messages of an earlier run are not mistaken for its own.
func (e *Entry) name() string { return e.cfg.Process.Name + "@" + e.cfg.Process.Incarnation }

// Register adds the entry's peer methods to mux. It must be called before Start.
func (e *Entry) Register(mux *peer.Mux) {
	peer.HandleNotification(mux, wire.MethodStageChunk, func(_ *peer.Conn, c wire.StageChunk) {
		e.handle(pipeline.StageChunk{StageChunk: c})
	})
	peer.HandleNotification(mux, wire.MethodRecordCopy, func(_ *peer.Conn, r ledger.Record) {
		e.cfg.Records.Add(r)
	})
	peer.HandleNotification(mux, wire.MethodSuspects, func(_ *peer.Conn, counts []suspect.Count) {
		if g := e.current.Load(); g != nil {
			g.suspects.Merge(counts, e.cfg.Now())
		}
	})
	peer.HandleCall(mux, wire.MethodRecords, func(_ context.Context, _ *peer.Conn, q wire.RecordsQuery) ([]ledger.Record, error) {
		return e.cfg.Records.Get(q.Request), nil
	})
	peer.HandleCall(mux, wire.MethodStatus, func(context.Context, *peer.Conn, struct{}) (wire.Status, error) {
		return e.Status(), nil
	})
}

// Start starts the background work with the given membership.
func (e *Entry) Start(members Members) {
	e.members = members
	e.wg.Add(1)
	go e.tickLoop()
}

func (e *Entry) tickLoop() {
	defer e.wg.Done()
	last := e.cfg.Now()
	var applied *member.View
	sleep.Every(e.ctx, tickInterval, func(time.Time) {
		now := e.cfg.Now()
		if now.Sub(last) > failureResetGap {
			e.fleet.resetFailures()
		}
		last = now
		e.pauses.tick(now)
		e.handleTransitions(e.fleet.tick(now))
		e.shareCrashCounts(now)
		e.resumeWaiting()
		// Connection changes are not reported separately; each of them produces
		// a new view.
		if view := e.members.View(); view != applied {
			applied = view
			e.ApplyView(view)
			e.viewApplied.Store(true)
		}
	})
}

// ApplyBundle makes an adopted bundle effective for subsequent requests. It
// fails, and the previous bundle stays in force, if a policy cannot be built.
func (e *Entry) ApplyBundle(v *bundle.Verified) error {
	policy := v.Bundle.Policy
	router, err := route.NewRouter(policy)
	if err != nil {
		return errorx.Decorate(err, "bundle %d", v.Head.Version)
	}
	retrier, err := e.retrierFor(policy)
	if err != nil {
		return errorx.Decorate(err, "bundle %d", v.Head.Version)
	}
	limiter, err := e.limiterFor(policy)
	if err != nil {
		return errorx.Decorate(err, "bundle %d", v.Head.Version)
	}
	e.current.Store(&generation{
		verified: v,
		creds:    newCredentials(v.Bundle),
		router:   router,
		limiter:  limiter,
		retry:    retrier,
		suspects: e.suspectsFor(policy),
	})
	return nil
}

// retrierFor reuses the retry policy and its budgets if the bundle's policy is
// unchanged. New budgets would start with a full reserve of retries although it
// was already spent.
func (e *Entry) retrierFor(policy bundle.Policy) (retry.Policy, error) {
	if old := e.current.Load(); old != nil && old.verified.Bundle.Policy == policy {
		return old.retry, nil
	}
	return retry.New(policy)
}

// limiterFor reuses the limiter if the policy has the same name. Bundles change
// many times a day, and a full bucket after each change would lift the limits.
func (e *Entry) limiterFor(policy bundle.Policy) (limit.Limiter, error) {
	if old := e.current.Load(); old != nil && old.verified.Bundle.Policy.Name == policy.Name {
		return old.limiter, nil
	}
	return limit.New(policy)
}

// suspectsFor keeps the crash counts across bundle versions. Otherwise a request
// that crashes endpoints could be run again after each new version.
func (e *Entry) suspectsFor(policy bundle.Policy) *suspect.Table {
	old := e.current.Load()
	if old != nil && old.verified.Bundle.Policy.CrashLimit == policy.CrashLimit {
		return old.suspects
	}
	table := suspect.New(e.name(), policy.CrashLimit)
	if old != nil {
		now := e.cfg.Now()
		table.Merge(old.suspects.Counts(now), now)
	}
	return table
}

// ApplyView updates routing to a new membership view.
func (e *Entry) ApplyView(v *member.View) {
	var endpoints []memberEndpoint
	entries := 0
	for i := range v.Members {
		m := &v.Members[i]
		if m.VM.Endpoint == "" {
			if m.Connected && m.VM.Role == wire.RoleEntry {
				entries++
			}
			continue
		}
		if owner, ok := v.Endpoint(m.VM.Endpoint); !ok || owner.VM.Name != m.VM.Name {
			continue
		}
		endpoints = append(endpoints, memberEndpoint{
			Endpoint:       m.VM.Endpoint,
			Pool:           m.VM.Pool,
			Domain:         m.VM.Domain,
			Unavailability: unavailability(m),
		})
	}
	e.fleet.setMembers(endpoints, 1+entries, e.cfg.Now())
	// A report that arrived before its endpoint became a member may have been
	// dropped. The view holds the latest report of each member.
	for i := range v.Members {
		if v.Members[i].Report.Seq > 0 {
			e.ApplyReport(v.Members[i].Report)
		}
	}
}

// unavailability returns why a member's endpoint takes no work, or "" if it
// does. A call to an endpoint whose agent is not connected could not be written.
func unavailability(m *member.Member) route.Unavailability {
	switch {
	case m.State == member.StateLeaving:
		return route.UnavailableLeaving
	case m.State != member.StateLive, !m.Connected:
		return route.UnavailableNoConnection
	default:
		return ""
	}
}

// ApplyReport updates routing with an agent's report and dispatches waiting
// requests if there is capacity now.
func (e *Entry) ApplyReport(r wire.AgentReport) {
	e.fleet.setReport(r, e.cfg.Now())
	e.resumeWaiting()
}

// resumeWaiting dispatches requests that wait for a usable endpoint. Only one
// goroutine does so at a time; several would fill the same free slots.
func (e *Entry) resumeWaiting() {
	if e.core.Waiting() == 0 || !e.resuming.TryLock() {
		return
	}
	defer e.resuming.Unlock()
	for _, pool := range e.core.WaitingPools() {
		now := e.cfg.Now()
		if room := e.fleet.waitingCapacity(pool, now); room > 0 {
			e.runEffects(e.core.EndpointsAvailable(now, pool, room))
		}
	}
}

// Ready reports whether the load balancer may send callers to this entry.
func (e *Entry) Ready() bool {
	// Until the first view is applied no endpoint is known and every request
	// would be refused.
	return !e.draining.Load() && e.current.Load() != nil && e.viewApplied.Load() && e.members.Ready()
}

// Usable returns the number of endpoints that this entry may send work to.
func (e *Entry) Usable() int { return e.fleet.usable() }

// Drain makes the entry unready, waits for balancerWait so that the load
// balancer notices, then refuses new requests and waits until those in flight
// have been answered. It returns ctx's error if ctx ends first.
func (e *Entry) Drain(ctx context.Context, balancerWait time.Duration) error {
	e.draining.Store(true)
	wait := time.NewTimer(balancerWait)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	e.refusing.Store(true)
	return e.waiters.waitEmpty(ctx)
}

// Stop ends the background work and waits for the tick loop to return.
func (e *Entry) Stop() {
	e.stop()
	e.wg.Wait()
}

// Status returns the state that `mangostage status` shows for this process.
func (e *Entry) Status() wire.Status {
	s := wire.Status{
		Process:  e.cfg.Process,
		Draining: e.draining.Load(),
		Ready:    e.Ready(),
		Uptime:   e.cfg.Now().Sub(e.started),
		Peers:    e.fleet.reportList(),
		Cost:     e.costs.list(),
	}
	if g := e.current.Load(); g != nil {
		s.Bundle = g.verified.Head
	}
	return s
}
