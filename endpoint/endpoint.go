// Package endpoint implements clients of endpoints. Protocols are plug-ins; an
// agent uses one of them to run calls on its local endpoint.
package endpoint

import (
	"context"
	"encoding/json"
	"time"
)

// Call is one stage call to an endpoint.
type Call struct {
	// ID is echoed by the endpoint, so that a reply is matched to its call.
	ID    string
	Stage string
	Model string
	// Unrepeatable means that the call may run at most once.
	Unrepeatable bool
	// Stream means that the caller wants chunks as they are generated.
	Stream    bool
	MaxTokens int
	Priority  int
	Input     json.RawMessage
	Previous  json.RawMessage
}

// Result is a complete reply.
type Result struct {
	Output json.RawMessage
	Tokens int
	// Cost is the endpoint time as the endpoint reports it, or else the duration
	// of the call.
	Cost time.Duration
}

// Written reports whether any byte of a call may have reached the endpoint.
type Written bool

// Error is a failed call. Agents use it to decide whether a call may have run.
type Error struct {
	// Written is false only if no byte of the call can have reached the endpoint.
	Written Written
	// Refused means that the endpoint itself replied that it did not run the call.
	Refused bool
	// Lost means that the call was written, but the connection broke or the reply
	// was malformed, so that its result is unknown.
	Lost bool
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Health is an endpoint's state as it reports it itself.
type Health struct {
	Up       bool
	InFlight int
	Queued   int
	Models   []string
}

// Protocol runs calls on one endpoint. Implementations never send a call twice.
type Protocol interface {
	// Run sends the call. It calls chunk for each streamed piece, in order,
	// and returns only a complete result. Its error is always an *Error.
	// Canceling ctx cancels the call on the endpoint.
	Run(ctx context.Context, call Call, chunk func(seq int, text string)) (Result, error)
	// Health queries the endpoint's state.
	Health(ctx context.Context) (Health, error)
}
