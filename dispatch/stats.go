package dispatch

import (
	"maps"
	"slices"
	"time"
)

// Stats is the state of the queues for metrics and logs.
type Stats struct {
	Jobs  int `json:"jobs"`
	Calls int `json:"calls"`
	// Lag is how late events are handled, Share the part of the fleet that this
	// process hears as the owner.
	Lag   time.Duration `json:"lag"`
	Share float64       `json:"share"`
	Pools []PoolStats   `json:"pools"`
	// Workers are the endpoints of stages, Engines those of models.
	Workers []WorkerStats `json:"workers"`
	Engines []EngineStats `json:"engines"`
}

// WorkerStats is what the queue's owner believes of one endpoint of a stage.
type WorkerStats struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Calls    int    `json:"calls"`
	// Used and Room are the booked and the whole memory for results in bytes.
	Used int64 `json:"used"`
	Room int64 `json:"room"`
	// Speed is the measured time of calls over the nominal one.
	Speed float64 `json:"speed"`
	// Paused endpoints have just failed or refused a call.
	Paused bool `json:"paused,omitempty"`
	// Suspect endpoints get one piece a call: the last one was overdue, or their
	// failure domain is not reached.
	Suspect   bool `json:"suspect,omitempty"`
	Leaving   bool `json:"leaving,omitempty"`
	Evacuated bool `json:"evacuated,omitempty"`
	// ColdLeft is how much longer the endpoint bears few calls.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
}

// EngineStats is what the queue's owner believes of one model engine.
type EngineStats struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Running  int    `json:"running"`
	// Prefill is the number of prompt tokens still to be read.
	Prefill     int     `json:"prefill"`
	FailureRate float64 `json:"failure_rate"`
	// Slowness is what its expected time to a first event is multiplied by.
	Slowness float64 `json:"slowness"`
	Paused   bool    `json:"paused,omitempty"`
	// Unreached engines are in a failure domain that the owner does not reach.
	Unreached bool `json:"unreached,omitempty"`
	Leaving   bool `json:"leaving,omitempty"`
	Evacuated bool `json:"evacuated,omitempty"`
	// ColdLeft is how much longer the endpoint bears few requests.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
}

// PoolStats is the state of one stage service.
type PoolStats struct {
	Service string `json:"service"`
	Waiting int    `json:"waiting"`
	Workers int    `json:"workers"`
	Busy    int    `json:"busy"`
	// RoomUsed is the part of the workers' memory that is booked.
	RoomUsed float64       `json:"room_used"`
	Took     time.Duration `json:"took"`
}

// Stats returns the state at now.
func (c *Core) Stats(now time.Time) Stats {
	stats := Stats{Jobs: len(c.jobs), Calls: len(c.calls), Lag: c.lag, Share: c.share}
	for _, p := range c.byName {
		s := PoolStats{Service: p.name, Waiting: p.waiting, Workers: p.usable, Took: p.took}
		var used, room int64
		for _, w := range p.workers {
			if len(w.calls) > 0 {
				s.Busy++
			}
			used += w.used
			room += w.spec.Room
			stats.Workers = append(stats.Workers, w.stats(now))
		}
		if room > 0 {
			s.RoomUsed = float64(used) / float64(room)
		}
		stats.Pools = append(stats.Pools, s)
	}
	for _, service := range slices.Sorted(maps.Keys(c.engines)) {
		for _, e := range c.engines[service].all {
			stats.Engines = append(stats.Engines, e.stats(now))
		}
	}
	return stats
}

func (w *worker) stats(now time.Time) WorkerStats {
	return WorkerStats{
		Endpoint: w.endpoint.ID,
		Service:  w.endpoint.Service,
		Calls:    len(w.calls),
		Used:     w.used,
		Room:     w.spec.Room,
		Speed:    w.speed,
		Paused:   w.pause.Active(now),
		Suspect:  w.suspect,
		Leaving:  w.endpoint.Leaving,

		Evacuated: w.endpoint.Evacuated,
		ColdLeft:  max(0, w.endpoint.ColdUntil.Sub(now)),
	}
}

func (e *engine) stats(now time.Time) EngineStats {
	return EngineStats{
		Endpoint:    e.endpoint.ID,
		Service:     e.endpoint.Service,
		Running:     len(e.runs),
		Prefill:     e.prefill,
		FailureRate: e.failures.At(failHalfLife, now),
		Slowness:    e.slowness.factor(now),
		Paused:      e.pause.Active(now),
		Unreached:   e.unreached,
		Leaving:     e.endpoint.Leaving,
		Evacuated:   e.endpoint.Evacuated,
		ColdLeft:    max(0, e.endpoint.ColdUntil.Sub(now)),
	}
}
