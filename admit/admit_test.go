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

// pools is a PoolLoad.
type pools map[string]route.Occupancy

func (p pools) Occupancy(pool string, _ time.Time) route.Occupancy { return p[pool] }

// measured is a Quantiles with the same median and high quantile for all.
type measured map[string][2]route.Estimate

func (m measured) Quantile(key route.StageKey, q float64, _ time.Time) route.Estimate {
	if q == middle {
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
		est       measured
		load      pools
		remaining time.Duration
		want      Verdict
	}{
		"fits": {
			load: pools{"a": occupied(10, 0), "b": occupied(10, 9)}, remaining: 500 * ms,
			want: Verdict{OK: true, Need: 500 * ms},
		},
		"queue in a later stage": {
			load: pools{"a": occupied(10, 0), "b": occupied(10, 19)}, remaining: 800 * ms,
			want: Verdict{Reason: api.ReasonOverloaded, Need: 900 * ms, RetryAfter: 100 * ms},
		},
		"queues drain together": {
			load: pools{"a": occupied(10, 19), "b": occupied(10, 19)}, remaining: 700 * ms,
			want: Verdict{Reason: api.ReasonOverloaded, Need: 1000 * ms, RetryAfter: 200 * ms},
		},
		"too short without queues": {
			load: pools{"a": occupied(10, 0), "b": occupied(10, 0)}, remaining: 400 * ms,
			want: Verdict{Reason: api.ReasonDeadlineTooShort, Need: 500 * ms},
		},
		"nowhere to run": {
			load: pools{"a": occupied(10, 0)}, remaining: time.Minute,
			want: Verdict{Reason: api.ReasonNoEndpoint, Need: 500 * ms, RetryAfter: 500 * ms},
		},
		"measured": {
			est:  measured{"a": fresh(200*ms, 500*ms), "b": fresh(200*ms, 600*ms)},
			load: pools{"a": occupied(10, 0), "b": occupied(10, 0)}, remaining: 400 * ms,
			want: Verdict{OK: true, Need: 400 * ms},
		},
		"margin when crowded": {
			est:  measured{"a": fresh(200*ms, 500*ms), "b": fresh(200*ms, 600*ms)},
			load: pools{"a": occupied(10, 5), "b": occupied(10, 0)}, remaining: 600 * ms,
			want: Verdict{Reason: api.ReasonOverloaded, Need: 650 * ms, RetryAfter: 50 * ms},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Check(start, pipeline, test.remaining, test.est, test.load)
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Story: engines stall for a few seconds, and the calls that come back late
// make the measured times longer than any deadline. From then on every caller
// is refused, though the engines are well again and idle: no request runs, so
// nothing corrects the times. Only because old times fade is one let in.
func TestRefusalsEndWithoutNewMeasurements(t *testing.T) {
	pipeline := pipelineOf(100 * ms)
	key := route.StageKey{Pool: "a", Stage: "a"}
	est := route.NewEstimator()
	for range 50 {
		est.Observe(key, 4*time.Second, start)
	}
	load := pools{"a": occupied(10, 0)}
	assert.Assert(t, !Check(start, pipeline, time.Second, est, load).OK)
	refused := 0
	now := start
	for !Check(now, pipeline, time.Second, est, load).OK {
		refused++
		now = now.Add(100 * ms)
		assert.Assert(t, now.Before(start.Add(8*time.Second)), "still refusing")
	}
	assert.Assert(t, refused > 20)
	// The first ones let in find the engines well, and times follow them.
	for range 100 {
		est.Observe(key, 90*ms, now)
	}
	assert.Assert(t, Check(now.Add(200*ms), pipeline, 150*ms, est, load).OK)
}

// Story: the same trap by way of load: the last report of each endpoint named
// a long queue, and no call is sent that would bring a newer one.
func TestRefusalsEndWithoutNewReports(t *testing.T) {
	e := &route.Endpoint{Name: "e", Load: new(route.Load), ReportedAt: start}
	e.Report.Capacity, e.Report.InFlight, e.Report.Queued, e.Report.P50 = 8, 8, 80, 100*ms
	snap := &route.Snapshot{Pools: map[string]*route.Pool{"a": route.NewPool("a", "entry", []*route.Endpoint{e})}}
	pipeline := pipelineOf(100 * ms)
	assert.Assert(t, !Check(start, pipeline, time.Second, measured{}, snap).OK)
	assert.Assert(t, Check(start.Add(3*time.Second), pipeline, time.Second, measured{}, snap).OK)
}

// TestCheckAgainstStraightforward compares with the same rules written down
// as plain sums, and RetryAfter with a search in small steps.
func TestCheckAgainstStraightforward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var typical []time.Duration
		est, load := measured{}, pools{}
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
	est, load := route.NewEstimator(), pools{}
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
