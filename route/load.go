package route

import "time"

const (
	// defaultService is the service time assumed for a pool that has reported
	// none.
	defaultService = 20 * time.Millisecond
	// serviceFreshFor is how long a reported service time is used unchanged.
	serviceFreshFor = 5 * time.Second
	// serviceExpiresAfter is the age at which a reported service time is no
	// longer used.
	serviceExpiresAfter = 30 * time.Second
	// loadDecayShare is the share of an endpoint's capacity assumed to work off
	// its reported load; the rest is assumed to serve new calls of other
	// entries.
	loadDecayShare = 0.5
)

// capacity returns how many calls e runs at once, at least one.
func (e *Endpoint) capacity() float64 {
	return float64(max(1, e.Report.Capacity))
}

// available tells whether e's agent would accept a call at all.
func (e *Endpoint) available() bool {
	return e.State != StateLeaving && !e.Report.Draining && !e.Report.Down
}

// Busy tells whether a further call on e would have to queue.
func (e *Endpoint) Busy(now time.Time) bool {
	service := e.service(now, defaultService.Seconds())
	return e.load(now, service)+1 > e.capacity()
}

// ownInFlight returns the number of this entry's calls in flight on e.
func (e *Endpoint) ownInFlight() int64 {
	if e.Load == nil {
		return 0
	}
	return e.Load.InFlight.Load()
}

// load estimates the number of calls running on e or queued for it, given e's
// service time in seconds.
//
// A report shows the load at the time when it was written. Two corrections make
// up for its age. Calls sent since the report are added; without them a whole
// burst would go to the endpoint that looked idle at its start. And the sum is
// never below the entry's own calls in flight, which are known without a
// report.
//
// A reported load shrinks as it ages, at a share of the endpoint's capacity.
// Otherwise an endpoint that once reported a long queue would get no calls,
// therefore send no newer report, and be avoided for ever.
func (e *Endpoint) load(now time.Time, service float64) float64 {
	reported := float64(e.Report.InFlight + e.Report.Queued)
	if reported > 0 {
		decayTime := now.Sub(e.ReportedAt).Seconds() - service
		if decayTime > 0 && service > 0 {
			reported = max(0, reported-loadDecayShare*decayTime*e.capacity()/service)
		}
	}
	if e.Load == nil {
		return reported
	}
	sent := float64(e.Load.SentSinceReport.Load())
	return max(reported+sent, float64(e.Load.InFlight.Load()))
}

// service returns the median duration of a call on e in seconds. pool is the
// pool's median, used if e has reported none.
//
// A reported median gives way to the pool's as it ages. Otherwise an endpoint
// that was slow once would be avoided, send no newer report, and stay avoided.
func (e *Endpoint) service(now time.Time, pool float64) float64 {
	if e.Report.P50 <= 0 {
		return pool
	}
	own := e.Report.P50.Seconds()
	age := now.Sub(e.ReportedAt)
	if age <= serviceFreshFor {
		return own
	}
	if age >= serviceExpiresAfter {
		return pool
	}
	faded := float64(age-serviceFreshFor) / float64(serviceExpiresAfter-serviceFreshFor)
	return own + (pool-own)*faded
}

// Free returns how many further calls the pool's endpoints would start without
// queueing, and whether any of them would accept a call.
func (p *Pool) Free(now time.Time) (free int, usable bool) {
	for _, e := range p.Endpoints {
		if !e.available() {
			continue
		}
		usable = true
		service := e.service(now, defaultService.Seconds())
		free += max(0, int(e.capacity()-e.load(now, service)))
	}
	return free, usable
}
