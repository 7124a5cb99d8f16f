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

// State is what the membership says of an endpoint.
type State uint8

// The endpoint states.
const (
	// StateLive endpoints take new work.
	StateLive State = iota
	// StateProbation endpoints take a trickle of work until they prove well.
	StateProbation
	// StateEjected endpoints take none unless too many others are ejected.
	StateEjected
	// StateLeaving endpoints take none.
	StateLeaving
)

var stateNames = [...]string{
	StateLive:      "live",
	StateProbation: "probation",
	StateEjected:   "ejected",
	StateLeaving:   "leaving",
}

// String returns the state's name in logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Endpoint is one endpoint as the entry believes it to be.
type Endpoint struct {
	Name   string
	Pool   string
	Domain string
	// Away is why a leaving endpoint takes no work.
	Away Away
	// Report is the latest from its agent; zero until the first.
	Report     wire.AgentReport
	ReportedAt time.Time
	State      State
	// Sent and Finished count this entry's own calls; they are shared by all
	// snapshots of the endpoint and corrected for the report's lag.
	Load *Load
}

// Tried is an endpoint that a request's stage has been sent to.
type Tried struct {
	Endpoint string
	// LostAt is when the endpoint, or the way to it, was found to be lost; zero
	// if it answered. An endpoint that has reported since may have restarted,
	// so it is worth another attempt.
	LostAt time.Time
}

// returned tells whether e has been heard of since it was lost.
func (t Tried) returned(e *Endpoint) bool {
	return !t.LostAt.IsZero() && e.ReportedAt.After(t.LostAt)
}

// Load counts one entry's own calls to an endpoint. It is updated without
// rebuilding the snapshot.
type Load struct {
	// InFlight is the number of this entry's calls without a reply.
	InFlight atomic.Int64
	// SentSinceReport is the number of calls sent since the latest report.
	SentSinceReport atomic.Int64
}

// Pool is the endpoints of one pool, in a fixed order. Build it with NewPool,
// which also orders it for one entry; without that order each decision costs
// more and all entries prefer the same endpoints.
type Pool struct {
	Name      string
	Endpoints []*Endpoint
	// Subset is how many endpoints the entry prefers; see SubsetSize. Zero
	// stands for subsetMin.
	Subset int
	// order is shared by all versions of the pool with the same members.
	order *order
}

// Snapshot is an immutable view of all pools.
type Snapshot struct {
	At     time.Time
	Domain string
	Pools  map[string]*Pool
}

// Request is what a decision needs to know.
type Request struct {
	ID       string
	Stage    string
	Pool     string
	Account  string
	Model    string
	Priority int
	// AffinityHash groups requests that share a prompt prefix; zero for none.
	AffinityHash uint64
	// Remaining is the time left before the request's deadline.
	Remaining time.Duration
	// Tried lists the endpoints that the stage has been sent to.
	Tried []Tried
	// HeardSince leaves only endpoints that have reported after it; zero for any.
	HeardSince time.Time
	// Only restricts the choice to one endpoint, for bound stages; empty for any.
	Only string
}

// Decision is the outcome of one choice, as logged.
type Decision struct {
	Endpoint *Endpoint
	// Candidates is the number of endpoints that passed the filters and were
	// compared; a decision looks at a sample of a large pool.
	Candidates int
	// Considered is the size of the pool.
	Considered int
	Reason     string
	// MayReturn: none was chosen, and one that is away now could serve the request.
	MayReturn bool
	// Unusable says why, of some endpoints of the pool, when none was chosen.
	Unusable []Unusable
}

// Router chooses endpoints.
type Router interface {
	// Pick returns a decision; its Endpoint is nil when no endpoint may be used.
	Pick(snap *Snapshot, req *Request, now time.Time, rng *rand.Rand) Decision
}
