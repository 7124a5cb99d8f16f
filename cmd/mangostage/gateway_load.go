package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/load"
)

// gatewayLoad is the command that runs gateways and stand-ins of the platform in
// this process under load, with the faults of a scenario, and prints the results.
type gatewayLoad struct {
	Gateways int     `arg:"--gateways" default:"3" help:"number of gateways"`
	Seconds  int     `arg:"--seconds" default:"20" help:"length of a run"`
	Rate     float64 `arg:"--rate" default:"40" help:"requests a second, before what the scenario makes of it"`
	Scenario string  `arg:"--scenario" default:"calm" help:"calm, burst, slow-endpoint, endpoint-crash, evacuation, request-rate, backoff, departure, store-return, crash-content, crash-part, versions or stops"`
	Seed     uint64  `arg:"--seed" help:"seed of arrivals and of the stand-ins' times; default drawn"`
	Compare  bool    `arg:"--compare" help:"run again without queue, admission and choice of engines, and show both"`
	Plot     string  `arg:"--plot" placeholder:"FILE.png" help:"draw attainment, queue, batch fill and room by the second"`
	LogLevel string  `arg:"--log-level,env:MANGOSTAGE_LOG_LEVEL" default:"disabled" help:"of the gateways, on standard error"`
	outputArguments
}

// gatewayLoadResults is the JSON output; exactly one field is set.
type gatewayLoadResults struct {
	Report     *load.EdgeReport     `json:"report,omitempty"`
	Comparison *load.EdgeComparison `json:"comparison,omitempty"`
}

func (c *gatewayLoad) run(ctx context.Context, out, errOut io.Writer) error {
	cfg, err := c.config(errOut)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := checkPlot(c.Plot); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(errOut, "seed %d\n", c.Seed)
	report, err := runEdgeWithProgress(ctx, cfg, errOut)
	if err != nil {
		return err
	}
	if !c.Compare {
		return c.show(out, report, gatewayLoadResults{Report: report}, report.HasViolations())
	}
	cfg.Naive = true
	baseline, err := runEdgeWithProgress(ctx, cfg, errOut)
	if err != nil {
		return err
	}
	comparison := load.CompareEdge(report, baseline)
	return c.show(out, comparison, gatewayLoadResults{Comparison: comparison}, comparison.HasViolations())
}

func (c *gatewayLoad) config(errOut io.Writer) (load.EdgeConfig, error) {
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return load.EdgeConfig{}, fmt.Errorf("--log-level: %w", err)
	}
	scenario, err := load.FindEdgeScenario(c.Scenario)
	if err != nil {
		return load.EdgeConfig{}, err
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()>>1 + 1
	}
	cfg := load.EdgeConfig{
		Gateways: c.Gateways,
		Duration: time.Duration(c.Seconds) * time.Second,
		Rate:     c.Rate,
		Scenario: scenario,
		Seed:     c.Seed,
		Log:      errOut,
		Level:    level,
	}
	if cfg.Duration > progressAfter && isTerminal(errOut) {
		cfg.Progress = func(p load.Progress) { printProgress(errOut, p) }
	}
	return cfg, cfg.Check()
}

// runEdgeWithProgress runs one configuration and ends the progress line, if
// progress is shown.
func runEdgeWithProgress(ctx context.Context, cfg load.EdgeConfig, errOut io.Writer) (*load.EdgeReport, error) {
	report, err := load.RunEdge(ctx, cfg)
	if cfg.Progress != nil {
		_, _ = fmt.Fprintln(errOut)
	}
	return report, err
}

// show writes the plot, if one is requested, and the results. A failed plot does
// not prevent the results from being written.
func (c *gatewayLoad) show(out io.Writer, result reportable, results gatewayLoadResults, broken bool) error {
	var plotErr, err error
	if c.Plot != "" {
		plotErr = writePlot(c.Plot, result)
	}
	if c.Output == outputJSON {
		err = writeJSON(out, results)
	} else {
		err = result.WriteTable(out)
	}
	if broken {
		err = errors.Join(refusal{errors.New("an answer was incomplete or another request's")}, err)
	}
	return errors.Join(err, plotErr)
}
