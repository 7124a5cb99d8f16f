// Package wire defines the messages that the product's own processes exchange
// over jsonrpc2. Every method has one typed parameter and one typed result.
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

// MaxMessage is the largest encoded message in bytes; a longer one ends the connection.
const MaxMessage = 4 << 20

// Role tells the kind of a process.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Process names one run of one process. Incarnation is drawn anew at every
// start, so a restarted process is never taken for its predecessor.
type Process struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Role        Role   `json:"role"`
	Domain      string `json:"domain"`
}

// Hello is the first call on a connection, in both directions.
type Hello struct {
	Process Process `json:"process"`
	// VM is the name of the sender's VM in the platform's list; empty if it is
	// the same as the process's name.
	VM     string      `json:"vm,omitempty"`
	Bundle BundleHead  `json:"bundle"`
	Report AgentReport `json:"report"`
}

// CallID names one attempt of one stage of one sending. Entry is the name and
// incarnation of the sender, because two entries may carry the same request ID.
type CallID struct {
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Entry   string `json:"entry"`
	Attempt int    `json:"attempt"`
}

// String returns the form used in logs and towards endpoints.
func (c CallID) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", c.Request, c.Stage, c.Entry, c.Attempt)
}

// IdentityKind tells how a sending can be recognised when it is sent again.
type IdentityKind string

const (
	// IdentityMinted is a request ID that the entry made for this sending; no earlier sending can exist.
	IdentityMinted IdentityKind = "minted"
	// IdentityHeld is a request ID that the caller fetched first and sends, perhaps repeatedly.
	IdentityHeld IdentityKind = "held"
	// IdentityKey is an idempotency key chosen by the caller.
	IdentityKey IdentityKind = "key"
)

// Identity is what duplicate suppression rests on.
type Identity struct {
	Kind IdentityKind `json:"kind"`
	// Value is the request ID, or the account and key joined; unique across accounts.
	Value string `json:"value"`
	// KeyTime is the time carried inside the key (UUID version 7) or request
	// ID; zero for an opaque key.
	KeyTime time.Time `json:"key_time"`
	// BodyHash is over pipeline and body, to tell a reused key with another body.
	BodyHash string `json:"body_hash"`
}

// Binding names the only agent run that may execute an unrepeatable stage for
// an identity. Incarnation is empty for IdentityKey, where the slot's owner
// judges by KeyTime and its own start.
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
	// Priority is the account's; higher runs first.
	Priority int `json:"priority"`
	// Weight is the account's share among equals in priority.
	Weight int `json:"weight"`
	// Deadline is absolute on the entry's clock; Budget is what was left when
	// the call was written. An agent obeys whichever ends sooner.
	Deadline time.Time     `json:"deadline"`
	Budget   time.Duration `json:"budget_ns"`
	// Unrepeatable calls run at most once for an identity.
	Unrepeatable bool     `json:"unrepeatable,omitempty"`
	Binding      *Binding `json:"binding,omitempty"`
	// Fingerprint is over content and not identity, to count crashes by content.
	Fingerprint string `json:"fingerprint"`
	// Alone asks the agent to run the call with nothing else on the endpoint.
	Alone     bool            `json:"alone,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Input     json.RawMessage `json:"input"`
	Previous  json.RawMessage `json:"previous,omitempty"`
}

// StageStatus is the agent's first-hand word on a call.
type StageStatus string

const (
	// StatusDone means: the endpoint returned a complete result, in Output.
	StatusDone StageStatus = "done"
	// StatusRefused means: nothing of this call was ever written to the endpoint,
	// and nothing will be. For a repeated identity it also says that no
	// earlier sending ran here.
	StatusRefused StageStatus = "refused"
	// StatusFailed means: the endpoint ran the call and reported an error.
	StatusFailed StageStatus = "failed"
	// StatusLost means: the call was written and its result is not known.
	StatusLost StageStatus = "lost"
	// StatusUnknown means: this sending was not written, but an earlier sending
	// of the same identity may have run. It will not be run again.
	StatusUnknown StageStatus = "unknown"
)

// StageResult answers MethodStageRun.
type StageResult struct {
	ID         CallID          `json:"id"`
	Status     StageStatus     `json:"status"`
	Reason     api.Reason      `json:"reason,omitempty"`
	Detail     string          `json:"detail,omitempty"`
	RetryAfter time.Duration   `json:"retry_after_ns,omitempty"`
	Output     json.RawMessage `json:"output,omitempty"`
	// Replayed: Output is the result of an earlier sending of the same identity.
	Replayed bool `json:"replayed,omitempty"`
	// Queued and Ran are the times spent waiting at the agent and on the endpoint.
	Queued time.Duration `json:"queued_ns"`
	Ran    time.Duration `json:"ran_ns"`
	// Tokens generated, for engines.
	Tokens int `json:"tokens,omitempty"`
	// Cost is endpoint-seconds in nanoseconds charged to this call.
	Cost time.Duration `json:"cost_ns"`
	// Crashed: the endpoint died while this call was on it.
	Crashed bool `json:"crashed,omitempty"`
	// Companions is the number of other calls on the endpoint when it crashed.
	Companions int         `json:"companions,omitempty"`
	Report     AgentReport `json:"report"`
}

// StageChunk is one piece of a streamed result, numbered from zero without gaps.
type StageChunk struct {
	ID   CallID `json:"id"`
	Seq  int    `json:"seq"`
	Text string `json:"text"`
}

// Revoke asks that a call be stopped, or never started.
type Revoke struct {
	ID CallID `json:"id"`
	// Until is the call's deadline; the tombstone outlives it.
	Until time.Time `json:"until"`
	// Incarnation is that of the agent to which the call was written. A
	// restarted agent cannot vouch for what its predecessor ran.
	Incarnation string `json:"incarnation,omitempty"`
	// Identity, Binding and Unrepeatable are those of the call. With them, "not
	// run" also says that no earlier sending of the identity ran here; a call
	// that never arrived leaves the agent no other way to know.
	Identity     Identity `json:"identity"`
	Binding      *Binding `json:"binding,omitempty"`
	Unrepeatable bool     `json:"unrepeatable,omitempty"`
}

// RevokeState is the agent's word on a revoked call.
type RevokeState string

const (
	// RevokedNotRun means: never written to the endpoint and never will be.
	RevokedNotRun RevokeState = "not_run"
	// RevokedRunning means: it was running and has been cancelled.
	RevokedRunning RevokeState = "running"
	// RevokedDone means: it had finished.
	RevokedDone RevokeState = "done"
	// RevokedUnknown means: the agent cannot tell whether it ran, because it has
	// started since, or because the call is too old to be remembered.
	RevokedUnknown RevokeState = "unknown"
)

// RevokeResult acknowledges a revocation.
type RevokeResult struct {
	State  RevokeState   `json:"state"`
	Cost   time.Duration `json:"cost_ns"`
	Report AgentReport   `json:"report"`
}

// Peek asks the owner of an identity whether it ever ran a stage of it.
type Peek struct {
	Identity Identity `json:"identity"`
	Stage    string   `json:"stage"`
	Binding  Binding  `json:"binding"`
	// Entry is the name and incarnation of the entry that asks, and At the time
	// on its clock. Calls that were sent before are fenced off by the answer
	// PeekNever. Without a time nothing is.
	Entry string    `json:"entry,omitempty"`
	At    time.Time `json:"at"`
}

// PeekState is the owner's word on an identity.
type PeekState string

const (
	// PeekNever means: the owner can prove that the stage did not run.
	PeekNever PeekState = "never"
	// PeekRunning means: it is on the endpoint or waiting for it.
	PeekRunning PeekState = "running"
	// PeekDone means: it ran.
	PeekDone PeekState = "done"
	// PeekUnknown means: the owner cannot tell.
	PeekUnknown PeekState = "unknown"
)

// PeekResult answers MethodStagePeek.
type PeekResult struct {
	State PeekState `json:"state"`
}

// AgentReport is the load and state of an agent's endpoint. It travels with
// every reply, so that no process broadcasts it.
type AgentReport struct {
	Process  Process `json:"process"`
	Endpoint string  `json:"endpoint"`
	Pool     string  `json:"pool"`
	// Seq grows with each report of one incarnation; an older one is dropped.
	Seq      uint64 `json:"seq"`
	Capacity int    `json:"capacity"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// P50 and P95 are quantiles of recent times on the endpoint.
	P50      time.Duration `json:"p50_ns"`
	P95      time.Duration `json:"p95_ns"`
	Draining bool          `json:"draining,omitempty"`
	// Down: the endpoint does not answer its health check.
	Down bool `json:"down,omitempty"`
	// Models loaded on the endpoint, for engines.
	Models []string `json:"models,omitempty"`
}

// BundleHead names a verified bundle.
type BundleHead struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// BundleFetch asks for the bundle of a head.
type BundleFetch struct {
	Head BundleHead `json:"head"`
}

// BundleBody carries a signed bundle as published.
type BundleBody struct {
	Signed []byte `json:"signed"`
}

// VMNote passes on that the platform's list shows a VM as leaving.
type VMNote struct {
	VM string `json:"vm"`
	// Process is the one that the sender knows on the VM; zero if it knows none.
	Process Process `json:"process"`
}

// Retire says that the sender uses another connection from now on. Calls in
// flight on this one go on.
type Retire struct{}

// RecordsQuery asks for what a process knows of a request.
type RecordsQuery struct {
	Request string `json:"request"`
}

// Status is one process as it sees itself and its peers.
type Status struct {
	Process  Process       `json:"process"`
	Bundle   BundleHead    `json:"bundle"`
	Draining bool          `json:"draining"`
	Ready    bool          `json:"ready"`
	Uptime   time.Duration `json:"uptime_ns"`
	Peers    []AgentReport `json:"peers,omitempty"`
	Report   *AgentReport  `json:"report,omitempty"`
	// Cost by pool and stage, in endpoint-nanoseconds.
	Cost []StageCost `json:"cost,omitempty"`
}

// StageCost is the work of one stage of one pipeline for one client account.
type StageCost struct {
	Pipeline string        `json:"pipeline"`
	Stage    string        `json:"stage"`
	Account  string        `json:"account"`
	Useful   time.Duration `json:"useful_ns"`
	// Wasted is work of attempts that no complete answer came of.
	Wasted time.Duration `json:"wasted_ns"`
}
