package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/finding"
)

// bundleVerify is the command that verifies the signature and content of a
// published bundle.
type bundleVerify struct {
	Key  []string `arg:"--key,required,separate" placeholder:"PEM" help:"accepted public key; may be repeated"`
	File string   `arg:"positional,required" help:"signed bundle"`
	outputArguments
}

// verifyReport is the JSON output of bundle verify.
type verifyReport struct {
	File     string          `json:"file"`
	Verified bool            `json:"verified"`
	Version  uint64          `json:"version,omitempty"`
	Hash     string          `json:"hash,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Findings []findingReport `json:"findings,omitempty"`
}

func (c *bundleVerify) run(_ context.Context, out, _ io.Writer) error {
	keys, err := readPublicKeys(c.Key)
	if err != nil {
		return err
	}
	signed, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	v, err := bundle.Verify(keys, signed)
	if writeErr := c.write(out, v, err); writeErr != nil {
		return writeErr
	}
	if err != nil {
		return refusal{err}
	}
	return nil
}

// write writes the result of the verification, which is v or failed with err.
func (c *bundleVerify) write(out io.Writer, v *bundle.Verified, err error) error {
	if c.Output == outputJSON {
		return writeJSON(out, c.report(v, err))
	}
	if err != nil {
		return nil
	}
	_, writeErr := fmt.Fprintf(out, "%s: version %d, sha256 %s\n", c.File, v.Head.Version, v.Head.Hash)
	return writeErr
}

func (c *bundleVerify) report(v *bundle.Verified, err error) verifyReport {
	report := verifyReport{File: c.File, Verified: err == nil}
	if v != nil {
		report.Version = v.Head.Version
		report.Hash = v.Head.Hash
	}
	if err != nil {
		report.Reason = err.Error()
	}
	var findings finding.List
	if errors.As(err, &findings) {
		report.Findings = findingReports(findings)
	}
	return report
}
