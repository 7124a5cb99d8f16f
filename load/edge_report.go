package load

import (
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Names of what a run of gateways drives.
const (
	EdgeGateway = "gateway"
	EdgeNaive   = "naive"
)

// EdgeReport sums a run of gateways up. Shares lie between 0 and 1.
type EdgeReport struct {
	// System is EdgeGateway or EdgeNaive.
	System   string        `json:"system"`
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Gateways int           `json:"gateways"`
	Rate     float64       `json:"rate_per_second"`
	Duration time.Duration `json:"duration_ns"`
	// Offered and Goodput are requests and answers in time, a second.
	Offered float64 `json:"offered_per_second"`
	Goodput float64 `json:"goodput_per_second"`

	// Total and Routes: in time are complete answers that met the route's
	// objective, late are other complete answers.
	Total  Group   `json:"total"`
	Routes []Group `json:"routes"`

	Reasons               []ReasonCount `json:"reasons"`
	RefusedWithRetryAfter int           `json:"refused_with_retry_after"`
	FirstEvent            Quantiles     `json:"first_event"`
	EventGap              Quantiles     `json:"event_gap"`
	// Wrong describes some of the answers that were incomplete or another request's.
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

// Broken tells whether an answer was incomplete or another request's.
func (r *EdgeReport) Broken() bool { return r.Total.Wrong > 0 }

// WriteTable writes the report for people.
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
	queue, fill, room := r.means()
	t.line("means: %.1f requests in their stages, %.0f%% of the places in calls taken, %.0f%% of the room for results",
		queue, percent*fill, percent*room)
	t.driver(sums)
	return t.w.Flush()
}

// means are those of the gauges over the run; a call counts as much as another.
func (r *EdgeReport) means() (queue, fill, room float64) {
	looks, pieces, places := 0, 0, 0
	for i := range r.Timeline {
		s := &r.Timeline[i]
		queue += s.Queue * float64(s.looks)
		room += s.RoomUsed * float64(s.looks)
		looks += s.looks
		pieces += s.pieces
		places += s.places
	}
	return share(queue, float64(looks)), share(float64(pieces), float64(places)), share(room, float64(looks))
}

// EdgeComparison is a run of gateways and the same run of the naive counterpart.
type EdgeComparison struct {
	Report   *EdgeReport `json:"report"`
	Baseline *EdgeReport `json:"baseline"`
	Ratios   []Ratio     `json:"ratios"`
}

// CompareEdge sets a run against its baseline.
func CompareEdge(report, baseline *EdgeReport) *EdgeComparison {
	_, fill, _ := report.means()
	_, baseFill, _ := baseline.means()
	return &EdgeComparison{Report: report, Baseline: baseline, Ratios: []Ratio{
		ratioOf("attainment", report.Total.Attainment, baseline.Total.Attainment),
		ratioOf("goodput per second", report.Goodput, baseline.Goodput),
		ratioOf("first event p50 ms", milliseconds(report.FirstEvent.P50), milliseconds(baseline.FirstEvent.P50)),
		ratioOf("first event p95 ms", milliseconds(report.FirstEvent.P95), milliseconds(baseline.FirstEvent.P95)),
		ratioOf("batch fill", fill, baseFill),
	}}
}

// Broken tells whether one of the runs is.
func (c *EdgeComparison) Broken() bool { return c.Report.Broken() || c.Baseline.Broken() }

// WriteTable writes both reports and their ratios for people.
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

// edgePanelHeight is that of one of four panels.
const edgePanelHeight = 2.4 * vg.Inch

// WritePlot writes a PNG of attainment, queue, batches and room over the run.
func (r *EdgeReport) WritePlot(out io.Writer) error {
	return writeEdgePlot(out, plottedEdge{runStyle, r})
}

// WritePlot writes a PNG of both runs.
func (c *EdgeComparison) WritePlot(out io.Writer) error {
	return writeEdgePlot(out, plottedEdge{baselineStyle, c.Baseline}, plottedEdge{runStyle, c.Report})
}

// plottedEdge is one run in a picture.
type plottedEdge struct {
	style  draw.LineStyle
	report *EdgeReport
}

func writeEdgePlot(out io.Writer, runs ...plottedEdge) error {
	diagrams := []struct {
		unit  string
		most  float64
		value func(*EdgeSecond) (float64, bool)
	}{
		{"Attainment (% of requests)", percent, func(s *EdgeSecond) (float64, bool) { return attainmentOf(&s.Second) }},
		{"Requests in their stages", 0, func(s *EdgeSecond) (float64, bool) { return s.Queue, s.looks > 0 }},
		{"Batch fill (% of places)", percent, func(s *EdgeSecond) (float64, bool) { return percent * s.BatchFill, s.places > 0 }},
		{"Room for results (% used)", percent, func(s *EdgeSecond) (float64, bool) { return percent * s.RoomUsed, s.looks > 0 }},
	}
	panels := make([]*panel, len(diagrams))
	for i, d := range diagrams {
		panels[i] = newPanel("", d.unit)
		panels[i].plot.Y.Max = max(1, d.most)
		for _, run := range runs {
			if err := addLine(panels[i], run.report.System, run.style, run.report.Timeline, d.value); err != nil {
				return err
			}
		}
		panels[i].plot.Y.Max *= 1 + axisRoom
	}
	r := runs[0].report
	panels[0].plot.Title.Text = fmt.Sprintf("%d gateways, %s, %.0f requests/s, seed %d", r.Gateways, r.Scenario, r.Rate, r.Seed)
	panels[len(panels)-1].plot.X.Label.Text = "Time (s); attainment by when requests were due"
	return writePanels(out, edgePanelHeight, panels...)
}
