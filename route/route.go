// Package route chooses the endpoint for one attempt of one stage. A decision
// is a pure function of an immutable snapshot, the request, the time and a
// random source; filters, scorers and pickers are plug-ins.
package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/wire"
)

// State is an endpoint's routing state, set by the membership and by Health.
type State uint8

// The endpoint states.
const (
	// StateLive endpoints take new work.
	StateLive State = iota
	// StateProbation endpoints take single calls until enough of these succeed.
	StateProbation
	// StateEjected endpoints take no work, except for stages bound to them and
	// when no endpoint in a better state is usable.
	StateEjected
	// StateLeaving endpoints take no work.
	StateLeaving
)

var stateNames = [...]string{
	StateLive:      "live",
	StateProbation: "probation",
	StateEjected:   "ejected",
	StateLeaving:   "leaving",
}

// String returns the state's name as shown in logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Endpoint is an endpoint as one entry sees it. It is not changed once it is in
// a snapshot, except for Load.
type Endpoint struct {
	Name string
	Pool string
	// Domain is the endpoint's failure domain.
	Domain string
	// Unavailability is why an endpoint in StateLeaving takes no work; empty if not
	// known.
	Unavailability Unavailability
	// Report is the latest report from the endpoint's agent; zero before the
	// first.
	Report wire.AgentReport
	// ReportedAt is when this entry received Report.
	ReportedAt time.Time
	State      State
	// Load counts this entry's own calls to the endpoint. All snapshots of the
	// endpoint share it; with it the report's load is corrected for the
	// report's age.
	Load *Load
}

// Tried is an endpoint to which a request's stage has already been sent.
type Tried struct {
	Endpoint string
	// LostAt is when the endpoint, or the connection to it, was found to be
	// lost; zero if the endpoint answered. An endpoint that has reported since
	// may have restarted, so it may be tried again.
	LostAt time.Time
}

// reportedSinceLoss tells whether e was lost and has sent a report since.
func (t Tried) reportedSinceLoss(e *Endpoint) bool {
	return !t.LostAt.IsZero() && e.ReportedAt.After(t.LostAt)
}

// Load counts one entry's own calls to an endpoint. It is updated in place,
// without a new snapshot.
type Load struct {
	// InFlight is the number of this entry's calls without a reply.
	InFlight atomic.Int64
	// SentSinceReport is the number of calls sent since the latest report.
	SentSinceReport atomic.Int64
}

// Pool is the endpoints of one pool, in a fixed order. Build it with NewPool,
// which also computes the order in which one entry prefers them. Without that
// order each decision costs more and all entries prefer the same endpoints.
type Pool struct {
	Name      string
	Endpoints []*Endpoint
	// Subset is the number of endpoints that the entry prefers; see SubsetSize.
	// Zero means subsetMin.
	Subset int
	// order is the entry's preference order. All versions of the pool with the
	// same members share it.
	order *order
}

// Snapshot is an immutable view of all pools.
type Snapshot struct {
	At time.Time
	// Domain is the entry's own failure domain.
	Domain string
	// Pools holds the pools by name.
	Pools map[string]*Pool
}

// Request is what a decision needs to know of a request.
type Request struct {
	ID       string
	Stage    string
	Pool     string
	Account  string
	Model    string
	Priority int
	// AffinityHash is equal for requests that share a prompt prefix; zero means
	// no affinity.
	AffinityHash uint64
	// Remaining is the time left before the request's deadline.
	Remaining time.Duration
	// Tried lists the endpoints to which the stage has been sent.
	Tried []Tried
	// ReportedAfter restricts the choice to endpoints whose latest report arrived
	// after it; zero means no restriction.
	ReportedAfter time.Time
	// BoundTo restricts the choice to one endpoint, for stages bound to it; empty
	// means any endpoint.
	BoundTo string
}

// Decision is the outcome of one choice, as logged.
type Decision struct {
	// Endpoint is the chosen endpoint; nil if none may be used.
	Endpoint *Endpoint
	// Candidates is the number of endpoints that passed the filters and were
	// compared; in a large pool, only a sample is compared.
	Candidates int
	// Considered is the number of endpoints to choose from: the size of the
	// pool, or one for a bound stage.
	Considered int
	// Reason is one of the Reason constants.
	Reason string
	// MayBecomeUsable is true if no endpoint was chosen, but one that is unusable now
	// could serve the request later.
	MayBecomeUsable bool
	// Unusable explains why endpoints of the pool may not be used, for at most
	// maxUnusable of them. It is set only if no endpoint was chosen.
	Unusable []Unusable
}

// Router chooses endpoints.
type Router interface {
	// Pick returns a decision; its Endpoint is nil when no endpoint may be used.
	Pick(snap *Snapshot, req *Request, now time.Time, rng *rand.Rand) Decision
}
