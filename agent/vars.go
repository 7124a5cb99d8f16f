package agent

import (
	"expvar"
	"sync"

	"github.com/mangostage/mangostage/api"
)

// decisionKey identifies a count of decisions by verdict and reason.
type decisionKey struct {
	kind   Verdict
	reason api.Reason
}

// decisionCounts counts the agent's decisions since its start.
type decisionCounts struct {
	mu sync.Mutex
	n  map[decisionKey]int64
}

func (c *decisionCounts) add(d Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[decisionKey]int64)
	}
	c.n[decisionKey{d.Verdict, d.Reason}]++
}

// byName returns the counts, keyed "verdict" or "verdict.reason".
func (c *decisionCounts) byName() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := make(map[string]int64, len(c.n))
	for key, n := range c.n {
		name := string(key.kind)
		if key.reason != "" {
			name += "." + string(key.reason)
		}
		named[name] = n
	}
	return named
}

// Vars returns the agent's metrics for /debug/vars.
func (a *Agent) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("report", expvar.Func(func() any { return a.core.Report() }))
	m.Set("decisions", expvar.Func(func() any { return a.decisions.byName() }))
	if a.cfg.Records != nil {
		m.Set("records_held", expvar.Func(func() any { return a.cfg.Records.Len() }))
		m.Set("records_evicted", expvar.Func(func() any { return a.cfg.Records.Evictions() }))
	}
	return m
}
