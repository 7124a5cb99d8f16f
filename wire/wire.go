// Package wire defines the messages that the product's processes exchange over
// jsonrpc2. Each method has one typed parameter, and each method that is not a
// notification has one typed result.
//
// Terms: a submission is one arrival of a request from its caller; a caller that
// resends a request makes another submission with the same identity. A stage is
// unrepeatable if it is not idempotent, so that it must run at most once for an
// identity. A bundle is the signed configuration of the fleet.
package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/mangostage/mangostage/api"
)

// Method names. A method ending in ".note" is a notification without a reply.
const (
	MethodHello       = "peer.hello"
	MethodStageRun    = "stage.run"
	MethodStageChunk  = "stage.chunk.note"
	MethodStageRevoke = "stage.revoke"
	MethodStagePeek   = "stage.peek"
	MethodReport      = "agent.report"
	MethodReportNote  = "agent.report.note"
	MethodBundleHead  = "bundle.head.note"
	MethodBundleFetch = "bundle.fetch"
	MethodVMNote      = "member.vm.note"
	MethodRetireNote  = "peer.retire.note"
	MethodRecords     = "records.get"
	MethodRecordCopy  = "records.copy.note"
	MethodStatus      = "status.get"
	MethodSuspects    = "suspects.note"
)

// MaxMessage is the largest encoded message in bytes; a longer one ends the
// connection.
const MaxMessage = 4 << 20

// Role is the kind of a process.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Process identifies one run of a process. Incarnation is new at every start,
// so that a restarted process is not mistaken for its predecessor.
type Process struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Role        Role   `json:"role"`
	Domain      string `json:"domain"`
}

// Hello is the first call on a connection, in both directions.
type Hello struct {
	Process Process `json:"process"`
	// Compact is true if the process knows compact messages, see peer.Conn.Send.
	Compact bool `json:"compact,omitempty"`
	// VM is the name of the sender's VM in the platform's list; empty if it
	// equals the process's name.
	VM     string      `json:"vm,omitempty"`
	Bundle BundleHead  `json:"bundle"`
	Report AgentReport `json:"report"`
}

// CallID identifies one attempt of one stage of one submission. Entry is the
// name and incarnation of the sender, because two entries may send the same
// request ID.
type CallID struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Entry   string `json:"entry"`
	Attempt int    `json:"attempt"`
}

// String returns the form used in logs and in calls to endpoints.
func (c CallID) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", c.Request, c.Stage, c.Entry, c.Attempt)
}

// IdentityKind says how a resent request can be recognised.
type IdentityKind string

const (
	// IdentityMinted is a request ID that the entry generated for this
	// submission; no earlier submission can exist.
	IdentityMinted IdentityKind = "minted"
	// IdentityHeld is a request ID that the client fetched beforehand and
	// sends, perhaps repeatedly.
	IdentityHeld IdentityKind = "held"
	// IdentityKey is an idempotency key chosen by the client.
	IdentityKey IdentityKind = "key"
)

// Identity identifies a request for duplicate suppression.
type Identity struct {
	Kind IdentityKind `json:"kind"`
	// Value is the request ID, or the client account and key joined; it is
	// unique across client accounts.
	Value string `json:"value"`
	// KeyTime is the time contained in the key (UUID version 7) or in the
	// request ID; zero for an opaque key.
	KeyTime time.Time `json:"key_time"`
	// BodyHash is a hash of pipeline and body. It detects a key that is reused
	// with another body.
	BodyHash string `json:"body_hash"`
}

// Binding identifies the only run of an agent that may execute an unrepeatable
// stage for an identity. Incarnation is empty for IdentityKey, where the slot's
// owner decides by KeyTime and its own start time.
type Binding struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation,omitempty"`
}

// StageCall asks an agent to run one stage on its endpoint.
type StageCall struct {
	ID            CallID   `json:"id"`
	Identity      Identity `json:"identity"`
	Account       string   `json:"account"`
	Pipeline      string   `json:"pipeline"`
	Pool          string   `json:"pool"`
	BundleVersion uint64   `json:"bundle_version"`
	// Priority is the client account's priority; calls of a higher priority run
	// first.
	Priority int `json:"priority"`
	// Weight is the client account's share among accounts of equal priority.
	Weight int `json:"weight"`
	// Deadline is absolute on the entry's clock; Budget is the time that was
	// left when the call was written. An agent applies whichever ends sooner.
	Deadline time.Time     `json:"deadline"`
	Budget   time.Duration `json:"budget_ns"`
	// Unrepeatable calls run at most once for an identity.
	Unrepeatable bool     `json:"unrepeatable,omitempty"`
	Binding      *Binding `json:"binding,omitempty"`
	// Fingerprint is a hash of the content without the identity, used to count
	// crashes by content.
	Fingerprint string `json:"fingerprint"`
	// Exclusive asks the agent to run the call while no other call is on the
	// endpoint.
	Exclusive bool            `json:"alone,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Input     json.RawMessage `json:"input"`
	Previous  json.RawMessage `json:"previous,omitempty"`
}

// StageStatus is the outcome of a call as the agent knows it from its own
// records.
type StageStatus string

const (
	// StatusDone means that the endpoint returned a complete result, in Output.
	StatusDone StageStatus = "done"
	// StatusRefused means that nothing of this call was or will be written to
	// the endpoint. For a resent identity it also says that no earlier
	// submission ran here.
	StatusRefused StageStatus = "refused"
	// StatusFailed means that the endpoint ran the call and reported an error.
	StatusFailed StageStatus = "failed"
	// StatusLost means that the call was written and its result is not known.
	StatusLost StageStatus = "lost"
	// StatusUnknown means that this call was not written, but an earlier
	// submission of the same identity may have run. It will not be run again.
	StatusUnknown StageStatus = "unknown"
)

// StageResult is the result of MethodStageRun.
type StageResult struct {
	ID         CallID          `json:"id"`
	Status     StageStatus     `json:"status"`
	Reason     api.Reason      `json:"reason,omitempty"`
	Detail     string          `json:"detail,omitempty"`
	RetryAfter time.Duration   `json:"retry_after_ns,omitempty"`
	Output     json.RawMessage `json:"output,omitempty"`
	// Replayed means that Output is the result of an earlier submission of the
	// same identity.
	Replayed bool `json:"replayed,omitempty"`
	// Queued is the time spent waiting at the agent, Ran the time on the
	// endpoint.
	Queued time.Duration `json:"queued_ns"`
	Ran    time.Duration `json:"ran_ns"`
	// Tokens is the number of tokens generated, for engines.
	Tokens int `json:"tokens,omitempty"`
	// Cost is the endpoint time charged to this call.
	Cost time.Duration `json:"cost_ns"`
	// Crashed means that the endpoint crashed while the call was on it.
	Crashed bool `json:"crashed,omitempty"`
	// Companions is the number of other calls on the endpoint when it crashed.
	Companions int         `json:"companions,omitempty"`
	Report     AgentReport `json:"report"`
}

// StageChunk is one chunk of a streamed result, numbered from zero without
// gaps.
type StageChunk struct {
	ID   CallID `json:"id"`
	Seq  int    `json:"seq"`
	Text string `json:"text"`
}

// Revoke asks an agent to stop a call, or never to start it.
type Revoke struct {
	ID CallID `json:"id"`
	// Until is the call's deadline; the agent remembers the revocation for
	// longer.
	Until time.Time `json:"until"`
	// Incarnation is that of the agent that the call was written to. A
	// restarted agent cannot know what its predecessor ran.
	Incarnation string `json:"incarnation,omitempty"`
	// Identity, Binding and Unrepeatable are those of the call. With them,
	// RevokedNotRun also says that no earlier submission of the identity ran
	// here. The agent cannot take them from a call that never arrived.
	Identity     Identity `json:"identity"`
	Binding      *Binding `json:"binding,omitempty"`
	Unrepeatable bool     `json:"unrepeatable,omitempty"`
}

// RevokeState is the state of a revoked call as the agent knows it.
type RevokeState string

const (
	// RevokedNotRun means that the call was not and will not be written to the
	// endpoint.
	RevokedNotRun RevokeState = "not_run"
	// RevokedRunning means that the call, or another submission of its
	// identity, was running. A repeatable call that nobody else waits for is
	// cancelled.
	RevokedRunning RevokeState = "running"
	// RevokedDone means that the call had ended, or that another submission's
	// result is stored.
	RevokedDone RevokeState = "done"
	// RevokedUnknown means that the agent cannot tell whether the call ran, for
	// example because the agent was started later or the call is too old to be
	// remembered.
	RevokedUnknown RevokeState = "unknown"
)

// RevokeResult is the result of MethodStageRevoke.
type RevokeResult struct {
	State  RevokeState   `json:"state"`
	Cost   time.Duration `json:"cost_ns"`
	Report AgentReport   `json:"report"`
}

// Peek asks the owner of an identity whether a stage ever ran for it.
type Peek struct {
	Identity Identity `json:"identity"`
	Stage    string   `json:"stage"`
	Binding  Binding  `json:"binding"`
	// Entry is the name and incarnation of the entry that asks, and At the time
	// on its clock. The answer PeekNever fences off the calls that were sent
	// before At; if At is zero it fences off none.
	Entry string    `json:"entry,omitempty"`
	At    time.Time `json:"at"`
}

// PeekState is the owner's answer about an identity.
type PeekState string

const (
	// PeekNever means that the owner can prove that the stage did not run.
	PeekNever PeekState = "never"
	// PeekRunning means that the call is on the endpoint or queued for it.
	PeekRunning PeekState = "running"
	// PeekDone means that the stage ran and its result is stored.
	PeekDone PeekState = "done"
	// PeekUnknown means that the owner cannot tell.
	PeekUnknown PeekState = "unknown"
)

// PeekResult is the result of MethodStagePeek.
type PeekResult struct {
	State PeekState `json:"state"`
}

// AgentReport is the load and state of an agent's endpoint. An agent adds it to
// its replies, so that no process has to broadcast it.
type AgentReport struct {
	Process  Process `json:"process"`
	Endpoint string  `json:"endpoint"`
	Pool     string  `json:"pool"`
	// Seq increases with each report of one incarnation; a report with a lower
	// number than the latest is dropped.
	Seq      uint64 `json:"seq"`
	Capacity int    `json:"capacity"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// P50 and P95 are quantiles of recent run times on the endpoint.
	P50      time.Duration `json:"p50_ns"`
	P95      time.Duration `json:"p95_ns"`
	Draining bool          `json:"draining,omitempty"`
	// Down means that the endpoint does not answer, or fails its health checks.
	Down bool `json:"down,omitempty"`
	// Models are the models loaded on the endpoint, for engines.
	Models []string `json:"models,omitempty"`
}

// BundleHead identifies a verified bundle by version and hash.
type BundleHead struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// BundleFetch asks for the bundle that a head identifies.
type BundleFetch struct {
	Head BundleHead `json:"head"`
}

// BundleBody contains a signed bundle as it was published.
type BundleBody struct {
	Signed []byte `json:"signed"`
}

// VMNote passes on that the platform's list shows a VM as leaving.
type VMNote struct {
	VM string `json:"vm"`
	// Process is the process that the sender knows on the VM; zero if it knows
	// none.
	Process Process `json:"process"`
}

// Retire says that the sender will use another connection for new calls. Calls
// in flight on this one continue.
type Retire struct{}

// RecordsQuery asks for a process's ledger records of a request.
type RecordsQuery struct {
	Request string `json:"request"`
}

// Status is the state of a process and of its peers as the process sees them.
type Status struct {
	Process  Process       `json:"process"`
	Bundle   BundleHead    `json:"bundle"`
	Draining bool          `json:"draining"`
	Ready    bool          `json:"ready"`
	Uptime   time.Duration `json:"uptime_ns"`
	Peers    []AgentReport `json:"peers,omitempty"`
	Report   *AgentReport  `json:"report,omitempty"`
	// Cost lists the endpoint time by pipeline, stage and client account.
	Cost []StageCost `json:"cost,omitempty"`
}

// StageCost is the endpoint time spent on one stage of one pipeline for one
// client account.
type StageCost struct {
	Pipeline string        `json:"pipeline"`
	Stage    string        `json:"stage"`
	Account  string        `json:"account"`
	Useful   time.Duration `json:"useful_ns"`
	// Wasted is the time of attempts that did not lead to a complete answer.
	Wasted time.Duration `json:"wasted_ns"`
}
