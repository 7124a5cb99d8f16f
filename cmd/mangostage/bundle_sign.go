package main

import (
	"context"
	"io"
	"os"

	"github.com/mangostage/mangostage/bundle"
)

// bundleSign signs a YAML bundle that has no findings.
type bundleSign struct {
	Key  string `arg:"--key,required" placeholder:"PEM" help:"private key"`
	File string `arg:"positional,required" help:"YAML bundle"`
	Out  string `arg:"-o,--out" placeholder:"FILE" help:"where to write the signed bundle [default: standard output]"`
}

func (c *bundleSign) run(_ context.Context, out, _ io.Writer) error {
	key, err := readPrivateKey(c.Key)
	if err != nil {
		return err
	}
	_, data, err := readBundle(c.File)
	if err != nil {
		return err
	}
	signed, err := bundle.Sign(key, data)
	if err != nil {
		return err
	}
	if c.Out != "" {
		return os.WriteFile(c.Out, signed, publicMode)
	}
	_, err = out.Write(signed)
	return err
}
