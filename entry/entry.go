// Package entry is the shell of an entry: it takes callers' requests by HTTP,
// lets the pipeline core decide, and carries out what the core asks for.
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

// tickInterval is how often transitions that are due by time are made.
const tickInterval = 100 * time.Millisecond

// pauseGap is the time between two ticks from which on the process must have
// been stopped.
const pauseGap = time.Second

// Members is what an entry needs of the membership; *member.Service is one.
type Members interface {
	Agent(endpoint string) (*peer.Conn, bool)
	Agents() []*peer.Conn
	Entries() []*peer.Conn
	View() *member.View
	Ready() bool
	Stalled() bool
}

// Config is what an Entry is made of.
type Config struct {
	Process wire.Process
	// FleetKeys sign and verify request IDs; the first signs.
	FleetKeys []reqid.Key
	Log       zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now     func() time.Time
	Records *ledger.Store
	// MaxBody bounds request bodies in bytes, whatever the bundle says.
	MaxBody int64
	// RefusalsOnly leaves the choice of an endpoint out of the log, unless none was found.
	RefusalsOnly bool
}

// Entry serves callers.
type Entry struct {
	cfg       Config
	core      *pipeline.Core
	fleet     *fleet
	estimates *route.Estimator
	costs     *costs
	waiters   *waiters
	stats     stats
	pauses    pauseWatch

	members Members
	current atomic.Pointer[generation]
	refs    atomic.Uint64
	// sentTo holds the incarnation of the agent that each call was written to,
	// by wire.CallID, until the call's deadline has passed.
	sentTo sync.Map

	// resuming is held by the one that sends waiting requests on.
	resuming sync.Mutex

	suspects suspectShare
	draining atomic.Bool
	refusing atomic.Bool
	// viewed is set once routing follows the membership.
	viewed  atomic.Bool
	wg      sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
	started time.Time
}

// generation is everything that follows from one adopted bundle. It is
// immutable but for the state of its policies.
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

// name names this run of the entry, so that what an earlier run said is never
// taken for its own.
func (e *Entry) name() string { return e.cfg.Process.Name + "@" + e.cfg.Process.Incarnation }

// Register adds the entry's methods to mux. It is called before Start.
func (e *Entry) Register(mux *peer.Mux) {
	peer.HandleNote(mux, wire.MethodStageChunk, func(_ *peer.Conn, c wire.StageChunk) {
		e.handle(pipeline.StageChunk{StageChunk: c})
	})
	peer.HandleNote(mux, wire.MethodRecordCopy, func(_ *peer.Conn, r ledger.Record) {
		e.cfg.Records.Add(r)
	})
	peer.HandleNote(mux, wire.MethodSuspects, func(_ *peer.Conn, counts []suspect.Count) {
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

// Start begins to serve with the given membership.
func (e *Entry) Start(members Members) {
	e.members = members
	e.wg.Add(1)
	go e.tickLoop()
}

func (e *Entry) tickLoop() {
	defer e.wg.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := e.cfg.Now()
	var applied *member.View
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		now := e.cfg.Now()
		if now.Sub(last) > pauseGap {
			e.fleet.pardon()
		}
		last = now
		e.pauses.tick(now)
		e.moved(e.fleet.tick(now))
		e.shareSuspects(now)
		e.resumeWaiting()
		// A connection that comes or goes is no event of its own but makes a
		// new view.
		if view := e.members.View(); view != applied {
			applied = view
			e.ApplyView(view)
			e.viewed.Store(true)
		}
	}
}

// ApplyBundle puts an adopted bundle in force for requests that come after it.
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

// retrierFor keeps the budgets over a new version with the same policy: new
// ones would start with a reserve for retries that was already spent.
func (e *Entry) retrierFor(policy bundle.Policy) (retry.Policy, error) {
	if old := e.current.Load(); old != nil && old.verified.Bundle.Policy == policy {
		return old.retry, nil
	}
	return retry.New(policy)
}

// limiterFor keeps the limiter's state over a new version: a full bucket after
// each of a day's many versions would lift the limits.
func (e *Entry) limiterFor(policy bundle.Policy) (limit.Limiter, error) {
	if old := e.current.Load(); old != nil && old.verified.Bundle.Policy.Name == policy.Name {
		return old.limiter, nil
	}
	return limit.New(policy)
}

// suspectsFor keeps the crash counts over a new version; forgetting them would
// let a request that crashes endpoints begin anew with each version.
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

// ApplyView takes in a change of the membership.
func (e *Entry) ApplyView(v *member.View) {
	var places []place
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
		places = append(places, place{
			Endpoint: m.VM.Endpoint,
			Pool:     m.VM.Pool,
			Domain:   m.VM.Domain,
			Away:     away(m),
		})
	}
	e.fleet.setPlaces(places, 1+entries, e.cfg.Now())
	// A report may have come before its endpoint was a member, and was dropped
	// then; the view holds the latest.
	for i := range v.Members {
		if v.Members[i].Report.Seq > 0 {
			e.ApplyReport(v.Members[i].Report)
		}
	}
}

// away is why a member's endpoint takes no work; empty if it does. A call to
// one that is unreachable could not be written.
func away(m *member.Member) route.Away {
	switch {
	case m.State == member.StateLeaving:
		return route.AwayLeaving
	case m.State != member.StateLive, !m.Connected:
		return route.AwayUnreachable
	default:
		return ""
	}
}

// ApplyReport takes in an agent's report.
func (e *Entry) ApplyReport(r wire.AgentReport) {
	e.fleet.setReport(r, e.cfg.Now())
	e.resumeWaiting()
}

// resumeWaiting sends requests that wait for an endpoint to those that are
// back. One goroutine at a time does so, or each would fill the same places.
func (e *Entry) resumeWaiting() {
	if e.core.Waiting() == 0 || !e.resuming.TryLock() {
		return
	}
	defer e.resuming.Unlock()
	for _, pool := range e.core.WaitingPools() {
		now := e.cfg.Now()
		if room := e.fleet.room(pool, now); room > 0 {
			e.run(e.core.EndpointsBack(now, pool, room))
		}
	}
}

// Ready tells the balancer whether to send callers here.
func (e *Entry) Ready() bool {
	// Until the first view is applied there is no endpoint to route to, and
	// callers would be refused for want of one.
	return !e.draining.Load() && e.current.Load() != nil && e.viewed.Load() && e.members.Ready()
}

// Usable is the number of endpoints that this entry would send work to.
func (e *Entry) Usable() int { return e.fleet.usable() }

// Drain makes the entry unready, waits until the balancer has noticed, then
// refuses new requests and waits for those in flight or for ctx.
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

// Stop ends background work.
func (e *Entry) Stop() {
	e.stop()
	e.wg.Wait()
}

// Status returns what `mangostage status` shows of this process.
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
