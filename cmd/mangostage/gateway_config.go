package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/configcheck"
	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/platform"
)

// gatewayConfig holds the subcommands of gateway config.
type gatewayConfig struct {
	Check *configCheck `arg:"subcommand:check" help:"report errors, unreachable entries, contradictions, and what differs from the version in force"`
}

// configCheck is the command that reports all findings of a configuration.
type configCheck struct {
	outputArguments
	File    string `arg:"positional,required" help:"configuration in the store's JSON form"`
	Against string `arg:"--against" placeholder:"FILE" help:"configuration in force, to compare with"`
}

// configReport is the JSON output of gateway config check.
type configReport struct {
	File     string                `json:"file"`
	Version  uint64                `json:"version,omitempty"`
	Findings []configFindingReport `json:"findings"`
	Changes  []configChangeReport  `json:"changes,omitempty"`
}

// configFindingReport is one finding in JSON output.
type configFindingReport struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// configChangeReport is one difference in JSON output.
type configChangeReport struct {
	Place string `json:"place"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

func (c *configCheck) run(_ context.Context, out, _ io.Writer) error {
	var findings finding.List
	config, err := readConfig(c.File, &findings)
	if err != nil {
		return err
	}
	report := configReport{File: c.File}
	if config != nil {
		report.Version = config.Version
		c.addFindings(&findings, configcheck.Check(config))
	}
	if config != nil && c.Against != "" {
		if report.Changes, err = c.compare(config, &findings); err != nil {
			return err
		}
	}
	if c.Output == outputJSON {
		report.Findings = configFindings(findings)
		return errors.Join(findings.Err(), writeJSON(out, report))
	}
	for _, change := range report.Changes {
		if _, err := fmt.Fprintf(out, "%s: %s -> %s\n", change.Place, orNone(change.From), orNone(change.To)); err != nil {
			return err
		}
	}
	if err := findings.Err(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: version %d has no findings\n", c.File, config.Version)
	return err
}

// readConfig reads a configuration; it is nil if the findings say why. The error says
// that the file cannot be read.
func readConfig(file string, findings *finding.List) (*catalog.Config, error) {
	value, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return platform.ReadConfig(file, value, findings), nil
}

// compare reads the configuration in force and returns what differs from it.
func (c *configCheck) compare(next *catalog.Config, findings *finding.List) ([]configChangeReport, error) {
	inForce, err := readConfig(c.Against, findings)
	if err != nil || inForce == nil {
		return nil, err
	}
	c.addFindings(findings, configcheck.CheckVersion(inForce, next))
	c.addFindings(findings, configcheck.CheckAccess(inForce, next))
	var changes []configChangeReport
	for _, change := range configcheck.Diff(inForce, next) {
		changes = append(changes, configChangeReport{Place: change.Place.Text(platform.ConfigNames), From: change.From, To: change.To})
	}
	return changes, nil
}

// addFindings adds findings with the names of the file.
func (c *configCheck) addFindings(findings *finding.List, found []configcheck.Finding) {
	for _, f := range found {
		findings.Add(finding.Place{Name: c.File + ": " + f.Place.Text(platform.ConfigNames)}, "%s: %s", f.Kind, f.Message)
	}
}

// configFindings converts findings for JSON output; the result is never nil.
func configFindings(findings finding.List) []configFindingReport {
	reports := make([]configFindingReport, 0, len(findings))
	for _, f := range findings {
		reports = append(reports, configFindingReport{Place: f.Place.String(), Message: f.Message})
	}
	return reports
}

// orNone returns a value, or "none" if it is empty.
func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
