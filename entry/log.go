package entry

import (
	"expvar"
	"fmt"
	"sync/atomic"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/pipeline"
	"github.com/mangostage/mangostage/route"
)

// Event names of the entry's log lines.
const (
	logRoute    = "route"
	logHealth   = "endpoint_health"
	logRefused  = "refused"
	logCutShort = "cut_short"
	logUnknown  = "unknown"
)

// logDecision logs a routing decision of the core.
func (e *Entry) logDecision(d pipeline.Log) {
	if e.cfg.RefusalsOnly && d.Endpoint != "" {
		return
	}
	e.cfg.Log.Info().
		Str("event", logRoute).
		Str("request", d.RequestID).
		Str("stage", d.Stage).
		Str("pool", d.Pool).
		Int("attempt", d.Attempt).
		Bool("hedge", d.Hedge).
		Str("endpoint", d.Endpoint).
		Int("candidates", d.Candidates).
		Int("considered", d.Considered).
		Str("reason", d.Reason).
		Bool("waits", d.Waits).
		Stringers("unusable", stringers(d.Unusable)).
		Send()
}

func stringers(list []route.Unusable) []fmt.Stringer {
	converted := make([]fmt.Stringer, len(list))
	for i, u := range list {
		converted[i] = u
	}
	return converted
}

func (e *Entry) logTransitions(transitions []route.Transition) {
	for _, t := range transitions {
		e.cfg.Log.Warn().
			Str("event", logHealth).
			Str("pool", t.Pool).
			Str("endpoint", t.Endpoint).
			Stringer("from", t.From).
			Stringer("to", t.To).
			Str("reason", t.Reason).
			Send()
	}
}

// problemEvents maps each outcome other than an answer to its log event.
var problemEvents = map[api.Outcome]string{
	api.OutcomeRefused:  logRefused,
	api.OutcomeCutShort: logCutShort,
	api.OutcomeUnknown:  logUnknown,
}

// logProblem logs a request that ended without an answer.
func (e *Entry) logProblem(account, pipelineName string, p *api.Problem) {
	e.cfg.Log.Warn().
		Str("event", problemEvents[p.Outcome]).
		Str("request", p.RequestID).
		Str("account", account).
		Str("pipeline", pipelineName).
		Str("reason", string(p.Reason)).
		Str("detail", p.Detail).
		Dur("retry_after", p.RetryAfter).
		Send()
}

// stats are the entry's counters.
type stats struct {
	answered, refused, cutShort, unknown atomic.Int64
	// mismatched counts replies that carried another call's ID.
	mismatched atomic.Int64
	// rejected counts requests that were rejected without being passed to the
	// core, such as malformed or unauthorized ones.
	rejected atomic.Int64
}

func (s *stats) outcome(o api.Outcome) {
	switch o {
	case api.OutcomeAnswered:
		s.answered.Add(1)
	case api.OutcomeRefused:
		s.refused.Add(1)
	case api.OutcomeCutShort:
		s.cutShort.Add(1)
	default:
		s.unknown.Add(1)
	}
}

// Vars returns the entry's metrics for /debug/vars.
func (e *Entry) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	count := func(name string, v *atomic.Int64) {
		m.Set(name, expvar.Func(func() any { return v.Load() }))
	}
	count("requests_answered", &e.stats.answered)
	count("requests_refused", &e.stats.refused)
	count("requests_cut_short", &e.stats.cutShort)
	count("requests_unknown", &e.stats.unknown)
	count("requests_rejected", &e.stats.rejected)
	count("replies_mismatched", &e.stats.mismatched)
	m.Set("requests_in_flight", expvar.Func(func() any { return e.waiters.len() }))
	m.Set("requests_waiting", expvar.Func(func() any { return e.core.Waiting() }))
	m.Set("records_held", expvar.Func(func() any { return e.cfg.Records.Len() }))
	m.Set("records_evicted", expvar.Func(func() any { return e.cfg.Records.Evictions() }))
	m.Set("cost", expvar.Func(func() any { return e.costs.list() }))
	return m
}
