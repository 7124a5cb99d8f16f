package route

import "time"

// Occupancy is the load of a pool as an entry sees it. It is measured on the
// endpoints that the entry prefers and scaled up to the pool.
type Occupancy struct {
	// Endpoints that take work.
	Endpoints int
	// Capacity is how many calls they run at once.
	Capacity int
	// InFlight and Queued are calls on the endpoints and waiting for them.
	InFlight int
	Queued   int
	// Service is the usual time of a call, queue excluded; zero if not reported.
	Service time.Duration
}

// occupancyMax is the most endpoints looked at, which bounds the time taken.
const occupancyMax = 32

// Saturated tells whether a further call would have to wait.
func (o Occupancy) Saturated() bool { return o.InFlight+o.Queued >= o.Capacity }

// Wait is the time that a further call is expected to wait for its turn.
func (o Occupancy) Wait(service time.Duration) time.Duration {
	if !o.Saturated() || o.Capacity == 0 {
		return 0
	}
	ahead := o.InFlight + o.Queued - o.Capacity + 1
	return time.Duration(float64(service) * float64(ahead) / float64(o.Capacity))
}

// Occupancy returns the load of a pool; it is zero for an unknown one. Ejected
// endpoints and those in probation are no capacity to count on, unless they
// are all that there is: as a pool without endpoints it would be sent no
// request, and they would have no chance to prove well.
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

func (p *Pool) occupancy(now time.Time, counts func(e *Endpoint) bool) Occupancy {
	var sum occupancySum
	looked := 0
	for ; looked < len(p.Endpoints) && sum.endpoints < occupancyMax; looked++ {
		if e := p.at(looked); counts(e) && e.available() {
			sum.add(e, now)
		}
	}
	return sum.scale(len(p.Endpoints), looked)
}

// occupancySum adds up endpoints.
type occupancySum struct {
	endpoints int
	measured  int
	capacity  float64
	inFlight  float64
	queued    float64
	service   float64
}

func (s *occupancySum) add(e *Endpoint, now time.Time) {
	service := serviceUnknown.Seconds()
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

func (s *occupancySum) scale(size, looked int) Occupancy {
	var o Occupancy
	if looked == 0 {
		return o
	}
	factor := float64(size) / float64(looked)
	o.Endpoints = int(float64(s.endpoints) * factor)
	o.Capacity = int(s.capacity * factor)
	o.InFlight = int(s.inFlight * factor)
	o.Queued = int(s.queued * factor)
	if s.measured > 0 {
		o.Service = time.Duration(s.service / float64(s.measured) * float64(time.Second))
	}
	return o
}
