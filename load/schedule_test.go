package load

import (
	"encoding/json"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/fake"
)

// loadExample returns the bundle and the built-in mix of an example deployment.
func loadExample(t *testing.T, deployment string) (*bundle.Bundle, Mix) {
	t.Helper()
	data, err := examples.Bundle(deployment)
	assert.NilError(t, err)
	b, err := bundle.Check(deployment, data)
	assert.NilError(t, err)
	mix, err := BuiltInMix(deployment, b)
	assert.NilError(t, err)
	return b, mix
}

// examplePlan returns a plan for Brunnhofer with a warm-up of 10 s, a run of 100 s
// and a capacity of 200 requests a second.
func examplePlan(t *testing.T, scenario string) *Plan {
	t.Helper()
	_, mix := loadExample(t, examples.Brunnhofer)
	s, err := FindScenario(scenario)
	assert.NilError(t, err)
	return &Plan{
		Scenario: s, Mix: mix, Seed: 7, Warmup: 10 * time.Second, Duration: 100 * time.Second,
		Capacity: Capacity{Rate: 200}, CrashPipeline: "fitting-notes",
	}
}

// countArrivals counts the arrivals of a kind that are due in a part of the run,
// given as fractions of the measured run.
func countArrivals(p *Plan, all []Arrival, kind Kind, from, to float64) int {
	n := 0
	for _, a := range all {
		if at := p.fractionDone(a.At); a.Kind == kind && at >= from && at < to {
			n++
		}
	}
	return n
}

func TestRateFollowsTheScenario(t *testing.T) {
	tests := []struct {
		scenario string
		kind     Kind
		from, to float64
		want     int
	}{
		{"calm", KindOrdinary, 0, 1, 10000},
		{"calm", KindOrdinary, -0.1, 0, 1000},
		{"calm", KindFlood, 0, 1, 0},
		{"burst", KindOrdinary, 0, 0.35, 3500},
		{"burst", KindOrdinary, 0.35, 0.6, 7500},
		{"burst", KindOrdinary, 0.6, 1, 4000},
		{"storm", KindOrdinary, 0.1, 0.5, 8000},
		{"storm", KindOrdinary, 0.5, 0.8, 9000},
		{"overload-2x", KindOrdinary, 0, 1, 40000},
		{"account-flood", KindFlood, 0, 1, 30000},
		{"account-flood", KindFlood, -0.1, 0, 0},
		{"crash-request", KindCrash, 0, 1, 334},
	}
	for _, test := range tests {
		p := examplePlan(t, test.scenario)
		got := countArrivals(p, Schedule(p), test.kind, test.from, test.to)
		assert.Assert(t, got >= test.want*95/100 && got <= test.want*105/100, "%+v: %d", test, got)
	}
}

func TestScheduleIsDeterministic(t *testing.T) {
	p := examplePlan(t, "burst")
	first := Schedule(p)
	assert.Assert(t, slices.Equal(first, Schedule(p)))
	p.Seed++
	assert.Assert(t, first[0] != Schedule(p)[0])
	markers := make(map[string]bool)
	for i, a := range first {
		assert.Assert(t, i == 0 || a.At >= first[i-1].At)
		assert.Equal(t, a.Warmup, a.At < p.Warmup)
		assert.Assert(t, !markers[a.Marker])
		markers[a.Marker] = true
	}
}

func TestFloodDoesNotChangeOrdinaryRequests(t *testing.T) {
	var ordinary []Arrival
	for _, a := range Schedule(examplePlan(t, "account-flood")) {
		if a.Kind == KindOrdinary {
			ordinary = append(ordinary, a)
			continue
		}
		assert.Equal(t, a.Account, "partner-chain-ostschweiz")
	}
	assert.Assert(t, slices.Equal(ordinary, Schedule(examplePlan(t, "calm"))))
}

func TestArrivalsCallOnlyAllowedPipelines(t *testing.T) {
	for _, deployment := range examples.Names() {
		b, mix := loadExample(t, deployment)
		p := &Plan{Mix: mix, Seed: 1, Duration: time.Minute, Scenario: Scenario{Share: 1}, Capacity: Capacity{Rate: 100}}
		for _, a := range Schedule(p) {
			assert.Assert(t, mayCall(b.Account(a.Account), a.Pipeline), "%s calls %s", a.Account, a.Pipeline)
		}
	}
}

func TestCombinedScenarios(t *testing.T) {
	s, err := FindScenario("straggler+burst")
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "straggler+burst")
	assert.Equal(t, len(s.Faults), 1)
	for at, want := range map[float64]float64{-0.5: 1, 0.3: 1, 0.35: 3, 0.59: 3, 0.6: 1} {
		assert.Equal(t, s.rateFactor(at), want, "at %v", at)
	}
	_, err = FindScenario("calm+hurricane")
	assert.ErrorContains(t, err, `no scenario "hurricane"`)
}

func TestCapacity(t *testing.T) {
	for deployment, want := range map[string]string{examples.Brunnhofer: "fitting-engines", examples.Stroomwacht: "language-engines"} {
		b, mix := loadExample(t, deployment)
		c := CapacityOf(b, &mix, DefaultEngineTimes)
		assert.Equal(t, c.Pool, want)
		// A full batch of 16 needs 8 ms * 1.3 for a step, and a generation needs
		// 43.4 steps on average: 28.2 ms of engine time for each generation, plus
		// 30 ms of prefill.
		assert.Assert(t, c.PoolRate > 12/0.0583 && c.PoolRate < 12/0.0581, "%v", c.PoolRate)
		calls := callsPerRequest(b, mix.Shares(), c.Pool)
		assert.Assert(t, c.Rate*calls > c.PoolRate*0.999 && c.Rate*calls < c.PoolRate*1.001)
		assert.Equal(t, c.scaled(2*c.Rate).PoolRate, 2*c.PoolRate)
	}
}

func TestMeanTokensMatchStandIns(t *testing.T) {
	sum, n := 0, 5000
	for i := range n {
		var out fake.Output
		input := json.RawMessage(strconv.Itoa(i))
		assert.NilError(t, json.Unmarshal(fake.ExpectedEngineOutput("generate", input, nil, 0), &out))
		sum += out.Tokens
	}
	mean := float64(sum) / float64(n)
	assert.Assert(t, mean > meanTokens-0.6 && mean < meanTokens+0.6, "%v", mean)
}

func TestMixFindings(t *testing.T) {
	b, _ := loadExample(t, examples.Brunnhofer)
	text := `groups: 0
accounts:
  - {name: nobody, weight: 1}
  - {name: partner-shops-rheintal, weight: 0}
pipelines:
  - {name: billing, weight: 1, stream: 2}
`
	_, err := ParseMix("mix.yaml", []byte(text), b)
	assert.Error(t, err, `mix.yaml:1:9: groups must be at least 1
mix.yaml:3:12: the bundle has no account "nobody"
mix.yaml:4:44: the weight must be above zero
mix.yaml:4:12: account "partner-shops-rheintal" may call none of the pipelines
mix.yaml:6:40: the share of streamed requests must lie between 0 and 1`)
	_, err = ParseMix("mix.yaml", []byte("groups: 1\nacounts: []\n"), b)
	assert.ErrorContains(t, err, "mix.yaml:2:1")
}

func TestPlanFaults(t *testing.T) {
	sites := []endpointSite{{"a-1", "a", "north"}, {"b-1", "b", "north"}, {"b-2", "b", "south"}, {"a-2", "a", "south"}}
	type step struct {
		at        int
		endpoints []string
	}
	tests := map[string][]step{
		"calm":          nil,
		"straggler":     {{20, []string{"b-1"}}, {110, []string{"b-1"}}},
		"dead-endpoint": {{20, []string{"b-1"}}},
		"domain-cut":    {{35, []string{"b-2", "a-2"}}},
		"platform-down": {{10, nil}, {110, nil}},
		"crash-request": {{10, []string{"b-1", "b-2"}}, {110, []string{"b-1", "b-2"}}},
		"domain-cut+straggler": {
			{20, []string{"b-1"}}, {35, []string{"b-2", "a-2"}}, {110, []string{"b-1"}},
		},
	}
	for scenario, want := range tests {
		actions := planFaults(examplePlan(t, scenario), sites, "b")
		assert.Equal(t, len(actions), len(want), scenario)
		for i, a := range actions {
			assert.Equal(t, a.At, time.Duration(want[i].at)*time.Second, scenario)
			assert.DeepEqual(t, a.Endpoints, want[i].endpoints)
			assert.Equal(t, a.PlatformDown != nil, scenario == "platform-down")
		}
	}
}
