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

// Admit starts a request that passed authentication, limits and admission.
type Admit struct {
	RequestID string
	// Ref is the shell's own number for the waiting caller; Reply and Chunk
	// echo it. It tells two sendings of one held ID apart.
	Ref      uint64
	Identity wire.Identity
	Account  *bundle.Account
	// Bundle and Pipeline are the version that the request keeps to its end.
	Bundle   *bundle.Bundle
	Pipeline *bundle.Pipeline
	// Deadline is for all stages together.
	Deadline time.Time
	Input    json.RawMessage
	// Stream asks for the pieces of the last stage's output as they come.
	Stream bool
	// Bindings names, by stage, the only agent run that may execute an
	// unrepeatable stage. Binding.Agent is the name of its endpoint.
	Bindings map[string]wire.Binding
	// MayHaveEarlier: another entry, or this one, may have been sent the same
	// identity before.
	MayHaveEarlier bool
	// AffinityHash groups requests that share a prompt prefix; zero for none.
	AffinityHash uint64
}

// Refuse is a request that the shell turned away before any call. The core
// finds out whether it may be called "refused".
type Refuse struct {
	Admit
	Reason     api.Reason
	Detail     string
	RetryAfter time.Duration
}

// StageChunk is a piece of a streamed result. The shell delivers those of a
// call in their order and before its StageResult.
type StageChunk struct{ wire.StageChunk }

// StageResult is an agent's reply to a Call. The shell checks that the echoed
// ID is that of the call; one with another ID is a CallLost.
type StageResult struct{ wire.StageResult }

// CallNotWritten means that no complete message of the call left the process.
type CallNotWritten struct{ CallID wire.CallID }

// CallLost means that the call was, or may have been, written and no reply came.
type CallLost struct{ CallID wire.CallID }

// RevokeAck is an agent's reply to a Revoke.
type RevokeAck struct {
	CallID wire.CallID
	wire.RevokeResult
}

// RevokeLost means that no reply to a Revoke came.
type RevokeLost struct{ CallID wire.CallID }

// PeekReply is an owner's reply to a SendPeek, whose Seq it repeats.
type PeekReply struct {
	RequestID string
	Seq       uint64
	Stage     string
	wire.PeekResult
}

// PeekLost means that no reply to a SendPeek came.
type PeekLost struct {
	RequestID string
	Seq       uint64
	Stage     string
}

// Timer is a SetTimer that has come due.
type Timer struct {
	RequestID string
	Kind      TimerKind
	Seq       uint64
}

// CallerGone means that nobody waits for the reply any more.
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
