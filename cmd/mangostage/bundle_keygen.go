package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/mangostage/mangostage/bundle"
)

// The names of the files that bundle keygen writes.
const (
	privateKeyFile = "bundle-private.pem"
	publicKeyFile  = "bundle-public.pem"
)

// File modes. Only the owner can read the private key and its directory.
const (
	privateMode = 0o600
	publicMode  = 0o644
	keyDirMode  = 0o700
)

// bundleKeygen is the command that generates a key pair for signing bundles.
type bundleKeygen struct {
	Out string `arg:"--out,required" placeholder:"DIR" help:"directory for the two PEM files; existing keys are not overwritten"`
	outputArguments
}

// keyReport is the JSON output of bundle keygen.
type keyReport struct {
	Key     string `json:"key"`
	Private string `json:"private"`
	Public  string `json:"public"`
}

func (c *bundleKeygen) run(_ context.Context, out, _ io.Writer) error {
	pub, priv, err := bundle.GenerateKey()
	if err != nil {
		return err
	}
	privatePEM, err := bundle.MarshalPrivateKey(priv)
	if err != nil {
		return err
	}
	publicPEM, err := bundle.MarshalPublicKey(pub)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, keyDirMode); err != nil {
		return err
	}
	privatePath := filepath.Join(c.Out, privateKeyFile)
	publicPath := filepath.Join(c.Out, publicKeyFile)
	if err := writeNew(privatePath, privatePEM, privateMode); err != nil {
		return err
	}
	if err := writeNew(publicPath, publicPEM, publicMode); err != nil {
		// A private key without its public key is useless.
		return errors.Join(err, os.Remove(privatePath))
	}
	report := keyReport{Key: bundle.KeyID(pub), Private: privatePath, Public: publicPath}
	if c.Output == outputJSON {
		return writeJSON(out, report)
	}
	_, err = fmt.Fprintf(out, "key %s: %s, %s\n", report.Key, report.Private, report.Public)
	return err
}

// writeNew creates a file with data; it fails if the file exists.
func writeNew(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
