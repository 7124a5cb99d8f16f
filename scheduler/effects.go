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
			go s.runCall(e)
		case dispatch.Free:
			go s.freeResults(e)
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

// runCall makes one call to an endpoint of a stage and reports its end to the core.
func (s *Scheduler) runCall(e dispatch.StartCall) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
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
	fault := callFault(err)
	outcomes := make([]dispatch.Outcome, len(reply.Results))
	failed := 0
	for i, r := range reply.Results {
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
		Uint64("conn", reply.Conn.Number).Int("conn_carried", reply.Conn.Carried).Float64("speed", e.Speed).Bool("suspect", e.Suspect).Dur("took_ms", time.Since(sent)).Msg("stage call ended")
	s.handle(eventCallEnded, func(now time.Time, c *dispatch.Core) { c.CallEnded(now, e.Call, fault, outcomes) })
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

// freeResults frees results at an endpoint. A failure is only logged, because the
// endpoint eventually drops the results by itself; for the same reason an endpoint in
// backoff is not asked.
func (s *Scheduler) freeResults(e dispatch.Free) {
	if s.backoffs.Active(time.Now(), e.Key) {
		s.handle(eventFreeEnded, func(now time.Time, c *dispatch.Core) { c.FreeEnded(now, e.ID, false) })
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, freeTimeout)
	defer cancel()
	sent := time.Now()
	signals, err := s.stages.Free(ctx, e.Endpoint, e.Addr, e.Handles)
	s.signals.Observe(e.Key, "", sent, signals)
	s.handle(eventFreeEnded, func(now time.Time, c *dispatch.Core) { c.FreeEnded(now, e.ID, err == nil) })
	if err != nil {
		s.log.Warn().Str("event", logFreeFailed).Str("endpoint", e.Endpoint).Int("results", len(e.Handles)).
			Err(err).Msg("freeing results failed")
	}
}
