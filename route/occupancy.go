package route

import "time"

// Occupancy is the load of a pool as an entry sees it. It is measured on a
// sample of the endpoints that the entry prefers and scaled up to the pool.
type Occupancy struct {
	// Endpoints is the number of endpoints that take work.
	Endpoints int
	// Capacity is how many calls they run at once.
	Capacity int
	// InFlight and Queued are the calls running on the endpoints and queued for
	// them.
	InFlight int
	Queued   int
	// Service is the mean of the endpoints' median call durations, time in the
	// queue excluded; zero if none is reported.
	Service time.Duration
}

// occupancySampleMax is the largest number of endpoints measured, which bounds
// the time of a measurement.
const occupancySampleMax = 32

// Saturated tells whether a further call would have to queue.
func (o Occupancy) Saturated() bool { return o.InFlight+o.Queued >= o.Capacity }

// Wait returns how long a further call is expected to queue, given the service
// time of a call.
func (o Occupancy) Wait(service time.Duration) time.Duration {
	if !o.Saturated() || o.Capacity == 0 {
		return 0
	}
	ahead := o.InFlight + o.Queued - o.Capacity + 1
	return time.Duration(float64(service) * float64(ahead) / float64(o.Capacity))
}

// Occupancy returns the load of a pool; zero for an unknown one. Ejected
// endpoints and those in probation do not count as capacity unless the pool has
// no live endpoint that takes work: a pool with no capacity would be sent no
// requests, and its endpoints could never recover.
func (s *Snapshot) Occupancy(pool string, now time.Time) Occupancy {
	p := s.Pools[pool]
	if p == nil {
		return Occupancy{}
	}
	o := p.occupancy(now, func(e *Endpoint) bool { return e.State == StateLive })
	if o.Endpoints == 0 {
		o = p.occupancy(now, func(*Endpoint) bool { return true })
	}
	return o
}

// occupancy measures the available endpoints for which include returns true.
func (p *Pool) occupancy(now time.Time, include func(e *Endpoint) bool) Occupancy {
	var sum occupancySum
	examined := 0
	for ; examined < len(p.Endpoints) && sum.endpoints < occupancySampleMax; examined++ {
		if e := p.at(examined); include(e) && e.available() {
			sum.add(e, now)
		}
	}
	return sum.scale(len(p.Endpoints), examined)
}

// occupancySum adds up the loads of endpoints.
type occupancySum struct {
	endpoints int
	// measured is the number of endpoints with a reported service time; service
	// is the sum of those times in seconds.
	measured int
	capacity float64
	inFlight float64
	queued   float64
	service  float64
}

func (s *occupancySum) add(e *Endpoint, now time.Time) {
	service := defaultService.Seconds()
	if e.Report.P50 > 0 {
		service = e.Report.P50.Seconds()
		s.service += service
		s.measured++
	}
	load, capacity := e.load(now, service), e.capacity()
	s.endpoints++
	s.capacity += capacity
	s.inFlight += min(load, capacity)
	s.queued += max(0, load-capacity)
}

// scale extrapolates from the examined endpoints to a pool of the given size.
func (s *occupancySum) scale(size, examined int) Occupancy {
	var o Occupancy
	if examined == 0 {
		return o
	}
	factor := float64(size) / float64(examined)
	o.Endpoints = int(float64(s.endpoints) * factor)
	o.Capacity = int(s.capacity * factor)
	o.InFlight = int(s.inFlight * factor)
	o.Queued = int(s.queued * factor)
	if s.measured > 0 {
		o.Service = time.Duration(s.service / float64(s.measured) * float64(time.Second))
	}
	return o
}
