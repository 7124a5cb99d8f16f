package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/mangostage/mangostage/entry"
	"github.com/mangostage/mangostage/ledger"
)

// clockFormat is the format of the time in a line of a request's history.
const clockFormat = "15:04:05.000"

// explain is the command that shows the history and outcome of one request, as
// the entries and the processes that they reach have recorded it.
type explain struct {
	entryArguments
	outputArguments
	Request string `arg:"positional,required" help:"request ID"`
}

func (c *explain) run(ctx context.Context, out, errOut io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	var parts []ledger.Part
	var failed []error
	for _, address := range c.Entries {
		var e entry.Explanation
		if err := c.get(ctx, address, "/admin/v1/requests/"+url.PathEscape(c.Request)+"/explain", &e); err != nil {
			failed = append(failed, err)
			parts = append(parts, ledger.Part{Process: address, Missing: err.Error()})
			continue
		}
		parts = append(parts, e.Parts...)
	}
	if len(failed) == len(c.Entries) {
		return errors.Join(failed...)
	}
	for _, err := range failed {
		_, _ = fmt.Fprintln(errOut, "warning:", err)
	}
	story := ledger.Merge(c.Request, dropAnswered(parts)...)
	if c.Output == outputJSON {
		return writeJSON(out, story)
	}
	return printStory(out, story)
}

// dropAnswered filters parts in place: it drops the report of an entry that a
// process is missing if another entry has reached that process.
func dropAnswered(parts []ledger.Part) []ledger.Part {
	answered := make(map[string]bool)
	for _, p := range parts {
		if p.Missing == "" {
			answered[p.Process] = true
		}
	}
	filtered := parts[:0]
	for _, p := range parts {
		if p.Missing == "" || !answered[p.Process] {
			filtered = append(filtered, p)
		}
	}
	return filtered
}

func printStory(out io.Writer, story ledger.Timeline) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "request %s\n", story.Request)
	for _, line := range story.Lines {
		if line.Gap != nil {
			_, _ = fmt.Fprintf(table, "?\t%s\tmissing\t%s\t%s\n", line.Gap.Process, line.Gap.Stage, line.Gap.Missing)
			continue
		}
		printRecord(table, line.Record)
	}
	_, _ = fmt.Fprintf(table, "%s\n", story.Verdict)
	return table.Flush()
}

func printRecord(w io.Writer, r *ledger.Record) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.At.Format(clockFormat), r.Process, r.Kind, r.Stage, recordDetail(r))
}

// recordDetail returns the fields of a record that have no column of their own
// and are set, as name=value.
func recordDetail(r *ledger.Record) string {
	text := ""
	add := func(name, value string) {
		if value != "" {
			text += " " + name + "=" + value
		}
	}
	add("account", r.Account)
	add("pipeline", r.Pipeline)
	add("endpoint", r.Endpoint)
	if r.Attempt > 0 {
		add("attempt", fmt.Sprint(r.Attempt))
	}
	add("state", string(r.State))
	add("outcome", string(r.Outcome))
	add("reason", string(r.Reason))
	add("took", duration(r.Duration))
	add("cost", duration(r.Cost))
	add("detail", r.Detail)
	return text
}

// duration formats d rounded to 10 µs; zero is an empty string.
func duration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(10 * time.Microsecond).String()
}
