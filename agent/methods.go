package agent

import (
	"context"

	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// ReportQuery is the parameter of wire.MethodReport.
type ReportQuery struct{}

// StatusQuery is the parameter of wire.MethodStatus.
type StatusQuery struct{}

// Register adds the agent's methods to mux.
func (a *Agent) Register(mux *peer.Mux) {
	peer.HandleCall(mux, wire.MethodStageRun, a.runStage)
	peer.HandleCall(mux, wire.MethodStageRevoke, a.revoke)
	peer.HandleCall(mux, wire.MethodStagePeek, a.peek)
	peer.HandleCall(mux, wire.MethodReport, a.report)
	peer.HandleCall(mux, wire.MethodRecords, a.records)
	peer.HandleCall(mux, wire.MethodStatus, a.status)
}

// runStage runs one call and returns its result. If the connection ends first,
// the core decides whether the call continues.
func (a *Agent) runStage(_ context.Context, from *peer.Conn, call wire.StageCall) (wire.StageResult, error) {
	token := Token(a.tokens.Add(1))
	state := &arrivalState{conn: from, reply: make(chan wire.StageResult, 1)}
	a.arrivals.Store(token, state)
	defer a.arrivals.Delete(token)
	a.execute(a.core.Arrive(a.cfg.Now(), token, call))
	var result wire.StageResult
	select {
	case result = <-state.reply:
	case <-from.Done():
		a.execute(a.core.Disconnected(a.cfg.Now(), token, call.ID))
		result = <-state.reply
	}
	state.finish()
	result.Report = a.core.Report()
	return result, nil
}

// finish closes the stream and stops the timer before the reply is written.
func (s *arrivalState) finish() {
	s.closeStream()
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (a *Agent) revoke(_ context.Context, _ *peer.Conn, r wire.Revoke) (wire.RevokeResult, error) {
	result, list := a.core.Revoke(a.cfg.Now(), r)
	a.execute(list)
	result.Report = a.core.Report()
	return result, nil
}

func (a *Agent) peek(_ context.Context, _ *peer.Conn, p wire.Peek) (wire.PeekResult, error) {
	state, list := a.core.Peek(a.cfg.Now(), p)
	a.execute(list)
	return wire.PeekResult{State: state}, nil
}

func (a *Agent) report(context.Context, *peer.Conn, ReportQuery) (wire.AgentReport, error) {
	return a.core.Report(), nil
}

func (a *Agent) records(_ context.Context, _ *peer.Conn, q wire.RecordsQuery) ([]ledger.Record, error) {
	if a.cfg.Records == nil {
		return nil, nil
	}
	return a.cfg.Records.Get(q.Request), nil
}

func (a *Agent) status(context.Context, *peer.Conn, StatusQuery) (wire.Status, error) {
	return a.Status(), nil
}
