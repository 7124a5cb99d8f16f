package harness

import (
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/mangostage/mangostage/bundle"
)

// YAML returns the fleet's initial bundle in YAML with its version incremented,
// and changed by edit unless that is nil.
func (f *Fleet) YAML(edit func(*bundle.Bundle)) []byte {
	f.t.Helper()
	b := f.decodeBundle(f.yaml)
	b.Version++
	if edit != nil {
		edit(b)
	}
	text, err := yaml.Marshal(b)
	f.must(err)
	return text
}

func (f *Fleet) decodeBundle(text []byte) *bundle.Bundle {
	f.t.Helper()
	b, err := bundle.Check(f.cfg.Deployment, text)
	f.must(err)
	return b
}

// prepareBundle sets the initial bundle: that of Config with the pools reduced to
// the endpoints to start, and changed by Config.Edit.
func (f *Fleet) prepareBundle() {
	b := f.decodeBundle(f.cfg.Bundle)
	for i := range b.Pools {
		pool := &b.Pools[i]
		n := f.cfg.endpoints(pool)
		if n == 0 || n == pool.Endpoints {
			continue
		}
		pool.Endpoints = n
		pool.Slots = slices.DeleteFunc(pool.Slots, func(slot string) bool {
			return !slices.Contains(endpointNames(pool), slot)
		})
	}
	if f.cfg.Edit != nil {
		f.cfg.Edit(b)
	}
	text, err := yaml.Marshal(b)
	f.must(err)
	f.yaml = text
	f.Bundle = f.decodeBundle(text)
}
