package main

import (
	"context"
	"fmt"
	"io"

	"github.com/mangostage/mangostage/bundle"
)

// bundleDiff is the command that lists the changes between two YAML bundles.
type bundleDiff struct {
	From string `arg:"positional,required" placeholder:"A" help:"YAML bundle to start from"`
	To   string `arg:"positional,required" placeholder:"B" help:"YAML bundle to arrive at"`
	outputArguments
}

// diffReport is the JSON output of bundle diff.
type diffReport struct {
	From    string          `json:"from"`
	To      string          `json:"to"`
	Changes []bundle.Change `json:"changes"`
}

func (c *bundleDiff) run(_ context.Context, out, _ io.Writer) error {
	from, to, err := readPair(c.From, c.To)
	if err != nil {
		return err
	}
	changes := bundle.Diff(from, to)
	if c.Output == outputJSON {
		return writeJSON(out, diffReport{From: c.From, To: c.To, Changes: append([]bundle.Change{}, changes...)})
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(out, change); err != nil {
			return err
		}
	}
	return nil
}
