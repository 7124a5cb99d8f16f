package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/mangostage/mangostage/finding"
)

// bundleCheck is the command that reports all findings of a YAML bundle.
type bundleCheck struct {
	File string `arg:"positional,required" help:"YAML bundle"`
	outputArguments
}

// checkReport is the JSON output of bundle check.
type checkReport struct {
	File     string          `json:"file"`
	Version  uint64          `json:"version,omitempty"`
	Findings []findingReport `json:"findings"`
}

// findingReport is one finding in JSON output.
type findingReport struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

func (c *bundleCheck) run(_ context.Context, out, _ io.Writer) error {
	b, _, err := readBundle(c.File)
	var findings finding.List
	if err != nil && !errors.As(err, &findings) {
		return err
	}
	if c.Output == outputJSON {
		report := checkReport{File: c.File, Findings: findingReports(findings)}
		if b != nil {
			report.Version = b.Version
		}
		return errors.Join(err, writeJSON(out, report))
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: version %d has no findings\n", c.File, b.Version)
	return err
}

// findingReports converts findings for JSON output. It never returns nil, so that
// the output has an array without findings too.
func findingReports(findings finding.List) []findingReport {
	reports := make([]findingReport, 0, len(findings))
	for _, f := range findings {
		reports = append(reports, findingReport{
			File:    f.Place.File,
			Line:    f.Place.Line,
			Column:  f.Place.Column,
			Message: f.Message,
		})
	}
	return reports
}
