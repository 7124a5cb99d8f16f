package endpoint

import "encoding/json"

// HeaderCall carries the call's ID on every request that runs a call.
const HeaderCall = "Mangostage-Call"

// Paths of the HTTP protocols.
const (
	PathRun         = "/v1/run"
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathHealth      = "/v1/health"
	PathOrders      = "/v1/orders"
	PathCacheEvents = "/v1/cache-events"
)

// Names of the server-sent events of a generation.
const (
	EventToken = "token"
	EventDone  = "done"
	EventError = "error"
)

// RunRequest is the body of PathRun.
type RunRequest struct {
	Call     string          `json:"call"`
	Stage    string          `json:"stage"`
	Input    json.RawMessage `json:"input,omitempty"`
	Previous json.RawMessage `json:"previous,omitempty"`
}

// RunReply is the body of a complete reply to PathRun.
type RunReply struct {
	Call   string          `json:"call"`
	Output json.RawMessage `json:"output"`
	// Cost is endpoint time in nanoseconds.
	Cost int64 `json:"cost_ns"`
}

// FailureReply is the body of every unsuccessful reply, and the data of EventError.
type FailureReply struct {
	Call string `json:"call"`
	// Refused, together with status 503, means that the call did not run.
	Refused bool   `json:"refused,omitempty"`
	Error   string `json:"error"`
}

// GenerateRequest is the body of PathGenerate.
type GenerateRequest struct {
	Call      string          `json:"call"`
	Stage     string          `json:"stage"`
	Model     string          `json:"model,omitempty"`
	Input     json.RawMessage `json:"input,omitempty"`
	Previous  json.RawMessage `json:"previous,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	// Priority orders calls in the engine's queue; higher first.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the sequence number of the first token to send of a generation
	// that the engine still keeps; zero starts a new generation.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// TokenEvent is the data of EventToken. Seq counts from zero without gaps.
type TokenEvent struct {
	Call string `json:"call"`
	Seq  int    `json:"seq"`
	Text string `json:"text"`
}

// DoneEvent is the data of EventDone, which ends every complete generation.
type DoneEvent struct {
	Call   string          `json:"call"`
	Tokens int             `json:"tokens"`
	Output json.RawMessage `json:"output"`
	// Cost is endpoint time in nanoseconds.
	Cost int64 `json:"cost_ns"`
}

// CancelRequest is the body of PathCancel.
type CancelRequest struct {
	Call string `json:"call"`
}

// HealthReply is the body of a reply to PathHealth. Its load figures may be out of date.
type HealthReply struct {
	Up       bool     `json:"up"`
	InFlight int      `json:"in_flight"`
	Queued   int      `json:"queued"`
	Models   []string `json:"models,omitempty"`
}

// StaleFenceReply is the body of a reply to PathOrders with status 409.
type StaleFenceReply struct {
	Error   string `json:"error"`
	Highest uint64 `json:"highest"`
}

// CacheEventsReply is the body of a reply to PathCacheEvents.
type CacheEventsReply struct {
	Events []CacheEvent `json:"events"`
}
