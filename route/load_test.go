package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEndpointLoad(t *testing.T) {
	tests := map[string]struct {
		reported, sent, own int
		age                 time.Duration
		want                float64
	}{
		"as reported":                 {reported: 5, want: 5},
		"sent since the report":       {reported: 5, sent: 3, want: 8},
		"never below own in flight":   {reported: 1, sent: 1, own: 6, want: 6},
		"decays without new reports":  {reported: 8, age: 1400 * time.Millisecond, want: 0},
		"decays at half the capacity": {reported: 16, age: 900 * time.Millisecond, want: 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := testEndpoints(1)[0]
			e.Report.InFlight = test.reported
			e.Load.SentSinceReport.Store(int64(test.sent))
			e.Load.InFlight.Store(int64(test.own))
			assert.Equal(t, e.load(start.Add(test.age), 0.4), test.want)
		})
	}
}

func TestServiceFadesIntoThePool(t *testing.T) {
	e := testEndpoints(1)[0]
	e.Report.P50 = 4 * time.Second
	assert.Equal(t, e.service(start.Add(serviceFreshFor), 0.4), 4.0)
	assert.Equal(t, e.service(start.Add((serviceFreshFor+serviceExpiresAfter)/2), 0.4), 2.2)
	assert.Equal(t, e.service(start.Add(serviceExpiresAfter), 0.4), 0.4)
}

func TestSubset(t *testing.T) {
	endpoints := testEndpoints(210)
	chosen := map[string]int{}
	for entry := range 70 {
		name := fmt.Sprintf("entry-%d", entry)
		subset := Subset(name, endpoints, 24)
		domains := map[string]int{}
		for _, e := range subset {
			chosen[e.Name]++
			domains[e.Domain]++
		}
		assert.DeepEqual(t, domains, map[string]int{"domain-0": 8, "domain-1": 8, "domain-2": 8})
		wider := Subset(name, endpoints, 48)
		assert.Assert(t, slices.Equal(wider[:24], subset))
		fewer := Subset(name, slices.DeleteFunc(slices.Clone(endpoints), func(e *Endpoint) bool { return e == subset[5] }), 24)
		kept := 0
		for _, e := range subset {
			if slices.Contains(fewer, e) {
				kept++
			}
		}
		assert.Equal(t, kept, 23)
	}
	// 70 subsets of 24 include each of the 210 endpoints 8 times on average.
	for _, e := range endpoints {
		assert.Assert(t, chosen[e.Name] >= 1 && chosen[e.Name] <= 20, "%s %d", e.Name, chosen[e.Name])
	}
	assert.Equal(t, SubsetSize(2100, 360), 24)
	assert.Equal(t, SubsetSize(2100, 3), 2100)
	assert.Equal(t, SubsetSize(12, 3), 12)
}

func TestPoolVersions(t *testing.T) {
	endpoints := testEndpoints(6)
	p := NewPool("llm", "entry-1", endpoints)
	changed := *endpoints[3]
	changed.State = StateEjected
	next := p.Replace(&changed)
	assert.Equal(t, next.Endpoint("llm-0003").State, StateEjected)
	assert.Equal(t, p.Endpoint("llm-0003").State, StateLive)
	assert.Equal(t, next.order, p.order)
	assert.Equal(t, p.Replace(&Endpoint{Name: "other"}), p)
	assert.Equal(t, p.Refresh("entry-1", testEndpoints(6)).order, p.order)
	assert.Assert(t, p.Refresh("entry-1", testEndpoints(5)).order != p.order)
}

func TestOccupancy(t *testing.T) {
	endpoints := testEndpoints(60)
	for i, e := range endpoints {
		e.Report.InFlight, e.Report.Queued = 8, 4
		if i < 6 {
			e.State = StateEjected
		}
	}
	o := testSnapshot(endpoints).Occupancy("llm", start)
	assert.Assert(t, o.Capacity > 390 && o.Capacity <= 480, "%+v", o)
	assert.Equal(t, o.InFlight, o.Capacity)
	assert.Equal(t, o.Service, 400*time.Millisecond)
	wait := o.Wait(o.Service)
	assert.Assert(t, wait > 195*time.Millisecond && wait < 210*time.Millisecond, "%v", wait)
	for _, e := range endpoints {
		e.State = StateProbation
	}
	endpoints[0].State = StateLeaving
	assert.Equal(t, testSnapshot(endpoints[:3]).Occupancy("llm", start).Endpoints, 2)
	assert.Equal(t, testSnapshot(nil).Occupancy("llm", start), Occupancy{})
}

func TestEstimator(t *testing.T) {
	s := NewEstimator()
	key := StageKey{Pool: "llm", Stage: "draft"}
	assert.Equal(t, s.Quantile(key, 0.5, start), Estimate{})
	for i := range 100 {
		s.Observe(key, time.Duration(i+1)*10*time.Millisecond, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	now := start.Add(3 * time.Second)
	for q, want := range map[float64]time.Duration{0.5: 500 * time.Millisecond, 0.9: 900 * time.Millisecond} {
		got := s.Quantile(key, q, now)
		assert.Assert(t, got.Value > want*93/100 && got.Value < want*107/100, "%v %v", q, got)
		assert.Equal(t, got.Samples, 100)
		assert.Equal(t, got.Age, 2010*time.Millisecond)
	}
	assert.Equal(t, s.Quantile(key, 0.5, start.Add(windows*windowLength)).Samples, 0)
	assert.Equal(t, s.Quantile(StageKey{Pool: "llm"}, 0.5, now).Samples, 0)
}
