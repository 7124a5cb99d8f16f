package main

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"os"

	"github.com/mangostage/mangostage/bundle"
)

// bundleSign is the command that signs a YAML bundle if it has no findings.
type bundleSign struct {
	Key  string `arg:"--key,required" placeholder:"PEM" help:"private key"`
	File string `arg:"positional,required" help:"YAML bundle"`
	Out  string `arg:"-o,--out" placeholder:"FILE" help:"where to write the signed bundle [default: standard output]"`
	outputArguments
}

// signReport is the JSON output of bundle sign. It is written only if the signed
// bundle goes to a file.
type signReport struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
	Key     string `json:"key"`
}

func (c *bundleSign) run(_ context.Context, out, _ io.Writer) error {
	key, err := readPrivateKey(c.Key)
	if err != nil {
		return err
	}
	b, data, err := readBundle(c.File)
	if err != nil {
		return err
	}
	signed, err := bundle.Sign(key, data)
	if err != nil {
		return err
	}
	if c.Out == "" {
		_, err = out.Write(signed)
		return err
	}
	if err := os.WriteFile(c.Out, signed, publicMode); err != nil {
		return err
	}
	report := signReport{File: c.Out, Version: b.Version, Key: bundle.KeyID(key.Public().(ed25519.PublicKey))}
	if c.Output == outputJSON {
		return writeJSON(out, report)
	}
	_, err = fmt.Fprintf(out, "%s: version %d, signed with key %s\n", report.File, report.Version, report.Key)
	return err
}
