// Package endpoint speaks to endpoints. Protocols are plug-ins; an agent uses
// one to run calls on the endpoint beside it.
package endpoint

import (
	"context"
	"encoding/json"
	"time"
)

// Call is what an endpoint is asked to do.
type Call struct {
	// ID is echoed by the endpoint, so that a reply is never taken for another's.
	ID           string
	Stage        string
	Model        string
	Unrepeatable bool
	Stream       bool
	MaxTokens    int
	Priority     int
	Input        json.RawMessage
	Previous     json.RawMessage
}

// Result is a complete reply.
type Result struct {
	Output json.RawMessage
	Tokens int
	// Cost is what the endpoint says it spent, or the time the call took.
	Cost time.Duration
}

// Written tells how far a failed call got.
type Written bool

// Error is a failed call. It is the agent's ground for saying that a call did not run.
type Error struct {
	// Written is false only if no byte of the call can have reached the endpoint.
	Written Written
	// Refused: the endpoint itself said that it did not run the call.
	Refused bool
	// Lost: the connection broke or the reply was malformed after writing.
	Lost bool
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Health is an endpoint's own word on its state.
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
	// Health asks the endpoint how it is.
	Health(ctx context.Context) (Health, error)
}
