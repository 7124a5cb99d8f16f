package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/reqlog"
)

// gatewayArguments holds the subcommands of gateway.
type gatewayArguments struct {
	Check   *gatewayCheck   `arg:"subcommand:check" help:"report everything that is wrong with a settings file of the platform"`
	Config  *gatewayConfig  `arg:"subcommand:config" help:"check configurations before they are sent"`
	Dev     *gatewayDev     `arg:"subcommand:dev" help:"run gateways with stand-ins of the platform in this process"`
	Explain *gatewayExplain `arg:"subcommand:explain" help:"tell from gateways' logs what became of one request"`
	Load    *gatewayLoad    `arg:"subcommand:load" help:"drive gateways beside stand-ins with load and faults, and sum up"`
	Status  *gatewayStatus  `arg:"subcommand:status" help:"show queues, endpoints and answers of gateways by their metrics"`
}

// gatewayCheck is the command that reports all findings of a settings file.
type gatewayCheck struct {
	File string `arg:"positional,required" help:"settings file of the platform"`
}

func (c *gatewayCheck) run(_ context.Context, out, _ io.Writer) error {
	var findings finding.List
	s := platform.LoadSettings(c.File, &findings)
	if err := findings.Err(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s: %s in %s, clients at %s, peers at %s, store at %s: no findings\n",
		c.File, s.Name, s.Domain, s.Frontend, s.Peer, s.Store)
	return err
}

// gatewayExplain is the command that shows the history and outcome of one request
// from the logs of the gateways.
type gatewayExplain struct {
	outputArguments
	Request string   `arg:"positional,required" help:"request ID"`
	Logs    []string `arg:"positional" placeholder:"LOG" help:"log files of all gateways; standard input without any"`
}

func (c *gatewayExplain) run(_ context.Context, out, errOut io.Writer) error {
	collector := reqlog.NewCollector(c.Request)
	if len(c.Logs) == 0 {
		if err := collector.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Logs {
		if err := readLog(collector, name); err != nil {
			return err
		}
	}
	story := collector.History()
	if story.Skipped > 0 {
		_, _ = fmt.Fprintf(errOut, "warning: %d lines are no JSON\n", story.Skipped)
	}
	if c.Output == outputJSON {
		return writeJSON(out, story)
	}
	return printRequest(out, story)
}

func readLog(collector *reqlog.Collector, name string) (err error) {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return collector.Read(file)
}

func printRequest(out io.Writer, story reqlog.History) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "request %s\n", story.Request)
	for i := range story.Lines {
		l := &story.Lines[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", l.Time.Format(clockFormat), l.Process, l.Event, lineDetail(l))
	}
	verdict := string(story.Outcome)
	if story.Reason != "" {
		verdict += " (" + story.Reason + ")"
	}
	_, _ = fmt.Fprintf(table, "%s\n", verdict)
	return table.Flush()
}

// lineDetail returns the fields of a log line that have no column of their own
// and are set, as name=value.
func lineDetail(l *reqlog.Line) string {
	var parts []string
	text := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	millis := func(name string, ms float64) {
		if ms != 0 {
			parts = append(parts, fmt.Sprintf("%s=%.0fms", name, ms))
		}
	}
	number := func(name string, n int) {
		if n != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, n))
		}
	}
	text("route", l.Route)
	text("account", l.Account)
	text("service", l.Service)
	text("endpoint", l.Endpoint)
	text("owner", l.Owner)
	number("status", l.Status)
	text("reason", l.Reason)
	text("fault", l.Fault)
	number("pieces", l.Pieces)
	number("failed", l.Failed)
	text("queue", l.ShortService)
	text("short", l.ShortResource)
	millis("behind", l.LateBy)
	millis("waited", l.Waited)
	if l.Slack != nil {
		millis("slack", *l.Slack)
	}
	millis("took", l.Elapsed)
	millis("retry_after", l.RetryAfter)
	if l.ClientLeft {
		parts = append(parts, "client_left")
	}
	if l.Expired {
		parts = append(parts, "expired")
	}
	text("error", l.Error)
	return strings.Join(parts, " ")
}
