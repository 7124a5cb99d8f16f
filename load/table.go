package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const (
	percent = 100
	// nameWidth is the width of the first column, which has the names.
	nameWidth = 34
)

// WriteTable writes the report as text for people.
func (r *Report) WriteTable(out io.Writer) error {
	t := newTable(out)
	t.line("%s, %s, policy %s, seed %d: %.0f s after %.0f s of warm-up", r.Deployment, r.Scenario, r.Policy, r.Seed,
		r.Duration.Seconds(), r.Warmup.Seconds())
	t.line("requests: capacity %.1f/s, offered %.1f/s, goodput %.1f/s", r.Capacity.Rate, r.Offered, r.Goodput)
	t.line("%s, which limits it: capacity %.1f calls/s, offered %.1f%%, goodput %.1f%%", r.Capacity.Pool,
		r.Capacity.PoolRate, percent*r.PoolOffered, percent*r.PoolGoodput)
	t.line("")
	t.groups(r)
	t.details(r)
	t.costs(r)
	t.driver(r)
	return t.w.Flush()
}

// WriteTable writes both reports and their ratios as text for people.
func (c *Comparison) WriteTable(out io.Writer) error {
	for _, r := range []*Report{c.Report, c.Baseline} {
		if err := r.WriteTable(out); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out); err != nil {
			return err
		}
	}
	t := newTable(out)
	t.ratios(c.Report.Scenario, string(c.Report.Policy), string(c.Baseline.Policy), c.Ratios)
	return t.w.Flush()
}

// table writes aligned columns. Flush returns the errors of earlier writes.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer) table {
	const padding = 2
	return table{tabwriter.NewWriter(out, 0, 0, padding, ' ', tabwriter.AlignRight)}
}

func (t table) line(format string, args ...any) {
	_, _ = fmt.Fprintf(t.w, format+"\n", args...)
}

func (t table) ratios(scenario, name, baseline string, ratios []Ratio) {
	t.line("%-*s\t%s\t%s\tratio\t", nameWidth, scenario, name, baseline)
	for _, r := range ratios {
		ratio := "-"
		if r.Ratio != nil {
			ratio = fmt.Sprintf("%.3f", *r.Ratio)
		}
		t.line("%-*s\t%.4g\t%.4g\t%s\t", nameWidth, r.Name, r.Value, r.Baseline, ratio)
	}
}

func (t table) groups(r *Report) {
	t.line("\tsent\tin time\tattained\tlate\trefused\tcut short\tunknown\tfailed\twrong\tp50\tp95\tp99\t")
	t.group(r.Total)
	if r.Bystanders != nil {
		t.group(*r.Bystanders)
	}
	for _, g := range r.Accounts {
		t.group(g)
	}
	for _, g := range r.Pipelines {
		t.group(g)
	}
	if r.CrashRequests != nil {
		t.group(*r.CrashRequests)
	}
	t.line("")
}

func (t table) group(g Group) {
	t.line("%-*s\t%d\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t", nameWidth, g.Name, g.Sent, g.InTime, percent*g.Attainment,
		g.Late, g.Refused, g.CutShort, g.Unknown, g.Failed, g.Wrong,
		formatDuration(g.Latency.P50), formatDuration(g.Latency.P95), formatDuration(g.Latency.P99))
}

func (t table) details(r *Report) {
	t.outcomes(r)
	t.integrity(r)
	t.line("")
}

// outcomes writes the reasons for requests without an answer and the timing of
// streams.
func (t table) outcomes(r *Report) {
	for _, reason := range r.Reasons {
		t.line("%s, %s: %d%s", reason.Outcome, reason.Reason, reason.Count, parenthesized(reason.Detail))
	}
	t.line("refusals that say when to come back: %d of %d", r.RefusedWithRetryAfter, r.Total.Refused)
	t.line("first token: p50 %s, p95 %s, p99 %s (%d streams)", formatDuration(r.FirstToken.P50), formatDuration(r.FirstToken.P95),
		formatDuration(r.FirstToken.P99), r.FirstToken.Count)
	t.line("between tokens: p50 %s, p95 %s, p99 %s", formatDuration(r.TokenGap.P50), formatDuration(r.TokenGap.P95), formatDuration(r.TokenGap.P99))
}

func (t table) integrity(r *Report) {
	i := r.Integrity
	t.line("wrong answers: %d; unrepeatable stages run twice: %d; refused though a stage ran: %d%s", i.Wrong, i.RepeatedStages,
		i.RefusedButRan, uncheckedNote(i))
	for _, example := range i.Examples {
		t.line("  %s", example)
	}
	if r.Crashes > 0 {
		t.line("endpoint crashes: %d", r.Crashes)
	}
}

// parenthesized returns the text in parentheses after a space; "" if it is empty.
func parenthesized(detail string) string {
	if detail == "" {
		return ""
	}
	return " (" + detail + ")"
}

// uncheckedNote returns a note if the runs of the stand-ins were not compared.
func uncheckedNote(i Integrity) string {
	if i.Checked {
		return ""
	}
	return " (runs not checked: the stand-ins are out of reach)"
}

func (t table) costs(r *Report) {
	t.line("\tuseful s\twasted s\twasted\t")
	for _, c := range append(r.Cost, r.CostTotal) {
		name := c.Pipeline + "/" + c.Stage
		if c.Pipeline == "" {
			name = totalName
		}
		t.line("%-*s\t%.2f\t%.2f\t%.2f%%\t", nameWidth, name, c.Useful.Seconds(), c.Wasted.Seconds(), percent*c.WastedShare())
	}
	t.line("")
}

func (t table) driver(r *Report) {
	d := r.Driver
	t.line("driver: sent late by p50 %s, p99 %s; %.1f cores busy; load average %.1f to %.1f", formatDuration(d.Lag.P50),
		formatDuration(d.Lag.P99), d.Cores, d.LoadAverageStart, d.LoadAverageEnd)
	for _, e := range d.Errors {
		t.line("  %s", e)
	}
}

// formatDuration formats a duration with about three digits; zero becomes "-".
func formatDuration(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < time.Millisecond:
		return d.Round(time.Microsecond).String()
	case d < time.Second:
		return fmt.Sprintf("%.1fms", milliseconds(d))
	}
	return fmt.Sprintf("%.2fs", d.Seconds())
}

// HasViolations reports whether the run violated a guarantee; see Integrity.
func (r *Report) HasViolations() bool {
	return r.Integrity.Wrong+r.Integrity.RepeatedStages+r.Integrity.RefusedButRan > 0
}
