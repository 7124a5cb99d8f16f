package main

import (
	"context"
	"io"

	"github.com/mangostage/mangostage/bundle"
)

// bundleSchema is the command that prints the JSON Schema of a bundle.
type bundleSchema struct{}

func (*bundleSchema) run(_ context.Context, out, _ io.Writer) error {
	schema, err := bundle.JSONSchema()
	if err != nil {
		return err
	}
	_, err = out.Write(schema)
	return err
}
