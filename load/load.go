// Package load generates open-loop load against a deployment, injects faults
// into its stand-in endpoints on a schedule, checks every answer and reports
// the outcomes. The arrivals and faults depend only on a plan and its seed, so
// that two policies can be compared under the same load.
package load

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/api"
)

var (
	errs = errorx.NewNamespace("load")
	// ErrUnknownScenario is returned for a name that is not in Scenarios.
	ErrUnknownScenario = errs.NewType("unknown_scenario")
	// ErrPlan is returned for a configuration that cannot be run.
	ErrPlan = errs.NewType("plan")
)

// Kind is the purpose of a request in a run.
type Kind string

// The kinds of request.
const (
	// KindOrdinary requests follow the mix of pipelines and client accounts.
	KindOrdinary Kind = "ordinary"
	// KindFlood requests are those that one client account sends on top of its
	// share of the mix.
	KindFlood Kind = "flood"
	// KindCrash requests crash every endpoint of the limiting pool that runs
	// them. They cannot be answered and are excluded from attainment.
	KindCrash Kind = "crash"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the time at which the request is due, from the start of the run.
	At       time.Duration
	Kind     Kind
	Account  string
	Pipeline string
	Stream   bool
	// Group is the number of the prompt prefix that the request shares with
	// other requests.
	Group int
	// Marker identifies the request within its run. All crash requests of a run
	// share one marker, since their caller sends the same content repeatedly.
	Marker string
	// Warmup is true if the request is due during the warm-up: its answer is
	// checked, but it does not count in the figures.
	Warmup bool
}

// Sample is the result of one arrival as its caller saw it.
type Sample struct {
	Arrival
	Deadline time.Duration
	// Lag is the delay between the due time and the time at which the driver
	// sent the request.
	Lag time.Duration
	// Latency is the time from the due time to the last byte of the reply. It
	// includes Lag, so that a driver that falls behind makes the figures worse
	// rather than better.
	Latency time.Duration
	// Outcome is empty if no complete reply was received; Err then has the
	// reason.
	Outcome api.Outcome
	Reason  api.Reason
	// Detail is the problem's detail up to its first digit.
	Detail string
	Err    string
	// RetryAfter is true if a refusal named a time after which to retry.
	RetryAfter bool
	// Wrong describes how the answer differs from the expected one; empty if it
	// does not.
	Wrong string
	// FirstToken is the time from the due time to the first streamed token;
	// zero if nothing was streamed.
	FirstToken time.Duration
	// TokenGaps are the times between consecutive streamed tokens.
	TokenGaps []time.Duration
	// MissedObjective is true if the reply missed the latency objective of its
	// route, which is tighter than the deadline. Only runs of gateways set it.
	MissedObjective bool
}

// InTime reports whether the request got a complete and correct answer within
// its deadline and its latency objective.
func (s *Sample) InTime() bool {
	return s.Outcome == api.OutcomeAnswered && s.Wrong == "" && s.Latency <= s.Deadline && !s.MissedObjective
}
