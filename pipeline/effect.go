package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

// Effect is an action that the shell must carry out. The effects of one Handle
// call are carried out in order. The set is closed.
type Effect interface {
	effect()
}

// TimerKind identifies one of a request's timers. Setting a timer replaces the
// previous one of its kind.
type TimerKind uint8

// The timers of a request.
const (
	// TimerDeadline fires at the deadline, when the reply must be sent.
	TimerDeadline TimerKind = iota
	// TimerGiveUp fires shortly before the deadline, to leave time to find out
	// whether the outstanding calls ran.
	TimerGiveUp
	// TimerHedge fires when a hedge may start.
	TimerHedge
	// TimerOutcome ends the wait for replies to revocations or peeks.
	TimerOutcome
	// TimerWait ends the wait for an endpoint.
	TimerWait
)

// Call sends a stage call to the agent of an endpoint, once. The shell reports
// exactly one of StageResult, CallNotWritten and CallLost for it; CallLost
// comes at the latest soon after the call's deadline.
type Call struct {
	Endpoint string
	wire.StageCall
}

// Revoke asks an agent to stop a call. The shell answers with RevokeAck, which
// holds the agent's report, or RevokeLost.
type Revoke struct {
	Endpoint string
	CallID   wire.CallID
	// Until is the deadline of the call.
	Until time.Time
	// Incarnation is that of the agent that the call was sent to; empty if
	// unknown.
	Incarnation  string
	Identity     wire.Identity
	Binding      *wire.Binding
	Unrepeatable bool
}

// Message returns the wire message for r.
func (r Revoke) Message() wire.Revoke {
	return wire.Revoke{ID: r.CallID, Until: r.Until, Incarnation: r.Incarnation,
		Identity: r.Identity, Binding: r.Binding, Unrepeatable: r.Unrepeatable}
}

// SendPeek asks an owner whether it ever ran a stage. The shell answers with
// PeekReply or PeekLost.
type SendPeek struct {
	RequestID string
	Seq       uint64
	Endpoint  string
	wire.Peek
}

// Chunk is sent to a streaming caller.
type Chunk struct {
	RequestID string
	Ref       uint64
	Seq       int
	Text      string
}

// Reply ends a request. There is exactly one for each Admit and Refuse, even if
// the caller is gone, so that the shell can release the resources of the
// request. The shell may drop all timers of the request.
type Reply struct {
	RequestID string
	Ref       uint64
	api.Final
}

// SetTimer asks for a Timer event at the given time.
type SetTimer struct {
	RequestID string
	Kind      TimerKind
	Seq       uint64
	At        time.Time
}

// Log describes one routing decision.
type Log struct {
	RequestID string
	Stage     string
	Pool      string
	Attempt   int
	Hedge     bool
	// Endpoint is empty when none was chosen.
	Endpoint   string
	Candidates int
	Considered int
	Reason     string
	// Waits is true when the request is kept until an endpoint is available
	// again.
	Waits bool
	// Unusable gives, for some endpoints, why they were not chosen.
	Unusable []route.Unusable
}

// Record is a fact to store in the ledger.
type Record struct{ ledger.Record }

// Observe reports how one call ended, for health tracking, time estimates and
// load.
type Observe struct {
	CallID   wire.CallID
	Pool     string
	Stage    string
	Endpoint string
	Outcome  route.CallOutcome
	// Elapsed is the time from the Call until its end as seen by this entry.
	Elapsed time.Duration
	// Queued and Ran are, as reported by the agent, the time that the call
	// waited and the time that it ran on the endpoint; zero if no agent
	// answered.
	Queued, Ran time.Duration
	// Revoked is true when the call had been revoked, so that its outcome says
	// nothing about the endpoint's health.
	Revoked bool
	// Late is true when the request had already ended.
	Late bool
	// Crashed, Companions and Fingerprint are for logs only: the core itself
	// reports crashes to Suspects.
	Crashed     bool
	Companions  int
	Fingerprint string
	// Report is nil when no agent answered.
	Report *wire.AgentReport
}

// Cost is work to be charged to a stage.
type Cost struct {
	Pipeline string
	Stage    string
	Account  string
	// Useful is true for work that led to a complete answer; all other work is
	// wasted.
	Useful bool
	Amount time.Duration
}

func (Call) effect()     {}
func (Revoke) effect()   {}
func (SendPeek) effect() {}
func (Chunk) effect()    {}
func (Reply) effect()    {}
func (SetTimer) effect() {}
func (Log) effect()      {}
func (Record) effect()   {}
func (Observe) effect()  {}
func (Cost) effect()     {}
