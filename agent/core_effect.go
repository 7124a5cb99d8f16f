package agent

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// Token names one arrival of a call at this process. The shell draws it, and
// the core hands it back with the reply.
type Token uint64

// Effect is something the shell must do on behalf of the core, in order.
type Effect interface{ effect() }

// Start asks the shell to run a call on the endpoint. The shell calls
// Core.Commit immediately before it writes, and writes only what Commit returns.
type Start struct{ Run *Run }

// Cancel asks the shell to cancel a run on the endpoint.
type Cancel struct{ Run *Run }

// Reply answers one arrival. Every arrival gets exactly one.
type Reply struct {
	Token  Token
	Result wire.StageResult
}

// SendChunk passes a streamed piece to the arrival that started the run.
type SendChunk struct {
	Token Token
	Chunk wire.StageChunk
}

// Timer asks the shell to call Core.Expire for an arrival at a time, unless a
// Reply comes first.
type Timer struct {
	Token Token
	ID    wire.CallID
	At    time.Time
}

// CancelTimer asks the shell to cancel a run at a time, unless it has ended.
type CancelTimer struct {
	Run *Run
	At  time.Time
}

// Keep passes a record to the ledger.
type Keep struct{ Record ledger.Record }

// Decision is one decision on a call, for the log.
type Decision struct {
	Verdict Verdict
	ID      wire.CallID
	Account string
	Reason  api.Reason
	Detail  string
	Wait    time.Duration
	Queued  int
	Running int
}

// DropConnections asks the shell to close every connection to peers.
type DropConnections struct{ Gap time.Duration }

// NewerBundle tells that a caller holds a newer bundle than this process.
type NewerBundle struct{ Version uint64 }

func (Start) effect()           {}
func (Cancel) effect()          {}
func (Reply) effect()           {}
func (SendChunk) effect()       {}
func (Timer) effect()           {}
func (CancelTimer) effect()     {}
func (Keep) effect()            {}
func (Decision) effect()        {}
func (DropConnections) effect() {}
func (NewerBundle) effect()     {}

// Verdict names a decision in the log.
type Verdict string

// The decisions.
const (
	VerdictStarted  Verdict = "started"
	VerdictQueued   Verdict = "queued"
	VerdictJoined   Verdict = "joined"
	VerdictReplayed Verdict = "replayed"
	VerdictRefused  Verdict = "refused"
	VerdictUnknown  Verdict = "unknown"
	VerdictRevoked  Verdict = "revoked"
	VerdictDone     Verdict = "done"
	VerdictFailed   Verdict = "failed"
	VerdictLost     Verdict = "lost"
	VerdictExpired  Verdict = "expired"
)

type effects struct{ list []Effect }

func (f *effects) add(e Effect) { f.list = append(f.list, e) }
