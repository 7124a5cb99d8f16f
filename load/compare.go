package load

import "time"

// Comparison has the reports of one scenario and seed under two policies.
type Comparison struct {
	Report   *Report `json:"report"`
	Baseline *Report `json:"baseline"`
	Ratios   []Ratio `json:"ratios"`
}

// Ratio compares one figure of a run with the same figure of the baseline.
type Ratio struct {
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Baseline float64 `json:"baseline"`
	// Ratio is Value divided by Baseline; absent if Baseline is zero.
	Ratio *float64 `json:"ratio,omitempty"`
}

// Compare compares the report of a run with that of its baseline.
func Compare(report, baseline *Report) *Comparison {
	c := &Comparison{Report: report, Baseline: baseline}
	c.add("attainment", report.Total.Attainment, baseline.Total.Attainment)
	if report.Bystanders != nil && baseline.Bystanders != nil {
		c.add("bystanders' attainment", report.Bystanders.Attainment, baseline.Bystanders.Attainment)
	}
	c.add("goodput per second", report.Goodput, baseline.Goodput)
	c.add("goodput of the limiting pool's capacity", report.PoolGoodput, baseline.PoolGoodput)
	c.addTime("latency p50 ms", report.Total.Latency.P50, baseline.Total.Latency.P50)
	c.addTime("latency p95 ms", report.Total.Latency.P95, baseline.Total.Latency.P95)
	c.addTime("latency p99 ms", report.Total.Latency.P99, baseline.Total.Latency.P99)
	c.addTime("first token p95 ms", report.FirstToken.P95, baseline.FirstToken.P95)
	c.addTime("cost ms per answer in time", report.costPerAnswer(), baseline.costPerAnswer())
	c.add("wasted share of cost", report.CostTotal.WastedShare(), baseline.CostTotal.WastedShare())
	return c
}

func (c *Comparison) add(name string, value, baseline float64) {
	c.Ratios = append(c.Ratios, ratioOf(name, value, baseline))
}

func ratioOf(name string, value, baseline float64) Ratio {
	r := Ratio{Name: name, Value: value, Baseline: baseline}
	if baseline != 0 {
		r.Ratio = new(value / baseline)
	}
	return r
}

func (c *Comparison) addTime(name string, value, baseline time.Duration) {
	c.add(name, milliseconds(value), milliseconds(baseline))
}

// costPerAnswer returns the endpoint time per answer in time; zero if there was no
// such answer.
func (r *Report) costPerAnswer() time.Duration {
	if r.Total.InTime == 0 {
		return 0
	}
	return (r.CostTotal.Useful + r.CostTotal.Wasted) / time.Duration(r.Total.InTime)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
