// Package load drives a deployment with open-loop load, makes its stand-ins
// fail on a schedule, checks every answer, and sums up what became of the
// requests. Arrivals, faults and sums are functions of a plan and a seed, so
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
	// ErrPlan is returned for a plan that cannot be run.
	ErrPlan = errs.NewType("plan")
)

// Kind tells why a request is sent.
type Kind string

// The kinds of request.
const (
	// KindOrdinary requests are the mix of pipelines and client accounts.
	KindOrdinary Kind = "ordinary"
	// KindFlood requests are what one client account sends beyond its part.
	KindFlood Kind = "flood"
	// KindCrash requests crash every endpoint of one pool that runs them. They
	// cannot be answered and do not count in attainment.
	KindCrash Kind = "crash"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is when it is due, from the start of the run.
	At       time.Duration
	Kind     Kind
	Account  string
	Pipeline string
	Stream   bool
	// Group numbers the prompt prefix that the request shares with others.
	Group int
	// Marker names the request within its run. All crash requests of a run
	// share one, since their caller sends the same content again.
	Marker string
	// Warmup requests are checked but do not count in the figures.
	Warmup bool
}

// Sample is what became of one arrival, as its caller saw it.
type Sample struct {
	Arrival
	Deadline time.Duration
	// Lag is how much later than due it was sent, by the driver's own fault.
	Lag time.Duration
	// Latency counts from the time due to the last byte of the reply, so that
	// a driver that falls behind makes figures worse and not better.
	Latency time.Duration
	// Outcome is empty if no whole reply came; Err says why then.
	Outcome api.Outcome
	Reason  api.Reason
	// Detail is the problem's, without its figures.
	Detail string
	Err    string
	// RetryAfter tells whether a refusal said when to come back.
	RetryAfter bool
	// Wrong says how an answer differs from the request's own; empty for none.
	Wrong string
	// FirstToken counts from the time due; zero if nothing was streamed.
	FirstToken time.Duration
	// TokenGaps are the times between streamed tokens.
	TokenGaps []time.Duration
	// Missed answers came within the deadline and missed a tighter objective.
	Missed bool
}

// InTime tells whether the request was answered completely within its deadline
// and its objective.
func (s *Sample) InTime() bool {
	return s.Outcome == api.OutcomeAnswered && s.Wrong == "" && s.Latency <= s.Deadline && !s.Missed
}
