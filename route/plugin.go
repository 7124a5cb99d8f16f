package route

import (
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/kernel"
)

// Namespaces of the routing plug-ins.
const (
	NamespaceFilter = "route.filter."
	NamespaceScorer = "route.scorer."
	NamespacePicker = "route.picker."
)

var (
	errs = errorx.NewNamespace("route")
	// ErrUnknownPolicy is returned for a policy name without a set of plug-ins.
	ErrUnknownPolicy = errs.NewType("unknown_policy")
)

// Query is one decision to be made. It is valid only during the call.
type Query struct {
	Snapshot *Snapshot
	Pool     *Pool
	Request  *Request
	Now      time.Time
	Rand     *rand.Rand
	// prefixHome and identityHome are what the affinities prefer.
	prefixHome   *Endpoint
	identityHome *Endpoint
	// sample is the scratch space of the picker.
	sample sample
}

// Candidate is an endpoint under consideration, with its load estimated once
// for all scorers.
type Candidate struct {
	Endpoint *Endpoint
	// Load is the calls on the endpoint or waiting for it, Capacity how many run at once.
	Load     float64
	Capacity float64
	// Service is the median time of a call, in seconds.
	Service float64
}

// Filter tells whether an endpoint may be chosen at all.
type Filter interface {
	Keep(q *Query, e *Endpoint) bool
}

// Scorer estimates what choosing an endpoint costs, in seconds until the
// answer; lower is better. The scores of all scorers are added.
type Scorer interface {
	Score(q *Query, c *Candidate) float64
}

// Nominator is implemented by scorers that have an endpoint in mind which
// must be among those compared. It returns nil for none.
type Nominator interface {
	Nominate(q *Query, chain *Chain) *Endpoint
}

// Picker chooses among the endpoints of the pool that every filter keeps.
type Picker interface {
	Pick(q *Query, chain *Chain) Decision
}

// Configurer is implemented by plug-ins that read parameters of the policy.
type Configurer interface {
	Configure(policy bundle.Policy)
}

// Chain is the filters and scorers in force.
type Chain struct {
	Filters    []Filter
	Scorers    []Scorer
	Nominators []Nominator
}

// Keep tells whether every filter keeps e.
func (c *Chain) Keep(q *Query, e *Endpoint) bool {
	for _, f := range c.Filters {
		if !f.Keep(q, e) {
			return false
		}
	}
	return true
}

// Score adds up the scorers.
func (c *Chain) Score(q *Query, candidate *Candidate) float64 {
	var sum float64
	for _, s := range c.Scorers {
		sum += s.Score(q, candidate)
	}
	return sum
}

// set names the plug-ins of one policy.
type set struct {
	filters []kernel.ModuleID
	scorers []kernel.ModuleID
	picker  kernel.ModuleID
}

var sets = map[bundle.PolicyName]set{
	bundle.PolicyAdaptive: {
		filters: []kernel.ModuleID{filterAvailable, filterExclude, filterFresh, filterModel},
		scorers: []kernel.ModuleID{scorerWait, scorerLocality, scorerAffinity, scorerIdentity},
		picker:  pickerSample,
	},
	bundle.PolicyNaive: {
		filters: []kernel.ModuleID{filterAvailable, filterExclude, filterFresh, filterModel},
		picker:  pickerRoundRobin,
	},
}
