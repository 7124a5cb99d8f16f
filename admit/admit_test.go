package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/route"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// fixedLoad is a PoolLoad with a fixed load of each pool.
type fixedLoad map[string]route.Occupancy

func (p fixedLoad) Occupancy(pool string, _ time.Time) route.Occupancy { return p[pool] }

// fixedQuantiles is a Quantiles with a fixed median and high quantile of each
// stage.
type fixedQuantiles map[string][2]route.Estimate

func (m fixedQuantiles) Quantile(key route.StageKey, q float64, _ time.Time) route.Estimate {
	if q == medianQuantile {
		return m[key.Stage][0]
	}
	return m[key.Stage][1]
}

func pipelineOf(typical ...time.Duration) *bundle.Pipeline {
	p := &bundle.Pipeline{}
	for i, d := range typical {
		name := string(rune('a' + i))
		p.Stages = append(p.Stages, bundle.Stage{Name: name, Pool: name, Typical: bundle.Duration(d)})
	}
	return p
}

func occupied(capacity, load int) route.Occupancy {
	return route.Occupancy{Endpoints: 1, Capacity: capacity, InFlight: min(load, capacity), Queued: max(0, load-capacity)}
}

func TestCheck(t *testing.T) {
	pipeline := pipelineOf(100*ms, 400*ms)
	fresh := func(p50, p90 time.Duration) [2]route.Estimate {
		return [2]route.Estimate{{Value: p50, Samples: 100}, {Value: p90, Samples: 100}}
	}
	tests := map[string]struct {
		est       fixedQuantiles
		load      fixedLoad
		remaining time.Duration
		want      Decision
	}{
		"fits": {
			load: fixedLoad{"a": occupied(10, 0), "b": occupied(10, 9)}, remaining: 500 * ms,
			want: Decision{OK: true, Need: 500 * ms},
		},
		"queue in a later stage": {
			load: fixedLoad{"a": occupied(10, 0), "b": occupied(10, 19)}, remaining: 800 * ms,
			want: Decision{Reason: api.ReasonOverloaded, Need: 900 * ms, RetryAfter: 100 * ms},
		},
		"queues drain together": {
			load: fixedLoad{"a": occupied(10, 19), "b": occupied(10, 19)}, remaining: 700 * ms,
			want: Decision{Reason: api.ReasonOverloaded, Need: 1000 * ms, RetryAfter: 200 * ms},
		},
		"too short without queues": {
			load: fixedLoad{"a": occupied(10, 0), "b": occupied(10, 0)}, remaining: 400 * ms,
			want: Decision{Reason: api.ReasonDeadlineTooShort, Need: 500 * ms},
		},
		"nowhere to run": {
			load: fixedLoad{"a": occupied(10, 0)}, remaining: time.Minute,
			want: Decision{Reason: api.ReasonNoEndpoint, Need: 500 * ms, RetryAfter: 500 * ms},
		},
		"measured": {
			est:  fixedQuantiles{"a": fresh(200*ms, 500*ms), "b": fresh(200*ms, 600*ms)},
			load: fixedLoad{"a": occupied(10, 0), "b": occupied(10, 0)}, remaining: 400 * ms,
			want: Decision{OK: true, Need: 400 * ms},
		},
		"margin when crowded": {
			est:  fixedQuantiles{"a": fresh(200*ms, 500*ms), "b": fresh(200*ms, 600*ms)},
			load: fixedLoad{"a": occupied(10, 5), "b": occupied(10, 0)}, remaining: 600 * ms,
			want: Decision{Reason: api.ReasonOverloaded, Need: 650 * ms, RetryAfter: 50 * ms},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Check(start, pipeline, test.remaining, test.est, test.load)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Guards against refusals that never end: engines stall for a few seconds, and
// the calls that return late make the measured times longer than any deadline.
// From then on every caller is refused although the engines are healthy and
// idle: no request runs, so nothing corrects the times. A request is admitted
// only because old times lose weight.
func TestRefusalsEndWithoutNewMeasurements(t *testing.T) {
	pipeline := pipelineOf(100 * ms)
	key := route.StageKey{Pool: "a", Stage: "a"}
	est := route.NewEstimator()
	for range 50 {
		est.Observe(key, 4*time.Second, start)
	}
	load := fixedLoad{"a": occupied(10, 0)}
	assert.Assert(t, !Check(start, pipeline, time.Second, est, load).OK)
	refused := 0
	now := start
	for !Check(now, pipeline, time.Second, est, load).OK {
		refused++
		now = now.Add(100 * ms)
		assert.Assert(t, now.Before(start.Add(8*time.Second)), "still refusing")
	}
	assert.Assert(t, refused > 20)
	// The first requests admitted find healthy engines, and the measured times
	// follow.
	for range 100 {
		est.Observe(key, 90*ms, now)
	}
	assert.Assert(t, Check(now.Add(200*ms), pipeline, 150*ms, est, load).OK)
}

// Guards against the same for load: the last report of each endpoint showed a
// long queue, and no call is sent that would bring a newer report.
func TestRefusalsEndWithoutNewReports(t *testing.T) {
	e := &route.Endpoint{Name: "e", Load: new(route.Load), ReportedAt: start}
	e.Report.Capacity, e.Report.InFlight, e.Report.Queued, e.Report.P50 = 8, 8, 80, 100*ms
	snap := &route.Snapshot{Pools: map[string]*route.Pool{"a": route.NewPool("a", "entry", []*route.Endpoint{e})}}
	pipeline := pipelineOf(100 * ms)
	assert.Assert(t, !Check(start, pipeline, time.Second, fixedQuantiles{}, snap).OK)
	assert.Assert(t, Check(start.Add(3*time.Second), pipeline, time.Second, fixedQuantiles{}, snap).OK)
}

// TestCheckAgainstReference compares Check with the same rules written as plain
// sums, and checks RetryAfter by computing the need after that time.
func TestCheckAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var typical []time.Duration
		est, load := fixedQuantiles{}, fixedLoad{}
		for i := range rapid.IntRange(1, bundle.MaxStages).Draw(t, "stages") {
			name := string(rune('a' + i))
			typical = append(typical, time.Duration(rapid.IntRange(1, 500).Draw(t, "typical"))*ms)
			load[name] = occupied(rapid.IntRange(1, 20).Draw(t, "capacity"), rapid.IntRange(0, 60).Draw(t, "load"))
		}
		pipeline := pipelineOf(typical...)
		remaining := time.Duration(rapid.IntRange(1, 4000).Draw(t, "remaining")) * ms
		got := Check(start, pipeline, remaining, est, load)
		service, waits := time.Duration(0), []time.Duration{}
		for i, d := range typical {
			o := load[string(rune('a'+i))]
			service += d
			ahead := max(0, o.InFlight+o.Queued+1-o.Capacity)
			waits = append(waits, d*time.Duration(ahead)/time.Duration(o.Capacity))
		}
		need := func(after time.Duration) time.Duration {
			sum := service
			for _, w := range waits {
				sum += max(0, w-after)
			}
			return sum
		}
		near(t, got.Need, need(0))
		if (got.Need - remaining).Abs() < ms {
			return
		}
		assert.Equal(t, got.OK, need(0) <= remaining)
		if got.OK || service > remaining {
			assert.Equal(t, got.RetryAfter, time.Duration(0))
			return
		}
		near(t, need(got.RetryAfter), remaining)
	})
}

func near(t *rapid.T, got, want time.Duration) {
	assert.Assert(t, (got-want).Abs() < ms/10, "%v, want %v", got, want)
}

func BenchmarkCheck(b *testing.B) {
	pipeline := pipelineOf(10*ms, 10*ms, 15*ms, 150*ms)
	est, load := route.NewEstimator(), fixedLoad{}
	for _, s := range pipeline.Stages {
		load[s.Pool] = occupied(16, 12)
		for range 100 {
			est.Observe(route.StageKey{Pool: s.Pool, Stage: s.Name}, s.Typical.D(), start)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Check(start, pipeline, 4*time.Second, est, load)
	}
}
