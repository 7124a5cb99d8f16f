package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// outputFormat selects how results are written.
type outputFormat string

// The output formats.
const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// UnmarshalText implements encoding.TextUnmarshaler; it rejects unknown formats.
func (f *outputFormat) UnmarshalText(text []byte) error {
	switch v := outputFormat(text); v {
	case outputText, outputJSON:
		*f = v
		return nil
	}
	return fmt.Errorf("unknown output format %q; known: %s, %s", text, outputText, outputJSON)
}

// outputArguments are the common arguments of the commands that can write JSON.
type outputArguments struct {
	Output outputFormat `arg:"--output" default:"text" help:"text or json"`
}

// writeJSON writes v indented, with a final newline.
func writeJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
