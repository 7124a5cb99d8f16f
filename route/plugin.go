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

// Query is the input of one decision. It is valid only during the call.
type Query struct {
	Snapshot *Snapshot
	Pool     *Pool
	Request  *Request
	Now      time.Time
	Rand     *rand.Rand
	// prefixEndpoint and identityEndpoint are the endpoints to which the
	// request's prefix hash and its ID map; nil if there is none.
	prefixEndpoint   *Endpoint
	identityEndpoint *Endpoint
	// sample is the picker's scratch space.
	sample sample
}

// Candidate is an endpoint under consideration. Its load is estimated once for
// all scorers.
type Candidate struct {
	Endpoint *Endpoint
	// Load is the number of calls running on the endpoint or queued for it;
	// Capacity is how many it runs at once.
	Load     float64
	Capacity float64
	// Service is the median duration of a call, in seconds.
	Service float64
}

// Filter tells whether an endpoint may be chosen at all.
type Filter interface {
	Keep(q *Query, e *Endpoint) bool
}

// Scorer estimates the cost of choosing an endpoint as seconds until the
// answer; lower is better. The results of all scorers are added.
type Scorer interface {
	Score(q *Query, c *Candidate) float64
}

// Nominator is implemented by scorers that prefer a particular endpoint, so
// that it is among those compared even if it is not sampled.
type Nominator interface {
	// Nominate returns the preferred endpoint, or nil if there is none.
	Nominate(q *Query, chain *Chain) *Endpoint
}

// Picker chooses among the endpoints of the pool that pass every filter.
type Picker interface {
	Pick(q *Query, chain *Chain) Decision
}

// Configurer is implemented by plug-ins that take parameters from the policy.
type Configurer interface {
	Configure(policy bundle.Policy)
}

// Chain is the filters and scorers of one policy.
type Chain struct {
	Filters []Filter
	Scorers []Scorer
	// Nominators are those of the scorers that implement Nominator.
	Nominators []Nominator
}

// Keep tells whether e passes every filter.
func (c *Chain) Keep(q *Query, e *Endpoint) bool {
	for _, f := range c.Filters {
		if !f.Keep(q, e) {
			return false
		}
	}
	return true
}

// Score returns the sum of all scorers, in seconds.
func (c *Chain) Score(q *Query, candidate *Candidate) float64 {
	var sum float64
	for _, s := range c.Scorers {
		sum += s.Score(q, candidate)
	}
	return sum
}

// pluginSet names the plug-ins of one policy.
type pluginSet struct {
	filters []kernel.ModuleID
	scorers []kernel.ModuleID
	picker  kernel.ModuleID
}

var pluginSets = map[bundle.PolicyName]pluginSet{
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
