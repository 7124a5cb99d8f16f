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
	"time"

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
			e.Endpoint, e.InFlight, duration(e.Latency), condition{paused: e.Paused, failureRate: e.FailureRate})
	}
	for _, domain := range slices.Sorted(maps.Keys(v.Evacuated)) {
		_, _ = fmt.Fprintf(table, "  evacuated\t%s\tsince revision %d\n", domain, v.Evacuated[domain])
	}
	for _, name := range slices.Sorted(maps.Keys(v.Answers)) {
		_, _ = fmt.Fprintf(table, "  answers\t%s\t%d\n", name, v.Answers[name])
	}
	return table.Flush()
}

func printQueues(w io.Writer, q *dispatch.Stats) {
	_, _ = fmt.Fprintf(w, "  queue\t%d jobs\t%d calls\tevents handled %s late\thears %.0f%% of the fleet\n",
		q.Jobs, q.Calls, duration(q.Lag), 100*q.Share)
	for _, p := range q.Pools {
		_, _ = fmt.Fprintf(w, "  stage\t%s\t%d pieces wait\t%d of %d busy\t%.0f%% of the room booked\n",
			p.Service, p.Waiting, p.Busy, p.Workers, 100*p.RoomUsed)
	}
	for _, s := range q.Workers {
		_, _ = fmt.Fprintf(w, "  worker\t%s\t%d calls\t%.1f times nominal\t%s\n",
			s.Endpoint, s.Calls, s.Speed, condition{paused: s.Paused, suspect: s.Suspect, leaving: s.Leaving, evacuated: s.Evacuated, cold: s.ColdLeft, speed: s.Speed})
	}
	for _, e := range q.Engines {
		_, _ = fmt.Fprintf(w, "  engine\t%s\t%d running\t%d tokens to read\t%s\n",
			e.Endpoint, e.Running, e.Prefill, condition{paused: e.Paused, unreached: e.Unreached, leaving: e.Leaving, evacuated: e.Evacuated, cold: e.ColdLeft, failureRate: e.FailureRate, speed: e.Slowness})
	}
}

// condition is what is believed of an endpoint.
type condition struct {
	paused, leaving, evacuated bool
	// suspect endpoints get one piece a call, unreached ones are in a failure domain
	// that the queue's owner does not reach.
	suspect, unreached bool
	cold               time.Duration
	failureRate, speed float64
}

// String says why the endpoint gets less, or that it is well.
func (c condition) String() string {
	var words []string
	if c.leaving {
		words = append(words, "leaving")
	}
	if c.evacuated {
		words = append(words, "evacuated")
	}
	if c.cold > 0 {
		words = append(words, "cold for "+duration(c.cold))
	}
	if c.paused {
		words = append(words, "paused after a failure or refusal")
	}
	if c.suspect {
		words = append(words, "a piece a call, until one is back in time")
	}
	if c.unreached {
		words = append(words, "not reached")
	}
	if c.failureRate >= failing {
		words = append(words, fmt.Sprintf("fails %.0f%%", 100*c.failureRate))
	}
	if c.speed >= slowSpeed {
		words = append(words, "slow")
	}
	if len(words) == 0 {
		return "well"
	}
	return strings.Join(words, ", ")
}
