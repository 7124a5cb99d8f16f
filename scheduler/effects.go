package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/quarantine"
)

// runEffects carries out what the core has decided.
func (s *Scheduler) runEffects(effects []dispatch.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case dispatch.StartCall:
			s.runCall(e)
		case dispatch.Free:
			s.freeResults(e)
		case dispatch.Grant:
			s.deliver(e.Ticket, Decision{Grant: &e})
		case dispatch.Move:
			s.deliver(e.Ticket, Decision{Moved: true})
		case dispatch.Refuse:
			s.deliver(e.Ticket, Decision{Refuse: &e})
		}
	}
}

// deliver passes a decision to the caller that waits for it, if there still is one.
func (s *Scheduler) deliver(ticket string, v Decision) {
	s.mu.Lock()
	decision := s.waiting[ticket]
	delete(s.waiting, ticket)
	s.mu.Unlock()
	if decision != nil {
		decision <- v
	}
}

// runCall makes one call to an endpoint of a stage, by itself or through another member, and
// reports its end to the core.
func (s *Scheduler) runCall(e dispatch.StartCall) {
	if s.delegations.assignCall(e) {
		return
	}
	go func() { s.callEnded(e, s.makeCall(s.ctx, e, "")) }()
}

// callEnded reports the end of a call to the core.
func (s *Scheduler) callEnded(e dispatch.StartCall, r callReport) {
	s.handle(eventCallEnded, func(now time.Time, c *dispatch.Core) { c.CallEnded(now, e.Call, r.Fault, r.outcomes()) })
}

// makeCall makes one call to an endpoint of a stage, for the owner of the name, empty for this
// process, and returns its end.
func (s *Scheduler) makeCall(ctx context.Context, e dispatch.StartCall, owner string) callReport {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	pieces := make([]platform.Piece, len(e.Pieces))
	for i, p := range e.Pieces {
		pieces[i] = platform.Piece{Request: p.Request, Stage: p.Stage, Index: p.Index, Remaining: p.Remaining, Key: p.Key, Inputs: p.Inputs}
	}
	sent := time.Now()
	reply, err := s.stages.Run(ctx, e.Endpoint, e.Addr, pieces)
	s.signals.Observe(e.Key, firstRequest(e.Pieces), sent, reply.Signals)
	if errorx.IsOfType(err, platform.ErrBroken) {
		s.recordBroken(e, time.Since(sent), err)
	}
	r := newCallReport(e.Call, callFault(err), reply)
	line := s.log.Info()
	if err != nil {
		line = s.log.Warn().Err(err)
	}
	line.Str("event", logStageCall).Uint64("call", e.Call).Str("owner", owner).Str("service", e.Service).Str("endpoint", e.Endpoint).
		Strs("requests", requestsOf(e.Pieces)).Int("waiting", e.Waiting).Int("pieces", len(pieces)).Int("failed", len(r.Faults)).Str("fault", string(r.Fault)).
		Uint64("conn", reply.Conn.Number).Int("conn_carried", reply.Conn.Carried).Float64("speed", e.Speed).Bool("suspect", e.Suspect).Dur("took_ms", time.Since(sent)).Msg("stage call ended")
	return r
}

// recordBroken records that the connection broke under a call, for the content of each of
// its requests.
func (s *Scheduler) recordBroken(e dispatch.StartCall, ranFor time.Duration, err error) {
	endpoint := quarantine.Endpoint{Key: e.Key, Addr: e.Addr, Service: e.Service}
	// Members of an earlier build do not name the content of their jobs.
	seen := map[quarantine.Content]bool{0: true}
	for _, p := range e.Pieces {
		if !seen[p.Content] {
			seen[p.Content] = true
			s.quarantine.Broken(quarantine.Break{
				Content: p.Content, Endpoint: endpoint, Request: p.Request, RanFor: ranFor, Trial: e.Trial,
			}, err)
		}
	}
}

// firstRequest returns the ID of the first request whose pieces a call carries.
func firstRequest(pieces []dispatch.Piece) string {
	if len(pieces) == 0 {
		return ""
	}
	return pieces[0].Request
}

// requestsOf returns the IDs of the requests whose pieces a call carries, each once.
func requestsOf(pieces []dispatch.Piece) []string {
	var requests []string
	for _, p := range pieces {
		if !slices.Contains(requests, p.Request) {
			requests = append(requests, p.Request)
		}
	}
	return requests
}

// callFault maps the error of a call to the core's fault.
func callFault(err error) dispatch.CallFault {
	switch {
	case err == nil:
		return dispatch.CallOK
	case errorx.IsOfType(err, platform.ErrNotRun):
		return dispatch.CallRefused
	case errorx.IsOfType(err, platform.ErrOtherIncarnation):
		return dispatch.CallOtherIncarnation
	}
	return dispatch.CallLost
}

// pieceFault maps the result of a piece to the core's fault.
func pieceFault(r platform.PieceResult) dispatch.Fault {
	switch r.Reason {
	case platform.ReasonNone:
		if r.Handle == "" {
			return dispatch.FaultWorkFailed
		}
		return dispatch.FaultNone
	case platform.ReasonLate:
		return dispatch.FaultLate
	case platform.ReasonInputsGone:
		return dispatch.FaultInputsGone
	case platform.ReasonNoMemory:
		return dispatch.FaultNoMemory
	}
	return dispatch.FaultWorkFailed
}

// freeResults frees results at an endpoint, by itself or through another member. A failure is only
// logged, because the endpoint eventually drops the results by itself; for the same reason an
// endpoint in backoff is not asked.
func (s *Scheduler) freeResults(e dispatch.Free) {
	if s.backoffs.Active(time.Now(), e.Key) {
		go s.freeEnded(e.ID, false)
		return
	}
	if s.delegations.assignFree(e) {
		return
	}
	go func() { s.freeEnded(e.ID, s.makeFree(s.ctx, e).OK) }()
}

// freeEnded reports the end of a release of results to the core.
func (s *Scheduler) freeEnded(id uint64, ok bool) {
	s.handle(eventFreeEnded, func(now time.Time, c *dispatch.Core) { c.FreeEnded(now, id, ok) })
}

// makeFree frees results at an endpoint and returns the end of the call.
func (s *Scheduler) makeFree(ctx context.Context, e dispatch.Free) freeReport {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	sent := time.Now()
	signals, err := s.stages.Free(ctx, e.Endpoint, e.Addr, e.Handles)
	s.signals.Observe(e.Key, "", sent, signals)
	if err != nil {
		s.log.Warn().Str("event", logFreeFailed).Str("endpoint", e.Endpoint).Int("results", len(e.Handles)).
			Err(err).Msg("freeing results failed")
	}
	return freeReport{ID: e.ID, OK: err == nil, Signals: packSignals(signals, platform.Signals{})}
}
