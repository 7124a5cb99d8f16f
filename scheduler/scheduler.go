// Package scheduler runs a dispatch.Core: it serializes events, calls the
// endpoints of stages and hands verdicts to the waiting requests.
package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/fleet"
	"github.com/mangostage/mangostage/platform"
)

const (
	// tickEvery is how often waiting jobs are looked at.
	tickEvery = 20 * time.Millisecond
	// freeTimeout bounds a call that gives up results.
	freeTimeout = time.Second
)

var (
	errs = errorx.NewNamespace("scheduler")
	// ErrLeft means that the caller went away before the verdict.
	ErrLeft = errs.NewType("left")
)

// Verdict is what became of a job: exactly one of the three is set.
type Verdict struct {
	Grant  *dispatch.Grant  `json:"grant,omitempty"`
	Refuse *dispatch.Refuse `json:"refuse,omitempty"`
	// Moved jobs have to be given to the present owner.
	Moved bool `json:"moved,omitempty"`
}

// Scheduler is the shell around one Core.
type Scheduler struct {
	stages *platform.Stages
	log    zerolog.Logger

	mu      sync.Mutex
	core    *dispatch.Core
	waiting map[string]chan Verdict
	// busy wakes the ticker when the first job comes.
	busy chan struct{}
	ctx  context.Context
}

// New returns a Scheduler; Run lets its time pass. The name is that of the process.
func New(name string, stages *platform.Stages, log zerolog.Logger) *Scheduler {
	return &Scheduler{
		stages:  stages,
		log:     log,
		core:    dispatch.New(name),
		waiting: make(map[string]chan Verdict),
		busy:    make(chan struct{}, 1),
		ctx:     context.Background(),
	}
}

// Run ticks while there are jobs, until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.busy:
		}
		ticker.Reset(tickEvery)
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

// tick tells whether there is nothing left to wait for; due is when it should
// have come.
func (s *Scheduler) tick(due time.Time) bool {
	now := s.lock(due)
	s.core.Tick(now)
	idle := s.core.Idle()
	effects := s.core.Effects()
	s.mu.Unlock()
	s.carryOut(effects)
	return idle
}

// SetView passes on a new view.
func (s *Scheduler) SetView(view *catalog.View) {
	s.event(func(now time.Time, c *dispatch.Core) { c.SetView(now, view) })
}

// Submit runs the stages of a job and returns its verdict. A caller whose
// context ends gets ErrLeft, and the job is given up.
func (s *Scheduler) Submit(ctx context.Context, j dispatch.Job) (Verdict, error) {
	verdict := make(chan Verdict, 1)
	now := s.lock(time.Now())
	s.waiting[j.Ticket] = verdict
	err := s.core.Submit(now, j)
	effects := s.core.Effects()
	s.mu.Unlock()
	if err != nil {
		return Verdict{}, err
	}
	s.carryOut(effects)
	select {
	case s.busy <- struct{}{}:
	default:
	}
	select {
	case v := <-verdict:
		return v, nil
	case <-ctx.Done():
		s.Cancel(j.Ticket)
		return Verdict{}, ErrLeft.Wrap(ctx.Err(), "ticket %s", j.Ticket)
	}
}

// Cancel gives up a job.
func (s *Scheduler) Cancel(ticket string) {
	s.event(func(now time.Time, c *dispatch.Core) { c.Cancel(now, ticket) })
	s.mu.Lock()
	delete(s.waiting, ticket)
	s.mu.Unlock()
}

// FirstEvent notes that the model engine has begun to answer.
func (s *Scheduler) FirstEvent(ticket string) {
	s.event(func(now time.Time, c *dispatch.Core) { c.FirstEvent(now, ticket) })
}

// Done ends a granted job.
func (s *Scheduler) Done(ticket string, served bool) {
	s.event(func(now time.Time, c *dispatch.Core) { c.Done(now, ticket, served) })
}

// Placed notes what engines have read by the word of the entries.
func (s *Scheduler) Placed(placements []dispatch.Placement) {
	s.event(func(_ time.Time, c *dispatch.Core) { c.Placed(placements) })
}

// HandOver gives the jobs that have not begun back to their entries: another
// process owns the queue.
func (s *Scheduler) HandOver() {
	s.event(func(now time.Time, c *dispatch.Core) { c.HandOver(now) })
}

// Promoted notes that this process has come to own the queue, and what it reaches.
func (s *Scheduler) Promoted(r fleet.Reach) {
	s.event(func(_ time.Time, c *dispatch.Core) {
		c.Promoted(r.Share)
		c.Reach(r.Unreached)
	})
}

// Reach notes what the owner reaches by now.
func (s *Scheduler) Reach(r fleet.Reach) {
	s.event(func(_ time.Time, c *dispatch.Core) {
		c.Share(r.Share)
		c.Reach(r.Unreached)
	})
}

// Holds tells whether this process has begun stages, its own or others', whose
// results would be lost, or kept in vain, if it ended now.
func (s *Scheduler) Holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Holds()
}

// Stats returns the state of the queues.
func (s *Scheduler) Stats() dispatch.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Stats(time.Now())
}

// lock takes the core for an event that arrived at a time, and returns the time
// at which it is handled.
func (s *Scheduler) lock(arrived time.Time) time.Time {
	s.mu.Lock()
	now := time.Now()
	s.core.Lagged(now.Sub(arrived))
	return now
}

func (s *Scheduler) event(apply func(time.Time, *dispatch.Core)) {
	now := s.lock(time.Now())
	apply(now, s.core)
	effects := s.core.Effects()
	s.mu.Unlock()
	s.carryOut(effects)
}

func (s *Scheduler) carryOut(effects []dispatch.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case dispatch.StartCall:
			go s.call(e)
		case dispatch.Free:
			go s.free(e)
		case dispatch.Grant:
			s.answer(e.Ticket, Verdict{Grant: &e})
		case dispatch.Move:
			s.answer(e.Ticket, Verdict{Moved: true})
		case dispatch.Refuse:
			s.answer(e.Ticket, Verdict{Refuse: &e})
		}
	}
}

func (s *Scheduler) answer(ticket string, v Verdict) {
	s.mu.Lock()
	verdict := s.waiting[ticket]
	delete(s.waiting, ticket)
	s.mu.Unlock()
	if verdict != nil {
		verdict <- v
	}
}

// call sends one call and reports its end.
func (s *Scheduler) call(e dispatch.StartCall) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
	defer cancel()
	pieces := make([]platform.Piece, len(e.Pieces))
	for i, p := range e.Pieces {
		pieces[i] = platform.Piece(p)
	}
	sent := time.Now()
	results, err := s.stages.Run(ctx, e.Endpoint, e.Addr, pieces)
	fault := callFault(err)
	outcomes := make([]dispatch.Outcome, len(results))
	failed := 0
	for i, r := range results {
		outcomes[i] = dispatch.Outcome{Handle: r.Handle, Fault: pieceFault(r)}
		if outcomes[i].Fault != dispatch.FaultNone {
			failed++
		}
	}
	line := s.log.Info()
	if err != nil {
		line = s.log.Warn().Err(err)
	}
	line.Str("event", logStageCall).Uint64("call", e.Call).Str("service", e.Service).Str("endpoint", e.Endpoint).
		Strs("requests", requestsOf(e.Pieces)).Int("waiting", e.Waiting).Int("pieces", len(pieces)).Int("failed", failed).Str("fault", string(fault)).
		Float64("speed", e.Speed).Bool("suspect", e.Suspect).Dur("took_ms", time.Since(sent)).Msg("call for a stage ended")
	s.event(func(now time.Time, c *dispatch.Core) { c.CallEnded(now, e.Call, fault, outcomes) })
}

// requestsOf lists the requests that a call carries pieces of, each once.
func requestsOf(pieces []dispatch.Piece) []string {
	var requests []string
	for _, p := range pieces {
		if !slices.Contains(requests, p.Request) {
			requests = append(requests, p.Request)
		}
	}
	return requests
}

func callFault(err error) dispatch.CallFault {
	switch {
	case err == nil:
		return dispatch.CallOK
	case errorx.IsOfType(err, platform.ErrNotRun):
		return dispatch.CallRefused
	case errorx.IsOfType(err, platform.ErrOther):
		return dispatch.CallOther
	}
	return dispatch.CallLost
}

func pieceFault(r platform.PieceResult) dispatch.Fault {
	switch r.Reason {
	case platform.ReasonNone:
		if r.Handle == "" {
			return dispatch.FaultWork
		}
		return dispatch.FaultNone
	case platform.ReasonLate:
		return dispatch.FaultLate
	case platform.ReasonGone:
		return dispatch.FaultInputs
	case platform.ReasonRoom:
		return dispatch.FaultRoom
	}
	return dispatch.FaultWork
}

// free gives up results. A failure is only logged: the endpoint drops them by
// itself in the end.
func (s *Scheduler) free(e dispatch.Free) {
	ctx, cancel := context.WithTimeout(s.ctx, freeTimeout)
	defer cancel()
	err := s.stages.Free(ctx, e.Endpoint, e.Addr, e.Handles)
	s.event(func(now time.Time, c *dispatch.Core) { c.FreeEnded(now, e.ID, err == nil) })
	if err != nil {
		s.log.Warn().Str("event", logFreeFailed).Str("endpoint", e.Endpoint).Int("results", len(e.Handles)).
			Err(err).Msg("results were not given up")
	}
}
