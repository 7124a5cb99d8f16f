// Package scheduler runs a dispatch.Core: it serializes events, calls the endpoints of
// stages and delivers decisions to the waiting requests.
package scheduler

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/fleet"
	"github.com/mangostage/mangostage/internal/cputime"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/quarantine"
	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/retryafter"
)

const (
	// tickInterval is the time between two checks of the waiting jobs.
	tickInterval = 20 * time.Millisecond
	// freeTimeout limits a call that frees results.
	freeTimeout = time.Second
)

var (
	errs = errorx.NewNamespace("scheduler")
	// ErrCallerLeft means that the caller's context ended before the decision.
	ErrCallerLeft = errs.NewType("left")
)

// Decision is the result of submitting a job; exactly one field is set.
type Decision struct {
	Grant  *dispatch.Grant  `json:"grant,omitempty"`
	Refuse *dispatch.Refuse `json:"refuse,omitempty"`
	// Moved is true if the job has to be submitted to the current owner of the queue.
	Moved bool `json:"moved,omitempty"`
}

// SignalObserver gets what an endpoint says about itself in its answer to a request that
// was sent at sent. endpoint is the endpoint's Key.
type SignalObserver interface {
	Observe(endpoint, request string, sent time.Time, s platform.Signals)
}

// Scheduler adds locking, time and calls to one dispatch.Core.
type Scheduler struct {
	stages  *platform.StageClient
	signals SignalObserver
	// backoffs holds the endpoints that want no calls of this process for a while.
	backoffs *retryafter.Table
	// quarantine gets the calls whose connections broke; nil for none.
	quarantine *quarantine.Client
	log        zerolog.Logger
	// cores is the processor time that this process gets, in cores; 0 if it is not known.
	cores     float64
	startedAt time.Time

	mu   sync.Mutex
	core *dispatch.Core
	load load
	// waiting maps the tickets of undecided jobs to their callers.
	waiting map[string]chan Decision
	// delegations are the calls that other members make for this process, delegate is what this
	// process makes for others.
	delegations *delegations
	delegate    delegate
	// submissions are the jobs that this process has submitted to others.
	submissions submissions
	// wake wakes the ticker when a job is submitted.
	wake chan struct{}
	// ctx is the parent of the calls to endpoints.
	ctx context.Context
}

// New returns a Scheduler for the process of the name; Run must be called for deadlines
// to take effect. quotas holds the request rates that endpoints name, backoffs
// the endpoints that want no calls of this process for a while, and contents, which may be
// nil, what may be done with content that crashes endpoints.
func New(name string, stages *platform.StageClient, quotas *quota.Table, backoffs *retryafter.Table, contents *quarantine.Client, signals SignalObserver, log zerolog.Logger) *Scheduler {
	s := &Scheduler{
		stages:     stages,
		signals:    signals,
		backoffs:   backoffs,
		quarantine: contents,
		log:        log,
		startedAt:  time.Now(),
		core:       dispatch.New(name, quotas, backoffs),
		load:       newLoad(),
		waiting:    make(map[string]chan Decision),
		wake:       make(chan struct{}, 1),
		ctx:        context.Background(),
	}
	if contents != nil {
		s.core.LimitContents(contents)
	}
	s.submissions = submissions{waiting: make(map[submission]chan decided)}
	s.delegations = newDelegations(s, 0)
	s.delegate = delegate{offered: make(map[*peer.Conn]struct{}), owners: make(map[*peer.Conn]*ownerLink)}
	return s
}

// ShareAmongAccounts makes the queue divide its room among client accounts, if two or more
// are configured, while it is short. It must be called before Run.
func (s *Scheduler) ShareAmongAccounts() { s.core.ShareAmongAccounts() }

// SetCores sets the processor time that this process gets, in cores. While it owns the queue and has
// many calls to make for that, other members make them, and it offers to make theirs. It must be
// called before Run.
func (s *Scheduler) SetCores(cores float64) {
	s.cores = cores
	s.delegations = newDelegations(s, cores)
	s.delegate.cores = cores
}

// Run ticks while there are jobs, until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		ticker.Reset(tickInterval)
		for idle := false; !idle; {
			select {
			case <-ctx.Done():
				return
			case due := <-ticker.C:
				idle = s.tick(due)
			}
		}
		ticker.Stop()
	}
}

// tick advances the core's time and reports whether there is nothing left to wait for.
// due is when the tick should have occurred.
func (s *Scheduler) tick(due time.Time) bool {
	delay := measureRunDelay()
	now := s.lock(due)
	s.load.observeRunDelay(delay)
	s.core.Tick(now)
	idle := s.core.Idle()
	effects := s.core.Effects()
	s.load.count(eventTick, due, now)
	summary := s.summaryLocked(now)
	s.mu.Unlock()
	s.runEffects(effects)
	s.delegations.expire(now)
	idle = idle && s.delegations.delegated() == 0
	if summary != nil {
		s.logSummary(summary)
	}
	return idle
}

// SetView passes a new view to the core.
func (s *Scheduler) SetView(view *catalog.View) {
	s.handle(eventView, func(now time.Time, c *dispatch.Core) { c.SetView(now, view) })
}

// Submit runs the stages of a job and returns its decision. If the context ends before,
// it cancels the job and returns ErrCallerLeft.
func (s *Scheduler) Submit(ctx context.Context, j dispatch.Job) (Decision, error) {
	decision := make(chan Decision, 1)
	arrived := time.Now()
	now := s.lock(arrived)
	err := s.core.Submit(now, j)
	s.load.count(eventSubmit, arrived, now)
	if err != nil {
		s.mu.Unlock()
		return Decision{}, err
	}
	// The effects run after the lock is released, so no decision is delivered before.
	s.waiting[j.Ticket] = decision
	effects := s.core.Effects()
	s.mu.Unlock()
	s.runEffects(effects)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case v := <-decision:
		return v, nil
	case <-ctx.Done():
		s.Cancel(j.Ticket)
		return Decision{}, ErrCallerLeft.Wrap(ctx.Err(), "ticket %s", j.Ticket)
	}
}

// Cancel cancels a job.
func (s *Scheduler) Cancel(ticket string) {
	s.handle(eventCancel, func(now time.Time, c *dispatch.Core) { c.Cancel(now, ticket) })
	s.mu.Lock()
	delete(s.waiting, ticket)
	s.mu.Unlock()
}

// FirstEvent records that the model engine has begun to answer.
func (s *Scheduler) FirstEvent(n Note) {
	s.handle(eventFirst, func(now time.Time, c *dispatch.Core) {
		if n.OtherEngine {
			c.FirstEventElsewhere(now, n.Ticket)
			return
		}
		c.FirstEvent(now, n.Ticket)
	})
}

// Done ends a granted job.
func (s *Scheduler) Done(n Note) {
	s.handle(eventDone, func(now time.Time, c *dispatch.Core) { c.DoneStream(now, n.Ticket, n.Served, n.Stream) })
}

// RecordPlacements records which prompts engines have read, as reported by the processes that
// sent them.
func (s *Scheduler) RecordPlacements(placements []dispatch.Placement) {
	s.handle(eventPlacements, func(_ time.Time, c *dispatch.Core) { c.RecordPlacements(placements) })
}

// HandOver returns the jobs that have not begun to the processes that submitted them,
// because another process owns the queue.
func (s *Scheduler) HandOver() {
	s.handle(eventOwnership, func(now time.Time, c *dispatch.Core) { c.HandOver(now) })
}

// BecomeOwner records that this process has become the owner of the queue, and which part
// of the fleet it reaches.
func (s *Scheduler) BecomeOwner(r fleet.Reach) {
	s.handle(eventOwnership, func(_ time.Time, c *dispatch.Core) {
		c.BecomeOwner(r.Share)
		c.Reach(r.Unreached)
	})
}

// SetReach updates the part of the fleet that the owner reaches.
func (s *Scheduler) SetReach(r fleet.Reach) {
	s.handle(eventOwnership, func(_ time.Time, c *dispatch.Core) {
		c.SetReach(r.Share)
		c.Reach(r.Unreached)
	})
}

// HasUnfinishedStages reports whether this process has begun stages, for itself or others, whose
// results would be lost, or kept without use, if it ended now.
func (s *Scheduler) HasUnfinishedStages() bool {
	if s.delegate.busy() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HasUnfinishedStages()
}

// Stats returns the state of the queues.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	delegates, made := s.delegations.stats()
	return Stats{
		Stats: s.core.Stats(time.Now()), Events: maps.Clone(s.load.events), RunDelay: s.load.runDelay,
		Processor: cputime.Used(), Cores: s.cores, Made: made, Delegates: delegates,
	}
}

// lock locks the core for an event that arrived at a time, reports the delay to the core,
// and returns the current time.
func (s *Scheduler) lock(arrived time.Time) time.Time {
	s.mu.Lock()
	now := time.Now()
	s.core.ObserveLag(now.Sub(arrived))
	return now
}

// handle applies an event to the core and runs its effects.
func (s *Scheduler) handle(kind eventKind, apply func(time.Time, *dispatch.Core)) {
	arrived := time.Now()
	now := s.lock(arrived)
	apply(now, s.core)
	effects := s.core.Effects()
	s.load.count(kind, arrived, now)
	s.mu.Unlock()
	s.runEffects(effects)
}
