// Package api defines the caller-facing API: the outcome of a request, the answer
// and problem documents, and the names of HTTP headers and problem types.
package api

import (
	"encoding/json"
	"time"
)

// Outcome is the final or current state of a request. Every reply carries exactly one.
type Outcome string

const (
	// OutcomeAnswered means the reply holds the complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused means that no stage of the request ran. It is used only if
	// this has been proved.
	OutcomeRefused Outcome = "refused"
	// OutcomeCutShort means that at least one stage ran but there is no complete answer.
	OutcomeCutShort Outcome = "cut_short"
	// OutcomeUnknown means that some stage may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomePending is returned only by look-ups, while the request is still running.
	OutcomePending Outcome = "pending"
)

// Reason is a stable machine-readable cause of a refusal or failure. It also
// forms the last element of a problem's type URI.
type Reason string

// The reasons that a reply can carry.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonUnknownPipeline  Reason = "unknown_pipeline"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonNotFound         Reason = "not_found"
	ReasonForeignRequestID Reason = "foreign_request_id"
	ReasonKeyConflict      Reason = "key_conflict"
	ReasonIDExpired        Reason = "id_expired"
	ReasonRateLimited      Reason = "rate_limited"
	ReasonOverloaded       Reason = "overloaded"
	ReasonDeadline         Reason = "deadline"
	ReasonDeadlineTooShort Reason = "deadline_too_short"
	ReasonNoEndpoint       Reason = "no_endpoint"
	ReasonDraining         Reason = "draining"
	ReasonNoBundle         Reason = "no_bundle"
	ReasonPaused           Reason = "paused"
	ReasonTableFull        Reason = "table_full"
	ReasonRevoked          Reason = "revoked"
	ReasonNotOwner         Reason = "not_owner"
	ReasonOwnerRestarted   Reason = "owner_restarted"
	ReasonOwnerUnreachable Reason = "owner_unreachable"
	ReasonEarlierAttempt   Reason = "earlier_attempt"
	ReasonEndpointFailed   Reason = "endpoint_failed"
	ReasonEndpointLost     Reason = "endpoint_lost"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonSuspectRequest   Reason = "suspect_request"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonInternal         Reason = "internal"
)

// HTTP header names of the caller API.
const (
	HeaderRequestID      = "Mangostage-Request-Id"
	HeaderOutcome        = "Mangostage-Outcome"
	HeaderTimeout        = "Mangostage-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ProblemTypePrefix starts the type URI of every problem document.
const ProblemTypePrefix = "urn:mangostage:problem:"

// StageRun is one attempt of one stage as reported to the caller.
type StageRun struct {
	Stage    string        `json:"stage"`
	Endpoint string        `json:"endpoint,omitempty"`
	Attempt  int           `json:"attempt"`
	State    StageState    `json:"state"`
	Elapsed  time.Duration `json:"took_ns"`
}

// StageState is the state of one attempt of a stage, as far as it is known for certain.
type StageState string

const (
	// StageDone means the endpoint returned its complete result.
	StageDone StageState = "done"
	// StageNotRun means that the endpoint did not run the attempt.
	StageNotRun StageState = "not_run"
	// StageFailed means that the endpoint ran the attempt and did not complete it.
	StageFailed StageState = "failed"
	// StageMayHaveRun means that it is unknown whether the endpoint ran the attempt.
	StageMayHaveRun StageState = "may_have_run"
)

// Request is the JSON body of a call to a pipeline.
type Request struct {
	// Input is passed to every stage unchanged.
	Input json.RawMessage `json:"input"`
}

// Answer is the JSON body of a complete reply.
type Answer struct {
	RequestID string          `json:"request_id"`
	Outcome   Outcome         `json:"outcome"`
	Pipeline  string          `json:"pipeline"`
	Output    json.RawMessage `json:"output"`
	Stages    []StageRun      `json:"stages"`
	// Replayed is true if the result of an unrepeatable stage comes from an earlier
	// submission.
	Replayed bool `json:"replayed,omitempty"`
	// BundleVersion is the version of the bundle under which the request was accepted.
	BundleVersion uint64 `json:"bundle_version"`
}

// Problem is an RFC 9457 problem document with Mangostage's extensions.
type Problem struct {
	Type      string     `json:"type"`
	Title     string     `json:"title"`
	Status    int        `json:"status"`
	Detail    string     `json:"detail,omitempty"`
	RequestID string     `json:"request_id"`
	Outcome   Outcome    `json:"outcome"`
	Reason    Reason     `json:"reason"`
	Stages    []StageRun `json:"stages,omitempty"`
	// RetryAfter is how long the caller should wait before it retries; zero means
	// that no retry is suggested.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Final is the final reply to a request. Exactly one of Answer and Problem is set.
type Final struct {
	Answer  *Answer
	Problem *Problem
}

// Outcome returns the outcome of the answer or problem.
func (f Final) Outcome() Outcome {
	if f.Answer != nil {
		return f.Answer.Outcome
	}
	return f.Problem.Outcome
}
