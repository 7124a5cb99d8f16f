package pipeline

import (
	"encoding/json"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/wire"
)

// Event is something that happened to a request. The set is closed.
type Event interface {
	requestID() string
}

// Admit starts a request that has passed authentication, rate limits and
// admission.
type Admit struct {
	RequestID string
	// Ref identifies the waiting caller in the shell; Reply and Chunk return
	// it. It distinguishes two submissions of one held ID.
	Ref      uint64
	Identity wire.Identity
	Account  *bundle.Account
	// Bundle and Pipeline are the versions that the request uses until it ends.
	Bundle   *bundle.Bundle
	Pipeline *bundle.Pipeline
	// Deadline applies to all stages together.
	Deadline time.Time
	Input    json.RawMessage
	// Stream requests the chunks of the last stage's output as they arrive.
	Stream bool
	// Bindings gives, by stage name, the only agent run that may execute an
	// unrepeatable stage. Binding.Agent is the name of its endpoint.
	Bindings map[string]wire.Binding
	// PossibleResubmission is true when the same identity may have been submitted
	// before, to this entry or another.
	PossibleResubmission bool
	// AffinityHash groups requests that share a prompt prefix; zero if there is
	// none.
	AffinityHash uint64
}

// Refuse is a request that the shell rejected before any call. The core
// determines whether its outcome is "refused" or an earlier submission may have
// run.
type Refuse struct {
	Admit
	Reason     api.Reason
	Detail     string
	RetryAfter time.Duration
}

// StageChunk is a chunk of streamed output. The shell delivers the chunks of a
// call in order and before its StageResult.
type StageChunk struct{ wire.StageChunk }

// StageResult is an agent's reply to a Call. The shell checks that the echoed
// ID is that of the call, and reports a reply with another ID as CallLost.
type StageResult struct{ wire.StageResult }

// CallNotWritten means that no complete message of the call left the process.
type CallNotWritten struct{ CallID wire.CallID }

// CallLost means that the call was, or may have been, written and no reply
// arrived.
type CallLost struct{ CallID wire.CallID }

// RevokeAck is an agent's reply to a Revoke.
type RevokeAck struct {
	CallID wire.CallID
	wire.RevokeResult
}

// RevokeLost means that no reply to a Revoke arrived.
type RevokeLost struct{ CallID wire.CallID }

// PeekReply is an owner's reply to a SendPeek; Seq is that of the SendPeek.
type PeekReply struct {
	RequestID string
	Seq       uint64
	Stage     string
	wire.PeekResult
}

// PeekLost means that no reply to a SendPeek arrived.
type PeekLost struct {
	RequestID string
	Seq       uint64
	Stage     string
}

// Timer reports that the time of a SetTimer has come.
type Timer struct {
	RequestID string
	Kind      TimerKind
	Seq       uint64
}

// CallerGone means that the caller no longer waits for the reply.
type CallerGone struct {
	RequestID string
	Ref       uint64
}

func (e Admit) requestID() string          { return e.RequestID }
func (e StageChunk) requestID() string     { return e.ID.Request }
func (e StageResult) requestID() string    { return e.ID.Request }
func (e CallNotWritten) requestID() string { return e.CallID.Request }
func (e CallLost) requestID() string       { return e.CallID.Request }
func (e RevokeAck) requestID() string      { return e.CallID.Request }
func (e RevokeLost) requestID() string     { return e.CallID.Request }
func (e PeekReply) requestID() string      { return e.RequestID }
func (e PeekLost) requestID() string       { return e.RequestID }
func (e Timer) requestID() string          { return e.RequestID }
func (e CallerGone) requestID() string     { return e.RequestID }
