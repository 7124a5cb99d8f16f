package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/mangostage/mangostage/entry"
	"github.com/mangostage/mangostage/wire"
)

// status is the command that shows the fleet as each of the given entries sees it.
type status struct {
	entryArguments
	outputArguments
}

// entryView is the status that one entry reports of itself and of the processes
// that it knows, or the error of reading it.
type entryView struct {
	Entry     string                `json:"entry"`
	Processes []entry.ProcessStatus `json:"processes,omitempty"`
	Error     string                `json:"error,omitempty"`
}

func (c *status) run(ctx context.Context, out, _ io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	views := make([]entryView, len(c.Entries))
	var failed []error
	for i, address := range c.Entries {
		views[i].Entry = address
		if err := c.get(ctx, address, "/admin/v1/status", &views[i].Processes); err != nil {
			views[i].Error = err.Error()
			failed = append(failed, err)
		}
	}
	if len(failed) == len(c.Entries) {
		return errors.Join(failed...)
	}
	if c.Output == outputJSON {
		return writeJSON(out, views)
	}
	for _, v := range views {
		if err := printView(out, v); err != nil {
			return err
		}
	}
	return nil
}

func printView(out io.Writer, v entryView) error {
	_, _ = fmt.Fprintf(out, "as seen from %s\n", v.Entry)
	if v.Error != "" {
		_, err := fmt.Fprintf(out, "  no answer: %s\n", v.Error)
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "process\trole\tdomain\tbundle\tstate\tload\tuptime")
	for _, p := range v.Processes {
		printProcess(table, p)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return printCost(out, v.Processes)
}

func printProcess(w io.Writer, p entry.ProcessStatus) {
	if p.Status == nil {
		_, _ = fmt.Fprintf(w, "%s\t\t\t\tmissing\t%s\t\n", p.Process, p.Missing)
		return
	}
	s := p.Status
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d %.8s\t%s\t%s\t%s\n", p.Process, s.Process.Role, s.Process.Domain,
		s.Bundle.Version, s.Bundle.Hash, stateOf(s), loadOf(s), duration(s.Uptime))
}

func stateOf(s *wire.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Report != nil && s.Report.Down:
		return "endpoint down"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

func loadOf(s *wire.Status) string {
	if s.Report == nil {
		return ""
	}
	return fmt.Sprintf("%d/%d +%d queued", s.Report.InFlight, s.Report.Capacity, s.Report.Queued)
}

// printCost prints the useful and wasted cost by pipeline, stage and account of
// each process that has counted any; only entries do.
func printCost(out io.Writer, processes []entry.ProcessStatus) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, p := range processes {
		if p.Status == nil || len(p.Status.Cost) == 0 {
			continue
		}
		_, _ = fmt.Fprintln(table, "pipeline\tstage\taccount\tuseful\twasted\t")
		for _, c := range p.Status.Cost {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t\n", c.Pipeline, c.Stage, c.Account, duration(c.Useful), duration(c.Wasted))
		}
	}
	return table.Flush()
}
