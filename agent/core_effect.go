package agent

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/wire"
)

// Token identifies one arrival of a call at this process. Agent assigns it, and
// the core returns it with the reply.
type Token uint64

// Effect is an action that Agent executes for the core. Effects are executed in
// the order of their list.
type Effect interface{ effect() }

// Start asks Agent to run a call on the endpoint. Agent calls Core.Commit
// immediately before it writes, and writes only what Commit returns.
type Start struct{ Run *Run }

// Cancel asks Agent to cancel a run on the endpoint.
type Cancel struct{ Run *Run }

// Reply answers one arrival. Every arrival gets exactly one.
type Reply struct {
	Token  Token
	Result wire.StageResult
}

// SendChunk sends one chunk of a streamed result to the arrival that started
// the run.
type SendChunk struct {
	Token Token
	Chunk wire.StageChunk
}

// ExpiryTimer asks Agent to call Core.Expire for an arrival at a time, unless a
// Reply comes first.
type ExpiryTimer struct {
	Token Token
	ID    wire.CallID
	At    time.Time
}

// CancelTimer asks Agent to call Core.CancelOverdue for a run at a time. The
// call does nothing if the run has ended by then or has waiters again.
type CancelTimer struct {
	Run *Run
	At  time.Time
}

// AddRecord adds a record to the ledger.
type AddRecord struct{ Record ledger.Record }

// Decision is one decision on a call, for the log and the metrics.
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

// DropConnections asks Agent to close every connection to peers. Gap is the
// length of the pause that was detected.
type DropConnections struct{ Gap time.Duration }

// NewerBundle reports that a caller has a newer bundle than this process.
type NewerBundle struct{ Version uint64 }

func (Start) effect()           {}
func (Cancel) effect()          {}
func (Reply) effect()           {}
func (SendChunk) effect()       {}
func (ExpiryTimer) effect()     {}
func (CancelTimer) effect()     {}
func (AddRecord) effect()       {}
func (Decision) effect()        {}
func (DropConnections) effect() {}
func (NewerBundle) effect()     {}

// Verdict is the result of a decision, as written to the log.
type Verdict string

// Verdicts.
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
