package dispatch

import (
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// Effect is what the shell has to do.
type Effect interface{ effect() }

// StartCall sends a call to an endpoint of a stage's service. The shell
// answers with CallEnded.
type StartCall struct {
	Call     uint64
	Service  string
	Endpoint string
	Addr     string
	Pieces   []Piece
	// Timeout is when the endpoint is taken for silent.
	Timeout time.Duration
	// Waiting is the number of pieces left in the service's queue.
	Waiting int
	// Speed is the endpoint's measured time of calls over the nominal one, by which
	// it was chosen; a Suspect gets one piece, since its last call was overdue or
	// its failure domain is not reached.
	Speed   float64
	Suspect bool
}

// Piece is one piece of a call.
type Piece struct {
	Request      string
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
	// Waited is the time since the job came, Slack what is left until its
	// objective beyond the usual time to a first event. Late jobs were
	// forecast to miss it.
	Waited time.Duration `json:"waited"`
	Slack  time.Duration `json:"slack"`
	Late   bool          `json:"late,omitempty"`
}

// Source is a process that keeps results.
type Source struct {
	// Endpoint is the ID.
	Endpoint    string              `json:"endpoint"`
	Incarnation catalog.Incarnation `json:"incarnation,omitempty"`
}

// Refuse ends a job that was not granted.
type Refuse struct {
	Ticket string `json:"ticket"`
	Reason Reason `json:"reason"`
	// RetryAfter is when another try may succeed.
	RetryAfter time.Duration `json:"retry_after"`
	// Queue is the service that was short of something, and Short of what.
	Queue string   `json:"queue,omitempty"`
	Short Resource `json:"short,omitempty"`
	// Behind is how much too late the job would have started there.
	Behind time.Duration `json:"behind,omitempty"`
}

// Resource is what a service can be short of.
type Resource string

// The resources.
const (
	// ResourceCalls are places in calls.
	ResourceCalls Resource = "calls"
	// ResourceMemory is memory for results.
	ResourceMemory Resource = "result_memory"
	// ResourceEndpoints are endpoints that take work.
	ResourceEndpoints Resource = "endpoints"
	// ResourceEngine is a model engine that bears a request now.
	ResourceEngine Resource = "engine"
)

// Move gives a job without any piece made back to its entry, which gives it to
// the present owner of the queue.
type Move struct {
	Ticket string
}

// Free gives up results at an endpoint. The shell answers with FreeEnded.
type Free struct {
	ID       uint64
	Endpoint string
	Addr     string
	Handles  []string
}

func (StartCall) effect() {}
func (Grant) effect()     {}
func (Refuse) effect()    {}
func (Move) effect()      {}
func (Free) effect()      {}

// Reason tells why a job was refused.
type Reason string

// The reasons.
const (
	// ReasonOverload means that the stages cannot be done in time.
	ReasonOverload Reason = "overload"
	// ReasonNoEndpoint means that a service has no endpoint that takes work.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonStageFailed means that pieces failed time and again.
	ReasonStageFailed Reason = "stage_failed"
	// ReasonDeadline means that the deadline came before the stages were done.
	ReasonDeadline Reason = "deadline"
	// ReasonUnknownStage means that the configuration has no such stage service.
	ReasonUnknownStage Reason = "unknown_stage"
)

// Outcome tells what became of one piece.
type Outcome struct {
	// Handle is the result; empty if there is none.
	Handle string
	Fault  Fault
}

// Fault tells why a piece has no result.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultLate means that the piece's time had passed at its turn.
	FaultLate Fault = "late"
	// FaultInputs means that an input is no longer kept.
	FaultInputs Fault = "inputs_gone"
	// FaultRoom means that there is no memory for the result.
	FaultRoom Fault = "no_room"
	// FaultWork means that the work failed.
	FaultWork Fault = "work_failed"
)

// CallFault tells how a whole call failed.
type CallFault string

// The faults of calls.
const (
	CallOK CallFault = ""
	// CallRefused means that the endpoint did not run the call.
	CallRefused CallFault = "refused"
	// CallLost means that no usable answer came; the call may have run.
	CallLost CallFault = "lost"
	// CallOther means that another incarnation has the address.
	CallOther CallFault = "other_incarnation"
)
