package load

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/wire"
)

// newSample returns a sample of an ordinary request that was due at a second.
func newSample(at int, outcome api.Outcome, latency time.Duration) Sample {
	return Sample{
		Arrival:  Arrival{Kind: KindOrdinary, Account: "partner-shops-thurgau", Pipeline: "catalogue", At: time.Duration(at) * time.Second},
		Deadline: time.Second, Latency: latency, Outcome: outcome,
	}
}

func modified(s Sample, change func(*Sample)) Sample {
	change(&s)
	return s
}

func TestSummary(t *testing.T) {
	p := examplePlan(t, "account-flood+crash-request")
	p.PoolCalls, p.Capacity.PoolRate = map[string]int{"catalogue": 2}, 0.1
	samples := []Sample{
		modified(newSample(1, api.OutcomeAnswered, 5*time.Second), func(s *Sample) { s.Warmup, s.Wrong = true, "foreign" }),
		newSample(11, api.OutcomeAnswered, 100*time.Millisecond),
		newSample(11, api.OutcomeAnswered, time.Second+time.Millisecond),
		modified(newSample(12, api.OutcomeRefused, 0), func(s *Sample) { s.Reason, s.RetryAfter = api.ReasonOverloaded, true }),
		modified(newSample(12, api.OutcomeRefused, 0), func(s *Sample) { s.Reason = api.ReasonDeadline }),
		modified(newSample(12, api.OutcomeRefused, 0), func(s *Sample) { s.Reason = api.ReasonDeadline }),
		newSample(13, api.OutcomeUnknown, 0), newSample(13, api.OutcomeCutShort, 0), newSample(13, "", 0),
		modified(newSample(14, api.OutcomeAnswered, time.Millisecond), func(s *Sample) { s.Wrong = "foreign" }),
		modified(newSample(15, api.OutcomeAnswered, 300*time.Millisecond), func(s *Sample) {
			s.Account = "partner-chain-ostschweiz"
			s.FirstToken, s.TokenGaps = 50*time.Millisecond, []time.Duration{time.Millisecond, 3 * time.Millisecond}
		}),
		modified(newSample(15, api.OutcomeRefused, 0), func(s *Sample) { s.Kind = KindCrash }),
	}
	r := summarize(p, samples)
	all := r.Total
	all.Latency = Quantiles{}
	assert.DeepEqual(t, all, Group{Name: "all", Sent: 10, InTime: 2, Attainment: 0.2, Late: 1, Refused: 3, CutShort: 1, Unknown: 1, Failed: 1, Wrong: 1})
	assert.Equal(t, r.Total.Latency.Count, 4)
	assert.Equal(t, r.Bystanders.Sent, 9)
	assert.Equal(t, r.CrashRequests.Refused, 1)
	assert.Equal(t, r.Integrity.Wrong, 2)
	assert.DeepEqual(t, r.Reasons, []ReasonCount{
		{api.OutcomeRefused, api.ReasonDeadline, "", 2}, {api.OutcomeRefused, api.ReasonOverloaded, "", 1},
	})
	assert.Equal(t, r.RefusedWithRetryAfter, 1)
	assert.Equal(t, r.FirstToken.Count, 1)
	assert.Equal(t, r.TokenGap.Count, 2)
	assert.Equal(t, len(r.Timeline), 100)
	// The histogram returns the upper bounds of its buckets as quantiles.
	latency := Quantiles{Count: 2, P50: 100_031 * time.Microsecond, P95: 1_001_471 * time.Microsecond, P99: 1_001_471 * time.Microsecond}
	assert.DeepEqual(t, r.Timeline[1], Second{Sent: 2, InTime: 1, Latency: latency})
	assert.DeepEqual(t, r.Timeline[2], Second{Sent: 3, Refused: 3})
	assert.Equal(t, r.Offered, 0.1)
	// Two answers with two calls each, of the ten calls that the pool can finish
	// in 100 s.
	assert.Equal(t, r.PoolGoodput, 0.4)
	assert.Assert(t, r.HasViolations())
}

func TestQuantiles(t *testing.T) {
	h := newHistogram()
	for i := range 1000 {
		h.add(time.Duration(i+1) * time.Millisecond)
	}
	h.add(time.Hour)
	got := h.quantiles()
	assert.Equal(t, got.Count, 1001)
	for want, value := range map[time.Duration]time.Duration{501: got.P50, 951: got.P95, 991: got.P99} {
		want *= time.Millisecond
		assert.Assert(t, value > want*998/1000 && value < want*1002/1000, "%s, want %s", value, want)
	}
}

func TestCostSpent(t *testing.T) {
	before := []wire.StageCost{{Pipeline: "p", Stage: "s", Account: "a", Useful: 5, Wasted: 1}}
	after := []wire.StageCost{
		{Pipeline: "p", Stage: "s", Account: "a", Useful: 8, Wasted: 2},
		{Pipeline: "p", Stage: "s", Account: "b", Useful: 4},
		{Pipeline: "p", Stage: "a", Account: "b", Wasted: 2},
	}
	list, total := costSpent(before, after)
	assert.DeepEqual(t, list, []StageCost{{"p", "a", 0, 2}, {"p", "s", 7, 1}})
	assert.DeepEqual(t, total, StageCost{Useful: 7, Wasted: 3})
	assert.Equal(t, total.WastedShare(), 0.3)
	assert.Equal(t, StageCost{}.WastedShare(), 0.0)
}

// Guards against violated guarantees that no reply shows. One caller's order was
// refused as not run although an endpoint ran a stage of it; another caller's
// order ran its unrepeatable stage on two endpoints.
func TestIntegrityCountsStandInRuns(t *testing.T) {
	b, _ := loadExample(t, examples.Brunnhofer)
	counts := []fake.Counts{
		{Starts: map[string]int{"x": 1, "y": 1, crashMarker: 1}, StageStarts: map[string]map[string]int{"workshop-order": {"y": 1}, "retrieve": {"x": 1}}},
		{Starts: map[string]int{"x": 1, "y": 1}, StageStarts: map[string]map[string]int{"workshop-order": {"y": 1}, "retrieve": {"x": 1}}},
	}
	markedSample := func(marker string, kind Kind, outcome api.Outcome) Sample {
		return Sample{Arrival: Arrival{Marker: marker, Kind: kind}, Outcome: outcome}
	}
	var integrity Integrity
	integrity.checkStandInRuns(b, []Sample{
		markedSample("x", KindOrdinary, api.OutcomeRefused), markedSample("y", KindOrdinary, api.OutcomeAnswered),
		markedSample("z", KindOrdinary, api.OutcomeRefused), markedSample(crashMarker, KindCrash, api.OutcomeRefused),
	}, counts)
	assert.Equal(t, integrity.RefusedButRan, 1)
	assert.Equal(t, integrity.RepeatedStages, 1)
	assert.Equal(t, len(integrity.Examples), 2)
}

func TestTables(t *testing.T) {
	p := examplePlan(t, "account-flood+crash-request")
	good := summarize(p, []Sample{newSample(11, api.OutcomeAnswered, time.Millisecond), newSample(12, api.OutcomeAnswered, time.Millisecond)})
	bad := summarize(p, []Sample{newSample(11, api.OutcomeAnswered, time.Millisecond), newSample(12, api.OutcomeRefused, 0)})
	good.Deployment = examples.Brunnhofer
	c := Compare(&good, &bad)
	assert.Equal(t, c.Ratios[0].Name, "attainment")
	assert.Equal(t, *c.Ratios[0].Ratio, 2.0)
	last := c.Ratios[len(c.Ratios)-1]
	assert.Assert(t, last.Ratio == nil, "there must be no ratio to a baseline of zero")
	var out bytes.Buffer
	assert.NilError(t, c.WriteTable(&out))
	for _, want := range []string{"brunnhofer, account-flood+crash-request", "bystanders", "crash requests", "wrong answers: 0", "seed 7"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is not in\n%s", want, out.String())
	}
}
