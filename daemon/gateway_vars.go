package daemon

import (
	"expvar"
	"runtime"
	"time"
)

// vars returns the metrics of the process.
func (g *Gateway) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("answers", g.metrics.Answers)
	m.Set("sends", g.metrics.Sends)
	m.Set("stream_ends", g.metrics.StreamEnds)
	m.Set("shutdown_admissions", g.metrics.ShutdownAdmissions)
	m.Set("promises_withheld", g.metrics.Withheld)
	m.Set("stray_answers", g.metrics.Strays)
	m.Set("continuations_refused", g.metrics.RefusedContinuations)
	m.Set("access", g.metrics.Access)
	m.Set("account_shares_refused", g.metrics.Held)
	m.Set("stream_origins", g.origins.Counters)
	m.Set("streams_held", expvar.Func(func() any { return g.origins.Stats() }))
	m.Set("clients", expvar.Func(func() any { return g.frontend.conns.Stats() }))
	m.Set("latency_ms", expvar.Func(func() any { return g.metrics.Latency() }))
	m.Set("queues", expvar.Func(func() any { return g.scheduler.Stats() }))
	m.Set("endpoints", expvar.Func(func() any { return g.gateway.EndpointStats() }))
	m.Set("quota_changes", g.quotas.Counters)
	m.Set("quotas", expvar.Func(func() any { return g.quotas.Stats() }))
	m.Set("backoffs", expvar.Func(func() any { return g.backoffs.Stats(time.Now()) }))
	m.Set("content_changes", g.quarantine.Counters)
	m.Set("quarantine", expvar.Func(func() any { return g.quarantine.Table().Stats(time.Now()) }))
	m.Set("parts", expvar.Func(func() any { return g.quarantine.PartStats() }))
	m.Set("ownership", expvar.Func(func() any { return g.fleet.Ownership() }))
	m.Set("fleet_size", expvar.Func(func() any { return g.fleet.Size() }))
	m.Set("store_at", expvar.Func(func() any { return g.follower.At().Revision }))
	m.Set("store_era", expvar.Func(func() any { return g.follower.At().Era }))
	m.Set("view_age_ms", expvar.Func(func() any { return time.Since(g.follower.AsOf()).Milliseconds() }))
	m.Set("store_returns", expvar.Func(func() any { return g.storeReturns() }))
	m.Set("store_healthy", expvar.Func(func() any { return g.follower.Healthy() }))
	m.Set("evacuated_domains", expvar.Func(func() any { return g.follower.Evacuated() }))
	m.Set("store_items_malformed", expvar.Func(func() any { return g.follower.Faults() }))
	m.Set("log_lines_dropped", expvar.Func(func() any { return g.sink.Dropped() }))
	m.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	if memstats := expvar.Get("memstats"); memstats != nil {
		m.Set("memstats", memstats)
	}
	return m
}

// storeReturns returns the counters of the store's returns from a copy.
func (g *Gateway) storeReturns() map[string]uint64 {
	returns, dropped := g.follower.StoreReturns()
	return map[string]uint64{"returns": returns, "items_dropped": dropped}
}
