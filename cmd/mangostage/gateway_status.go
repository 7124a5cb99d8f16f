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

	"github.com/mangostage/mangostage/internal/metrics"
	"github.com/mangostage/mangostage/scheduler"
)

const (
	// failingRate is the failure rate from which an endpoint is shown as failing.
	failingRate = 0.2
	// slowRatio is the ratio of measured to nominal time from which an endpoint is
	// shown as slow.
	slowRatio = 2.0
)

// gatewayStatus is the command that shows the state of gateways, read from their
// metrics.
type gatewayStatus struct {
	outputArguments
	Gateways []string `arg:"positional,required" placeholder:"HOST:PORT" help:"metrics addresses of gateways"`
}

// gatewayView is the state of one gateway, or the error of reading it.
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

func printQueues(w io.Writer, q *scheduler.Stats) {
	_, _ = fmt.Fprintf(w, "  queue\t%d jobs\t%d calls\tevents handled %s late\thears %.0f%% of the fleet\n",
		q.Jobs, q.Calls, duration(q.Lag), 100*q.Share)
	for _, p := range q.Pools {
		_, _ = fmt.Fprintf(w, "  stage\t%s\t%d pieces wait\t%d of %d busy\t%.0f%% of the room booked\n",
			p.Service, p.Waiting, p.Busy, p.Workers, 100*p.RoomUsed)
	}
	for _, route := range slices.Sorted(maps.Keys(q.Routes)) {
		r := q.Routes[route]
		_, _ = fmt.Fprintf(w, "  route\t%s\t%d asked, %d of them again\t%d on time, %d late\trefused %v, given up %v, late at %v\n",
			route, r.Asked, r.Returned, r.OnTime, r.Late, r.Refused, r.GivenUp, r.LateAt)
	}
	for _, s := range q.Workers {
		_, _ = fmt.Fprintf(w, "  worker\t%s\t%d calls\t%.1f times nominal\t%s\n",
			s.Endpoint, s.Calls, s.Speed, condition{paused: s.Paused, suspect: s.Suspect, leaving: s.Leaving, evacuated: s.Evacuated, cold: s.ColdLeft, speed: s.Speed})
	}
	for _, e := range q.Engines {
		_, _ = fmt.Fprintf(w, "  engine\t%s\t%d running\t%d tokens to read\treads %.2f, generates %.2f times the mean time\t%s\n",
			e.Endpoint, e.Running, e.Prefill, e.Slowness, e.EventSlowness, condition{paused: e.Paused, unreached: e.Unreached, leaving: e.Leaving, evacuated: e.Evacuated, cold: e.ColdLeft, failureRate: e.FailureRate, speed: e.Slowness})
	}
}

// condition is the state of an endpoint, as a gateway reports it.
type condition struct {
	paused, leaving, evacuated bool
	// suspect means that the endpoint gets only one piece a call; unreached means
	// that it is in a failure domain that the queue's owner does not reach.
	suspect, unreached bool
	// cold is the remaining time in which the endpoint, after a cold start, gets
	// only few calls.
	cold time.Duration
	// failureRate is from 0 to 1; speed is the ratio of measured to nominal time,
	// so that a higher value means a slower endpoint.
	failureRate, speed float64
}

// String lists the reasons for which the endpoint gets less work, or returns
// "well" if there are none.
func (c condition) String() string {
	var reasons []string
	if c.leaving {
		reasons = append(reasons, "leaving")
	}
	if c.evacuated {
		reasons = append(reasons, "evacuated")
	}
	if c.cold > 0 {
		reasons = append(reasons, "cold for "+duration(c.cold))
	}
	if c.paused {
		reasons = append(reasons, "paused after a failure or refusal")
	}
	if c.suspect {
		reasons = append(reasons, "a piece a call, until one is back in time")
	}
	if c.unreached {
		reasons = append(reasons, "not reached")
	}
	if c.failureRate >= failingRate {
		reasons = append(reasons, fmt.Sprintf("fails %.0f%%", 100*c.failureRate))
	}
	if c.speed >= slowRatio {
		reasons = append(reasons, "slow")
	}
	if len(reasons) == 0 {
		return "well"
	}
	return strings.Join(reasons, ", ")
}
