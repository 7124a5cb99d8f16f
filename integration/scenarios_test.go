package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/load"
)

const (
	scenarioSeed     = 20260301
	scenarioDuration = 8 * time.Second
	scenarioWarmup   = 2 * time.Second
	// scenarioRate is the capacity from which the load tool derives its rate, in
	// requests per second: low enough that the test machine is not the limit.
	scenarioRate = 120
	slowFactor   = 10
	// minAttainment is the smallest share of requests answered in time, also with a
	// bad endpoint: at most 2 in 100 may be lost.
	minAttainment = 0.98
)

// TestScenariosWithProcesses guards against late or missing answers because of a bad
// endpoint. The load tool sends at a steady rate from all client accounts through both
// entries: without a fault, while one engine becomes ten times slower, and while one
// engine and one encoder are down. It counts the answers in time and compares each
// with the expected one.
func TestScenariosWithProcesses(t *testing.T) {
	fleet := harness.Start(t, harness.Config{Deployment: examples.Brunnhofer, NoRace: true, LogLevel: "warn"})
	var urls []string
	for _, e := range fleet.Entries() {
		urls = append(urls, e.URL)
	}
	engine, encoder := fleet.Endpoint("fitting-engines-1"), fleet.Endpoint("encoders-1")
	slow, usual, forever := float64(slowFactor), 1.0, int((time.Minute).Milliseconds())
	cases := []struct {
		name  string
		fault func()
		mend  func()
	}{
		{"calm", func() {}, func() {}},
		{"straggler",
			func() { engine.Apply(fake.Control{SlowFactor: &slow}) },
			func() { engine.Apply(fake.Control{SlowFactor: &usual}) }},
		{"two endpoints dead",
			func() {
				engine.Apply(fake.Control{DownForMS: forever})
				encoder.Apply(fake.Control{DownForMS: forever})
			},
			func() {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calm, err := load.FindScenario("calm")
			assert.NilError(t, err)
			fault := time.AfterFunc(scenarioWarmup+scenarioDuration/4, c.fault)
			defer fault.Stop()
			defer c.mend()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			report, err := load.Run(ctx, load.Config{
				Deployment:       examples.Brunnhofer,
				Scenario:         calm,
				Seed:             scenarioSeed,
				Warmup:           scenarioWarmup,
				Duration:         scenarioDuration,
				Capacity:         scenarioRate,
				Entries:          urls,
				CredentialPrefix: examples.CredentialPrefix,
				StandIns:         true,
			})
			assert.NilError(t, err)
			total := report.Total
			t.Logf("%d sent, attained %.4f, p95 %v; late %d, refused %d, cut short %d, unknown %d, failed %d, wasted %.3f",
				total.Sent, total.Attainment, total.Latency.P95, total.Late, total.Refused, total.CutShort, total.Unknown, total.Failed,
				wastedShare(report))
			assert.Equal(t, report.Integrity.Wrong, 0)
			assert.Equal(t, total.Failed, 0)
			assert.Assert(t, total.Attainment >= minAttainment, "%.4f", total.Attainment)
		})
	}
}

// wastedShare returns the share of the total cost that was wasted.
func wastedShare(r *load.Report) float64 {
	all := r.CostTotal.Useful + r.CostTotal.Wasted
	if all == 0 {
		return 0
	}
	return float64(r.CostTotal.Wasted) / float64(all)
}
