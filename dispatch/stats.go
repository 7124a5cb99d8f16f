package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/mangostage/mangostage/share"
)

// Stats is the state of the queues, for metrics and logs.
type Stats struct {
	Jobs  int `json:"jobs"`
	Calls int `json:"calls"`
	// Lag is the delay with which events are handled. Share is the fraction of the
	// fleet that this process, as the owner, is in contact with.
	Lag   time.Duration `json:"lag"`
	Share float64       `json:"share"`
	Pools []PoolStats   `json:"pools"`
	// Admissions counts what the owner decided about jobs.
	Admissions Admissions `json:"admissions"`
	// Routes counts the same by route.
	Routes map[string]RouteStats `json:"routes,omitempty"`
	// Workers are the stage endpoints, Engines the model engines.
	Workers []WorkerStats `json:"workers"`
	Engines []EngineStats `json:"engines"`
}

// WorkerStats is the queue owner's view of one stage endpoint.
type WorkerStats struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Calls    int    `json:"calls"`
	// Used and Room are the reserved and the total memory for results, in bytes.
	Used int64 `json:"used"`
	Room int64 `json:"room"`
	// Speed is the measured over the nominal call time.
	Speed float64 `json:"speed"`
	// Paused is true while the endpoint gets no calls because one failed or was
	// refused.
	Paused bool `json:"paused,omitempty"`
	// Suspect is true if the endpoint gets one piece a call, because its last call was
	// lost or its failure domain cannot be reached.
	Suspect   bool `json:"suspect,omitempty"`
	Leaving   bool `json:"leaving,omitempty"`
	Evacuated bool `json:"evacuated,omitempty"`
	// ColdLeft is the time for which the endpoint still accepts only a few calls.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
}

// EngineStats is the queue owner's view of one model engine.
type EngineStats struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Running  int    `json:"running"`
	// Prefill is the number of prompt tokens still to be read.
	Prefill     int     `json:"prefill"`
	FailureRate float64 `json:"failure_rate"`
	// Slowness is the factor by which the expected time to a first event is
	// multiplied, and EventSlowness the one for the time between events.
	Slowness      float64 `json:"slowness"`
	EventSlowness float64 `json:"event_slowness,omitempty"`
	// EventTime is the expected time between events; 0 if too little is known.
	EventTime time.Duration `json:"event_time,omitempty"`
	// MemoryUsed is the fraction of the engine's memory that its requests may occupy.
	MemoryUsed float64 `json:"memory_used,omitempty"`
	Paused     bool    `json:"paused,omitempty"`
	// Unreached is true while the owner cannot reach the engine's failure domain.
	Unreached bool `json:"unreached,omitempty"`
	Leaving   bool `json:"leaving,omitempty"`
	Evacuated bool `json:"evacuated,omitempty"`
	// ColdLeft is the time for which the endpoint still accepts only a few requests.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
}

// PoolStats is the state of one stage service.
type PoolStats struct {
	Service string `json:"service"`
	Waiting int    `json:"waiting"`
	Workers int    `json:"workers"`
	Busy    int    `json:"busy"`
	// RoomUsed is the fraction of the workers' memory that is reserved.
	RoomUsed    float64       `json:"room_used"`
	AvgCallTime time.Duration `json:"took"`
	// HoldTime is the mean time for which a result occupies memory, ForecastError how much
	// later than forecast stages start.
	HoldTime      time.Duration `json:"hold_time"`
	ForecastError time.Duration `json:"forecast_error"`
	// Accounts are the client accounts that ask for more than their share.
	Accounts []AccountStats `json:"accounts,omitempty"`
}

// AccountStats is what a client account has of a pool that is short.
type AccountStats struct {
	Account  string `json:"account"`
	Priority int    `json:"priority"`
	// Asked and Part are what it asks for and its share, in pieces a second.
	Asked float64 `json:"asked"`
	Part  float64 `json:"part"`
	// Restraint is how far it has to leave the queue to others, from 0 to 1.
	Restraint float64 `json:"restraint,omitempty"`
}

// maxAccountStats bounds the accounts of a pool's PoolStats: those that ask for most.
const maxAccountStats = 16

// accountStats returns the accounts that ask for more than their share, as of the latest
// division.
func (p *pool) accountStats() []AccountStats {
	var all []AccountStats
	for _, h := range p.shares.Held(maxAccountStats) {
		all = append(all, AccountStats{
			Account: h.Key().Name, Priority: h.Key().Rank, Asked: share.PerSecond(h.Demand()), Part: share.PerSecond(h.Part()), Restraint: restraint(h),
		})
	}
	return all
}

// Stats returns the state at now.
func (c *Core) Stats(now time.Time) Stats {
	stats := c.QueueStats(now)
	for _, p := range c.sortedPools {
		for _, w := range p.workers {
			stats.Workers = append(stats.Workers, w.stats(now))
		}
	}
	for _, service := range slices.Sorted(maps.Keys(c.modelEngines)) {
		for _, e := range c.modelEngines[service].all {
			stats.Engines = append(stats.Engines, e.stats(now))
		}
	}
	return stats
}

// QueueStats returns the state at now without that of each endpoint.
func (c *Core) QueueStats(now time.Time) Stats {
	stats := Stats{
		Jobs: len(c.jobs), Calls: len(c.calls), Lag: c.lag, Share: c.fleetShare,
		Admissions: c.admissionStats(now), Routes: c.routes.clone(),
	}
	for _, p := range c.sortedPools {
		s := PoolStats{
			Service: p.name, Waiting: p.waiting, Workers: p.usable, AvgCallTime: p.avgCallTime,
			HoldTime: p.avgHoldTime, ForecastError: p.forecastErrorAt(now), Accounts: p.accountStats(),
		}
		var used, room int64
		for _, w := range p.workers {
			if len(w.calls) > 0 {
				s.Busy++
			}
			used += w.usedMemory
			room += w.spec.Room
		}
		if room > 0 {
			s.RoomUsed = float64(used) / float64(room)
		}
		stats.Pools = append(stats.Pools, s)
	}
	return stats
}

// stats returns the state of the worker at now.
func (w *worker) stats(now time.Time) WorkerStats {
	return WorkerStats{
		Endpoint: w.endpoint.ID,
		Service:  w.endpoint.Service,
		Calls:    len(w.calls),
		Used:     w.usedMemory,
		Room:     w.spec.Room,
		Speed:    w.speed,
		Paused:   w.pause.Active(now),
		Suspect:  w.suspect,
		Leaving:  w.endpoint.Leaving,

		Evacuated: w.endpoint.Evacuated,
		ColdLeft:  max(0, w.endpoint.ColdUntil.Sub(now)),
	}
}

// stats returns the state of the engine at now.
func (e *engine) stats(now time.Time) EngineStats {
	return EngineStats{
		Endpoint:      e.endpoint.ID,
		Service:       e.endpoint.Service,
		Running:       len(e.requests),
		Prefill:       e.prefillTokens,
		FailureRate:   e.failures.At(failHalfLife, now),
		Slowness:      e.slowness.factor(now),
		EventSlowness: e.eventSlowness.factor(now),
		EventTime:     time.Duration(e.eventSlowness.factor(now) * float64(e.eventTimes.estimate(float64(len(e.requests))))),
		MemoryUsed:    e.usage(0, e.spec.CacheTokens),
		Paused:        e.pause.Active(now),
		Unreached:     e.unreached,
		Leaving:       e.endpoint.Leaving,
		Evacuated:     e.endpoint.Evacuated,
		ColdLeft:      max(0, e.endpoint.ColdUntil.Sub(now)),
	}
}
