package load

import (
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Values of EdgeReport.System.
const (
	EdgeGateway = "gateway"
	EdgeNaive   = "naive"
)

// EdgeReport is the result of a run of gateways. Its fractions lie between 0 and 1.
type EdgeReport struct {
	// System is EdgeGateway or EdgeNaive.
	System   string        `json:"system"`
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Gateways int           `json:"gateways"`
	Rate     float64       `json:"rate_per_second"`
	Duration time.Duration `json:"duration_ns"`
	// Offered is the rate of requests and Goodput the rate of answers in time,
	// both a second.
	Offered float64 `json:"offered_per_second"`
	Goodput float64 `json:"goodput_per_second"`

	// Total and Routes have the outcomes of all requests and of each route's.
	// Complete answers that met the route's objective are in time; other complete
	// answers are late.
	Total  Group   `json:"total"`
	Routes []Group `json:"routes"`

	Reasons               []ReasonCount `json:"reasons"`
	RefusedWithRetryAfter int           `json:"refused_with_retry_after"`
	FirstEvent            Quantiles     `json:"first_event"`
	EventGap              Quantiles     `json:"event_gap"`
	// Wrong describes some of the answers that are incomplete or belong to another
	// request.
	Wrong    []string     `json:"wrong,omitempty"`
	Driver   Driver       `json:"driver"`
	Timeline []EdgeSecond `json:"timeline"`
}

func newEdgeReport(cfg EdgeConfig, plan *Plan, samples []Sample, seconds []EdgeSecond) *EdgeReport {
	sums := summarize(plan, samples)
	r := &EdgeReport{
		System: EdgeGateway, Scenario: cfg.Scenario.Name, Seed: cfg.Seed, Gateways: cfg.Gateways, Rate: cfg.Rate,
		Duration: cfg.Duration, Offered: sums.Offered, Goodput: sums.Goodput, Total: sums.Total, Routes: sums.Pipelines,
		Reasons: sums.Reasons, RefusedWithRetryAfter: sums.RefusedWithRetryAfter,
		FirstEvent: sums.FirstToken, EventGap: sums.TokenGap, Wrong: sums.Integrity.Examples,
		Driver: sums.Driver, Timeline: seconds,
	}
	if cfg.Naive {
		r.System = EdgeNaive
	}
	for i := range r.Timeline {
		r.Timeline[i].Second = sums.Timeline[i]
	}
	return r
}

// HasViolations reports whether an answer was incomplete or belonged to another request.
func (r *EdgeReport) HasViolations() bool { return r.Total.Wrong > 0 }

// WriteTable writes the report as text for people.
func (r *EdgeReport) WriteTable(out io.Writer) error {
	t := newTable(out)
	t.line("%s, %s, seed %d: %.0f s, %d gateways, offered %.1f/s, goodput %.1f/s", r.System, r.Scenario, r.Seed,
		r.Duration.Seconds(), r.Gateways, r.Offered, r.Goodput)
	t.line("")
	sums := &Report{
		Total: r.Total, Pipelines: r.Routes, Reasons: r.Reasons, RefusedWithRetryAfter: r.RefusedWithRetryAfter,
		FirstToken: r.FirstEvent, TokenGap: r.EventGap, Driver: r.Driver,
	}
	t.groups(sums)
	t.outcomes(sums)
	for _, example := range r.Wrong {
		t.line("wrong: %s", example)
	}
	queue, fill, memory := r.means()
	t.line("means: %.1f requests in their stages, %.0f%% of the places in calls taken, %.0f%% of the room for results",
		queue, percent*fill, percent*memory)
	t.driver(sums)
	return t.w.Flush()
}

// means returns the means of the gauges over the run. Each reading has the same
// weight for the queue and the memory for results, and each place in a call has
// the same weight for the batch fill.
func (r *EdgeReport) means() (queue, fill, memory float64) {
	readings, pieces, places := 0, 0, 0
	for i := range r.Timeline {
		s := &r.Timeline[i]
		queue += s.Queue * float64(s.readings)
		memory += s.RoomUsed * float64(s.readings)
		readings += s.readings
		pieces += s.pieces
		places += s.places
	}
	return fraction(queue, float64(readings)), fraction(float64(pieces), float64(places)), fraction(memory, float64(readings))
}

// EdgeComparison has the reports of a run of gateways and of the same run of naive
// gateways.
type EdgeComparison struct {
	Report   *EdgeReport `json:"report"`
	Baseline *EdgeReport `json:"baseline"`
	Ratios   []Ratio     `json:"ratios"`
}

// CompareEdge compares the report of a run with that of its baseline.
func CompareEdge(report, baseline *EdgeReport) *EdgeComparison {
	_, fill, _ := report.means()
	_, baselineFill, _ := baseline.means()
	return &EdgeComparison{Report: report, Baseline: baseline, Ratios: []Ratio{
		ratioOf("attainment", report.Total.Attainment, baseline.Total.Attainment),
		ratioOf("goodput per second", report.Goodput, baseline.Goodput),
		ratioOf("first event p50 ms", milliseconds(report.FirstEvent.P50), milliseconds(baseline.FirstEvent.P50)),
		ratioOf("first event p95 ms", milliseconds(report.FirstEvent.P95), milliseconds(baseline.FirstEvent.P95)),
		ratioOf("batch fill", fill, baselineFill),
	}}
}

// HasViolations reports whether one of the two reports is broken.
func (c *EdgeComparison) HasViolations() bool {
	return c.Report.HasViolations() || c.Baseline.HasViolations()
}

// WriteTable writes both reports and their ratios as text for people.
func (c *EdgeComparison) WriteTable(out io.Writer) error {
	for _, r := range []*EdgeReport{c.Report, c.Baseline} {
		if err := r.WriteTable(out); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out); err != nil {
			return err
		}
	}
	t := newTable(out)
	t.ratios(c.Report.Scenario, c.Report.System, c.Baseline.System, c.Ratios)
	return t.w.Flush()
}

// edgePanelHeight is the height of each of the four panels.
const edgePanelHeight = 2.4 * vg.Inch

// WritePlot writes a PNG of attainment, queue, batch fill and used memory for
// results over the time of the run.
func (r *EdgeReport) WritePlot(out io.Writer) error {
	return writeEdgePlot(out, plottedEdgeRun{runStyle, r})
}

// WritePlot writes a PNG of the same figures of both runs.
func (c *EdgeComparison) WritePlot(out io.Writer) error {
	return writeEdgePlot(out, plottedEdgeRun{baselineStyle, c.Baseline}, plottedEdgeRun{runStyle, c.Report})
}

// plottedEdgeRun is one run of gateways in a plot.
type plottedEdgeRun struct {
	style  draw.LineStyle
	report *EdgeReport
}

func writeEdgePlot(out io.Writer, runs ...plottedEdgeRun) error {
	figures := []struct {
		unit  string
		maxY  float64
		value func(*EdgeSecond) (float64, bool)
	}{
		{"Attainment (% of requests)", percent, func(s *EdgeSecond) (float64, bool) { return attainmentAt(&s.Second) }},
		{"Requests in their stages", 0, func(s *EdgeSecond) (float64, bool) { return s.Queue, s.readings > 0 }},
		{"Batch fill (% of places)", percent, func(s *EdgeSecond) (float64, bool) { return percent * s.BatchFill, s.places > 0 }},
		{"Room for results (% used)", percent, func(s *EdgeSecond) (float64, bool) { return percent * s.RoomUsed, s.readings > 0 }},
	}
	panels := make([]*panel, len(figures))
	for i, d := range figures {
		panels[i] = newPanel("", d.unit)
		panels[i].plot.Y.Max = max(1, d.maxY)
		for _, run := range runs {
			if err := addLine(panels[i], run.report.System, run.style, run.report.Timeline, d.value); err != nil {
				return err
			}
		}
		panels[i].plot.Y.Max *= 1 + axisHeadroom
	}
	r := runs[0].report
	panels[0].plot.Title.Text = fmt.Sprintf("%d gateways, %s, %.0f requests/s, seed %d", r.Gateways, r.Scenario, r.Rate, r.Seed)
	panels[len(panels)-1].plot.X.Label.Text = "Time (s); attainment by when requests were due"
	return writePanels(out, edgePanelHeight, panels...)
}
