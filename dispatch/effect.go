package dispatch

import (
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/quarantine"
)

// Effect is an action for the scheduler to carry out.
type Effect interface{ effect() }

// StartCall sends a call to an endpoint of a stage service. The scheduler answers
// with CallEnded.
type StartCall struct {
	Call     uint64
	Service  string
	Endpoint string
	// Key is the endpoint's Key.
	Key  string
	Addr string
	// Domain is the endpoint's failure domain.
	Domain string
	Pieces []Piece
	// Timeout is the time after which the call counts as lost.
	Timeout time.Duration
	// Waiting is the number of pieces left in the service's queue.
	Waiting int
	// Speed is the endpoint's measured over its nominal call time, by which it was
	// chosen. Suspect is true if the last call was lost or the failure domain cannot
	// be reached; the call then has only one piece.
	Speed   float64
	Suspect bool
	// Trial is true if the call is a trial of quarantined content.
	Trial bool
	// Watched is true if the content may crash endpoints, so that the calls with it are few.
	Watched bool
}

// Piece is one piece of a call.
type Piece struct {
	Request      string
	Content      quarantine.Content
	Stage, Index int
	Remaining    time.Duration
	// Key is set for stages without inputs, Inputs for the others.
	Key    string
	Inputs []string
}

// Grant sends a request to a model engine.
type Grant struct {
	Ticket string `json:"ticket"`
	// Endpoint is the engine's Key.
	Endpoint string   `json:"endpoint"`
	Addr     string   `json:"addr"`
	Inputs   []string `json:"inputs,omitempty"`
	// Sources are the processes that keep the inputs.
	Sources []Source `json:"sources,omitempty"`
	// Waited is the time since submission. Slack is the time left until the objective,
	// minus the expected time to the first event. Late is true if the job was forecast
	// to miss its objective.
	Waited time.Duration `json:"waited"`
	Slack  time.Duration `json:"slack"`
	Late   bool          `json:"late,omitempty"`
	// Token is true if a token of the engine's quota was spent for the request. Without
	// it the engine had no quota, as far as the owner knew.
	Token bool `json:"token,omitempty"`
}

// Source is a process that keeps results.
type Source struct {
	// Endpoint is the endpoint's ID.
	Endpoint    string              `json:"endpoint"`
	Incarnation catalog.Incarnation `json:"incarnation,omitempty"`
}

// Refuse ends a job that was not granted.
type Refuse struct {
	Ticket string `json:"ticket"`
	Reason Reason `json:"reason"`
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration `json:"retry_after"`
	// ShortService is the service that was short of a resource, and ShortResource the
	// resource.
	ShortService  string   `json:"queue,omitempty"`
	ShortResource Resource `json:"short,omitempty"`
	// LateBy is how late the job would have started there.
	LateBy time.Duration `json:"behind,omitempty"`
	// OverShare is true if the job's client account has more than its share of that
	// service.
	OverShare bool `json:"over_share,omitempty"`
}

// Resource is something that a service can be short of.
type Resource string

// The resources.
const (
	// ResourceCalls means places in calls.
	ResourceCalls Resource = "calls"
	// ResourceCallTime means calls that end in time: pieces were in calls that did not,
	// or were lost.
	ResourceCallTime Resource = "call_time"
	// ResourceInputs means results of earlier stages that were gone.
	ResourceInputs Resource = "inputs"
	// ResourceWork means an endpoint at which the work succeeds.
	ResourceWork Resource = "work"
	// ResourceMemory means memory for results.
	ResourceMemory Resource = "result_memory"
	// ResourceEndpoints means usable endpoints.
	ResourceEndpoints Resource = "endpoints"
	// ResourceEngine means a model engine that can accept a request now.
	ResourceEngine Resource = "engine"
	// ResourceVersion means model engines of the version that began a stream.
	ResourceVersion Resource = "version"
)

// Move returns a job of which nothing has run to the process that submitted it,
// which submits it to the current queue owner.
type Move struct {
	Ticket string
}

// Free frees results at an endpoint. The scheduler answers with FreeEnded.
type Free struct {
	ID       uint64
	Endpoint string
	// Key is the endpoint's Key.
	Key  string
	Addr string
	// Domain is the endpoint's failure domain.
	Domain  string
	Handles []string
}

func (StartCall) effect() {}
func (Grant) effect()     {}
func (Refuse) effect()    {}
func (Move) effect()      {}
func (Free) effect()      {}

// Reason says why a job was refused.
type Reason string

// The reasons.
const (
	// ReasonOverload means that the stages cannot be done in time.
	ReasonOverload Reason = "overload"
	// ReasonNoEndpoint means that a service has no usable endpoint.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonNoVersion means that a service has no usable engine of the version that began
	// the stream.
	ReasonNoVersion Reason = "stream_version_gone"
	// ReasonStageFailed means that pieces of a stage failed too often, or that their
	// inputs are gone.
	ReasonStageFailed Reason = "stage_failed"
	// ReasonDeadline means that too little time is left for the stages and the
	// request.
	ReasonDeadline Reason = "deadline"
	// ReasonUnknownStage means that the configuration has no such stage service.
	ReasonUnknownStage Reason = "unknown_stage"
)

// Outcome is what became of one piece.
type Outcome struct {
	// Handle names the result; empty if there is none.
	Handle string
	Fault  Fault
}

// Fault says why a piece has no result.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultLate means that the piece's time had run out before the endpoint worked on
	// it.
	FaultLate Fault = "late"
	// FaultInputsGone means that an input is no longer kept.
	FaultInputsGone Fault = "inputs_gone"
	// FaultNoMemory means that there is no memory for the result.
	FaultNoMemory Fault = "no_room"
	// FaultWorkFailed means that the work failed.
	FaultWorkFailed Fault = "work_failed"
)

// CallFault says how a whole call failed.
type CallFault string

// The faults of calls.
const (
	CallOK CallFault = ""
	// CallRefused means that the endpoint did not run the call.
	CallRefused CallFault = "refused"
	// CallLost means that no usable answer came; the call may have run.
	CallLost CallFault = "lost"
	// CallAbandoned means that the member that made the call was lost or silent. The call may
	// have run, and says nothing about its endpoint.
	CallAbandoned CallFault = "abandoned"
	// CallOtherIncarnation means that another incarnation answers at the address; the call did
	// not run.
	CallOtherIncarnation CallFault = "other_incarnation"
)
