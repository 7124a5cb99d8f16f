package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

const (
	// histogramUnit is the resolution of histograms. histogramMax is their highest
	// value, in that unit; longer durations are recorded as histogramMax.
	histogramUnit   = time.Microsecond
	histogramMax    = int64(2 * time.Minute / histogramUnit)
	histogramDigits = 3
	// maxExamples is the maximum number of examples or errors in a report.
	maxExamples = 5
	// totalName is the name of the group of all requests.
	totalName = "all"
)

// histogram collects durations.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.h.RecordValue(min(max(1, int64(d/histogramUnit)), histogramMax))
}

func (h histogram) quantiles() Quantiles {
	at := func(percent float64) time.Duration {
		return time.Duration(h.h.ValueAtPercentile(percent)) * histogramUnit
	}
	return Quantiles{Count: int(h.h.TotalCount()), P50: at(50), P95: at(95), P99: at(99)}
}

// tally counts the outcomes of one group.
type tally struct {
	group   Group
	latency histogram
}

func newTally(name string) *tally { return &tally{group: Group{Name: name}, latency: newHistogram()} }

func (t *tally) add(s *Sample) {
	g := &t.group
	g.Sent++
	switch s.Outcome {
	case api.OutcomeAnswered:
		t.latency.add(s.Latency)
		t.addAnswer(s)
	case api.OutcomeRefused:
		g.Refused++
	case api.OutcomeCutShort:
		g.CutShort++
	case api.OutcomeUnknown:
		g.Unknown++
	default:
		g.Failed++
	}
}

func (t *tally) addAnswer(s *Sample) {
	switch {
	case s.Wrong != "":
		t.group.Wrong++
	case s.InTime():
		t.group.InTime++
	default:
		t.group.Late++
	}
}

func (t *tally) summary() Group {
	g := t.group
	g.Attainment = fraction(float64(g.InTime), float64(g.Sent))
	g.Latency = t.latency.quantiles()
	return g
}

// tallies has the tallies of groups by name.
type tallies map[string]*tally

func (t tallies) add(name string, s *Sample) {
	if t[name] == nil {
		t[name] = newTally(name)
	}
	t[name].add(s)
}

// summaries returns the groups, sorted by name.
func (t tallies) summaries() []Group {
	groups := make([]Group, 0, len(t))
	for _, name := range slices.Sorted(maps.Keys(t)) {
		groups = append(groups, t[name].summary())
	}
	return groups
}

// summarize returns a report with the fields that depend only on the plan and the
// samples.
func summarize(p *Plan, samples []Sample) Report {
	r := Report{
		Scenario: p.Scenario.Name, Seed: p.Seed, Warmup: p.Warmup, Duration: p.Duration, Capacity: p.Capacity,
	}
	total, bystanders, crashes := newTally(totalName), newTally("bystanders"), newTally("crash requests")
	pipelines, accounts, seconds := make(tallies), make(tallies), newTimeline(p)
	for i := range samples {
		s := &samples[i]
		switch {
		case s.Kind == KindCrash:
			crashes.add(s)
			continue
		case s.Warmup:
			continue
		}
		total.add(s)
		pipelines.add(s.Pipeline, s)
		accounts.add(s.Account, s)
		if s.Account != p.Mix.largestAccount().Name {
			bystanders.add(s)
		}
		seconds.add(s)
	}
	r.Total, r.Pipelines, r.Accounts = total.summary(), pipelines.summaries(), accounts.summaries()
	r.Timeline = seconds.summary()
	if p.Scenario.Flood > 0 {
		r.Bystanders = new(bystanders.summary())
	}
	if p.Scenario.Crashes {
		r.CrashRequests = new(crashes.summary())
	}
	r.Offered = fraction(float64(r.Total.Sent), p.Duration.Seconds())
	r.Goodput = fraction(float64(r.Total.InTime), p.Duration.Seconds())
	r.addPoolLoad(p)
	r.addDetails(samples)
	return r
}

// addPoolLoad sets the offered load and the goodput of the pool that limits the
// capacity. Requests that do not call this pool can be answered under any
// overload and would hide it in the figures of all requests.
func (r *Report) addPoolLoad(p *Plan) {
	finishes := p.Capacity.PoolRate * p.Duration.Seconds()
	for _, g := range r.Pipelines {
		calls := float64(p.PoolCalls[g.Name])
		r.PoolOffered += fraction(calls*float64(g.Sent), finishes)
		r.PoolGoodput += fraction(calls*float64(g.InTime), finishes)
	}
}

// addDetails sets the reasons, stream timings, lag, errors and integrity. Wrong
// answers, errors and lag count for all requests, those of the warm-up included.
func (r *Report) addDetails(samples []Sample) {
	reasons := make(map[ReasonCount]int)
	first, gaps, lag := newHistogram(), newHistogram(), newHistogram()
	for i := range samples {
		s := &samples[i]
		lag.add(s.Lag)
		if s.Wrong != "" {
			r.Integrity.Wrong++
			r.Integrity.addExample(s.Marker + ": " + s.Wrong)
		}
		if s.Err != "" && len(r.Driver.Errors) < maxExamples {
			r.Driver.Errors = append(r.Driver.Errors, s.Err)
		}
		if s.Warmup || s.Kind == KindCrash {
			continue
		}
		if s.Reason != "" {
			reasons[ReasonCount{Outcome: s.Outcome, Reason: s.Reason, Detail: s.Detail}]++
		}
		if s.Outcome == api.OutcomeRefused && s.RetryAfter {
			r.RefusedWithRetryAfter++
		}
		if s.FirstToken > 0 {
			first.add(s.FirstToken)
		}
		for _, gap := range s.TokenGaps {
			gaps.add(gap)
		}
	}
	r.Reasons = sortedReasons(reasons)
	r.FirstToken, r.TokenGap, r.Driver.Lag = first.quantiles(), gaps.quantiles(), lag.quantiles()
}

// sortedReasons returns the reasons, the most frequent first.
func sortedReasons(reasons map[ReasonCount]int) []ReasonCount {
	list := make([]ReasonCount, 0, len(reasons))
	for r, n := range reasons {
		r.Count = n
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Detail, b.Detail))
	})
	return list
}

// addExample adds an example of a violation, up to maxExamples.
func (i *Integrity) addExample(text string) {
	if len(i.Examples) < maxExamples {
		i.Examples = append(i.Examples, text)
	}
}

// costSpent returns the cost between two readings by pipeline and stage, summed
// over accounts and entries, and its total.
func costSpent(before, after []wire.StageCost) (list []StageCost, total StageCost) {
	type key struct{ pipeline, stage string }
	sums := make(map[key]StageCost)
	add := func(costs []wire.StageCost, sign time.Duration) {
		for _, c := range costs {
			k := key{c.Pipeline, c.Stage}
			sum := sums[k]
			sum.Pipeline, sum.Stage = c.Pipeline, c.Stage
			sum.Useful += sign * c.Useful
			sum.Wasted += sign * c.Wasted
			sums[k] = sum
		}
	}
	add(after, 1)
	add(before, -1)
	for _, sum := range sums {
		list = append(list, sum)
		total.Useful += sum.Useful
		total.Wasted += sum.Wasted
	}
	slices.SortFunc(list, func(a, b StageCost) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Stage, b.Stage))
	})
	return list, total
}
