package main

import (
	"crypto/ed25519"
	"errors"
	"os"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/finding"
)

// bundleArguments holds the subcommands of bundle.
type bundleArguments struct {
	Check  *bundleCheck  `arg:"subcommand:check" help:"report everything that is wrong with a YAML bundle"`
	Keygen *bundleKeygen `arg:"subcommand:keygen" help:"make a key pair for signing"`
	Sign   *bundleSign   `arg:"subcommand:sign" help:"check and sign a YAML bundle for publication"`
	Verify *bundleVerify `arg:"subcommand:verify" help:"prove the signature and content of a published bundle"`
	Diff   *bundleDiff   `arg:"subcommand:diff" help:"list what changes from one YAML bundle to another"`
	Schema *bundleSchema `arg:"subcommand:schema" help:"print the JSON Schema of a bundle, for editors"`
}

// readBundle reads and checks a YAML bundle and also returns the file's content.
// The error is a finding.List if the bundle has findings, else that of reading
// the file.
func readBundle(file string) (*bundle.Bundle, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	b, err := bundle.Check(file, data)
	return b, data, err
}

// readPrivateKey reads a private key from a PEM file.
func readPrivateKey(file string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	key, err := bundle.LoadPrivateKey(data)
	if err != nil {
		return nil, errorx.Decorate(err, "%s", file)
	}
	return key, nil
}

// readPublicKeys reads all public keys of several PEM files.
func readPublicKeys(files []string) ([]ed25519.PublicKey, error) {
	var keys []ed25519.PublicKey
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		fileKeys, err := bundle.LoadPublicKeys(data)
		if err != nil {
			return nil, errorx.Decorate(err, "%s", file)
		}
		keys = append(keys, fileKeys...)
	}
	return keys, nil
}

// readPair reads two bundles. If any of them has findings, the error is a
// finding.List with those of both.
func readPair(first, second string) (*bundle.Bundle, *bundle.Bundle, error) {
	var findings finding.List
	a, _, err := readBundle(first)
	if err != nil && !errors.As(err, &findings) {
		return nil, nil, err
	}
	b, _, err := readBundle(second)
	var secondFindings finding.List
	if err != nil && !errors.As(err, &secondFindings) {
		return nil, nil, err
	}
	return a, b, append(findings, secondFindings...).Err()
}
