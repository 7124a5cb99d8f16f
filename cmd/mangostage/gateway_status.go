package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/internal/metrics"
)

const (
	// failing is the failure rate from which an endpoint is called so.
	failing = 0.2
	// slowSpeed is the factor of the nominal time from which one is called slow.
	slowSpeed = 2.0
)

// gatewayStatus shows gateways by their metrics.
type gatewayStatus struct {
	outputArguments
	Gateways []string `arg:"positional,required" placeholder:"HOST:PORT" help:"metrics addresses of gateways"`
}

// gatewayView is what one gateway says of itself.
type gatewayView struct {
	Address string `json:"gateway"`
	Error   string `json:"error,omitempty"`
	metrics.Gateway
}

func (c *gatewayStatus) run(ctx context.Context, out, _ io.Writer) error {
	views := make([]gatewayView, len(c.Gateways))
	var failed []error
	for i, addr := range c.Gateways {
		views[i].Address = addr
		if err := metrics.Read(ctx, addr, &views[i].Gateway); err != nil {
			views[i].Error = err.Error()
			failed = append(failed, err)
		}
	}
	if len(failed) == len(c.Gateways) {
		return errors.Join(failed...)
	}
	if c.Output == outputJSON {
		return writeJSON(out, views)
	}
	for i := range views {
		if err := printGateway(out, &views[i]); err != nil {
			return err
		}
	}
	return nil
}

func printGateway(out io.Writer, v *gatewayView) error {
	if v.Error != "" {
		_, err := fmt.Fprintf(out, "%s: no answer: %s\n", v.Address, v.Error)
		return err
	}
	owner := v.Ownership.Owner
	if v.Ownership.Self {
		owner = "this process"
	}
	_, _ = fmt.Fprintf(out, "%s: %d gateways live, queue owned by %s (term %d), store at %d, healthy %t, log lines dropped %d\n",
		v.Address, v.FleetSize, owner, v.Ownership.Term, v.StoreAt, v.StoreHealthy, v.LinesDropped)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if v.Ownership.Self {
		printQueues(table, &v.Queues)
	}
	for _, e := range v.Endpoints {
		_, _ = fmt.Fprintf(table, "  endpoint\t%s\t%d in flight\t%s\t%s\n",
			e.Endpoint, e.InFlight, duration(e.Latency), condition(e.Paused, false, e.FailureRate, 0))
	}
	for _, name := range slices.Sorted(maps.Keys(v.Answers)) {
		_, _ = fmt.Fprintf(table, "  answers\t%s\t%d\n", name, v.Answers[name])
	}
	return table.Flush()
}

func printQueues(w io.Writer, q *dispatch.Stats) {
	_, _ = fmt.Fprintf(w, "  queue\t%d jobs\t%d calls\n", q.Jobs, q.Calls)
	for _, p := range q.Pools {
		_, _ = fmt.Fprintf(w, "  stage\t%s\t%d pieces wait\t%d of %d busy\t%.0f%% of the room booked\n",
			p.Service, p.Waiting, p.Busy, p.Workers, 100*p.RoomUsed)
	}
	for _, s := range q.Workers {
		_, _ = fmt.Fprintf(w, "  worker\t%s\t%d calls\t%.1f times nominal\t%s\n",
			s.Endpoint, s.Calls, s.Speed, condition(s.Paused, s.Leaving, 0, s.Speed))
	}
	for _, e := range q.Engines {
		_, _ = fmt.Fprintf(w, "  engine\t%s\t%d running\t%d tokens to read\t%s\n",
			e.Endpoint, e.Running, e.Prefill, condition(e.Paused, e.Leaving, e.FailureRate, 0))
	}
}

// condition says why an endpoint gets less, or that it is well.
func condition(paused, leaving bool, failureRate, speed float64) string {
	var words []string
	if leaving {
		words = append(words, "leaving")
	}
	if paused {
		words = append(words, "paused after a failure or refusal")
	}
	if failureRate >= failing {
		words = append(words, fmt.Sprintf("fails %.0f%%", 100*failureRate))
	}
	if speed >= slowSpeed {
		words = append(words, "slow")
	}
	if len(words) == 0 {
		return "well"
	}
	return strings.Join(words, ", ")
}
