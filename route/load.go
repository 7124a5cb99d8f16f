package route

import "time"

const (
	// serviceUnknown stands for the service time of a pool that has reported none.
	serviceUnknown = 20 * time.Millisecond
	// reportTrusted is how long a reported service time is believed.
	reportTrusted = 5 * time.Second
	// reportForgotten is the age at which a reported service time counts for nothing.
	reportForgotten = 30 * time.Second
	// drainShare is the part of an endpoint's capacity assumed to work off a
	// reported load; the rest is assumed to go to other entries' new calls.
	drainShare = 0.5
)

// capacity is how many calls e runs at once.
func (e *Endpoint) capacity() float64 {
	return float64(max(1, e.Report.Capacity))
}

// available tells whether e's agent would accept a call at all.
func (e *Endpoint) available() bool {
	return e.State != StateLeaving && !e.Report.Draining && !e.Report.Down
}

// Busy tells whether a further call on e would have to wait for its turn.
func (e *Endpoint) Busy(now time.Time) bool {
	service := e.service(now, serviceUnknown.Seconds())
	return e.load(now, service)+1 > e.capacity()
}

// ownInFlight is the number of this entry's calls on e.
func (e *Endpoint) ownInFlight() int64 {
	if e.Load == nil {
		return 0
	}
	return e.Load.InFlight.Load()
}

// load is the number of calls believed to be on e or waiting for it.
//
// A report is late by the time since it was written. Two corrections hold the
// failures that follow from it at bay. Sends since the report are added, or a
// burst would all go to the endpoint that looked idle at its start; and the
// sum is never below the entry's own calls in flight, which need no report.
// A reported load shrinks as it ages, at a share of the endpoint's capacity:
// an endpoint that once reported a long queue gets no calls and so sends no
// newer report, and would otherwise be avoided for ever.
func (e *Endpoint) load(now time.Time, service float64) float64 {
	reported := float64(e.Report.InFlight + e.Report.Queued)
	if reported > 0 {
		idle := now.Sub(e.ReportedAt).Seconds() - service
		if idle > 0 && service > 0 {
			reported = max(0, reported-drainShare*idle*e.capacity()/service)
		}
	}
	if e.Load == nil {
		return reported
	}
	sent := float64(e.Load.SentSinceReport.Load())
	return max(reported+sent, float64(e.Load.InFlight.Load()))
}

// service is the median time in seconds of a call on e, given the pool's.
//
// A reported median fades into the pool's as it ages. Otherwise an endpoint
// that was slow once would be avoided, report nothing newer, and stay avoided.
func (e *Endpoint) service(now time.Time, pool float64) float64 {
	if e.Report.P50 <= 0 {
		return pool
	}
	own := e.Report.P50.Seconds()
	age := now.Sub(e.ReportedAt)
	if age <= reportTrusted {
		return own
	}
	if age >= reportForgotten {
		return pool
	}
	faded := float64(age-reportTrusted) / float64(reportForgotten-reportTrusted)
	return own + (pool-own)*faded
}

// Free returns how many further calls the pool's endpoints would start at once,
// and whether any of them would accept a call.
func (p *Pool) Free(now time.Time) (free int, usable bool) {
	for _, e := range p.Endpoints {
		if !e.available() {
			continue
		}
		usable = true
		service := e.service(now, serviceUnknown.Seconds())
		free += max(0, int(e.capacity()-e.load(now, service)))
	}
	return free, usable
}
