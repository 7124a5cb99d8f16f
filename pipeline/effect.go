package pipeline

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

// Effect is something that the shell is to carry out. Effects of one Handle
// are carried out in their order. The set is closed.
type Effect interface {
	effect()
}

// TimerKind names a request's timers. A new one of a kind replaces the old.
type TimerKind uint8

// The timers of a request.
const (
	// TimerDeadline fires at the deadline, when the reply must go out.
	TimerDeadline TimerKind = iota
	// TimerGiveUp fires a little earlier, to learn what became of the calls.
	TimerGiveUp
	// TimerHedge fires when a second attempt may start.
	TimerHedge
	// TimerProof ends the wait for revocations or peeks.
	TimerProof
	// TimerWait ends the wait for an endpoint.
	TimerWait
)

// Call sends a stage call to the agent of an endpoint, once. The shell reports
// exactly one of StageResult, CallNotWritten and CallLost for it, the last soon
// after the call's deadline at the latest.
type Call struct {
	Endpoint string
	wire.StageCall
}

// Revoke asks an agent to stop a call. RevokeAck, with the agent's report, or
// RevokeLost follows.
type Revoke struct {
	Endpoint string
	CallID   wire.CallID
	// Until is the call's deadline.
	Until time.Time
	// Incarnation is that of the agent to which the call was made, as far as known.
	Incarnation  string
	Identity     wire.Identity
	Binding      *wire.Binding
	Unrepeatable bool
}

// Message returns r as sent to the agent.
func (r Revoke) Message() wire.Revoke {
	return wire.Revoke{ID: r.CallID, Until: r.Until, Incarnation: r.Incarnation,
		Identity: r.Identity, Binding: r.Binding, Unrepeatable: r.Unrepeatable}
}

// SendPeek asks an owner whether it ever ran a stage. PeekReply or PeekLost follows.
type SendPeek struct {
	RequestID string
	Seq       uint64
	Endpoint  string
	wire.Peek
}

// Chunk goes to a streaming caller.
type Chunk struct {
	RequestID string
	Ref       uint64
	Seq       int
	Text      string
}

// Reply ends a request. There is exactly one for each Admit and Refuse, also
// when the caller is gone, so that the shell can release what it holds for it.
// All timers of the request may be dropped.
type Reply struct {
	RequestID string
	Ref       uint64
	api.Final
}

// SetTimer asks for a Timer at a time.
type SetTimer struct {
	RequestID string
	Kind      TimerKind
	Seq       uint64
	At        time.Time
}

// Log is one routing decision.
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
	// Waits: the request is kept until an endpoint is back.
	Waits bool
	// Unusable says of some endpoints why none was chosen.
	Unusable []route.Unusable
}

// Record is a fact to keep.
type Record struct{ ledger.Record }

// Observe tells how one call ended, for health, time estimates and load.
type Observe struct {
	CallID   wire.CallID
	Pool     string
	Stage    string
	Endpoint string
	Outcome  route.CallOutcome
	// Took is from the Call to its end as seen here.
	Took time.Duration
	// Queued and Ran are the agent's word on the time it kept the call waiting
	// and the time on the endpoint; zero when no agent answered.
	Queued, Ran time.Duration
	// Revoked: the call had been revoked, so that its outcome says nothing of
	// the endpoint's health.
	Revoked bool
	// Late: the request had already ended.
	Late bool
	// Crashed, Companions and Fingerprint are for logs; Suspects is told by the core.
	Crashed     bool
	Companions  int
	Fingerprint string
	// Report is nil when no agent answered.
	Report *wire.AgentReport
}

// Cost is work to be accounted to a stage.
type Cost struct {
	Pipeline string
	Stage    string
	Account  string
	// Useful work led to a complete answer; the rest is wasted.
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
