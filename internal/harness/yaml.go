package harness

import (
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/mangostage/mangostage/bundle"
)

// YAML returns the fleet's bundle as an operator would write it, with a higher
// version and changed by edit, which may be nil.
func (f *Fleet) YAML(edit func(*bundle.Bundle)) []byte {
	f.t.Helper()
	b := f.decode(f.yaml)
	b.Version++
	if edit != nil {
		edit(b)
	}
	text, err := yaml.Marshal(b)
	f.must(err)
	return text
}

func (f *Fleet) decode(text []byte) *bundle.Bundle {
	f.t.Helper()
	b, err := bundle.Check(f.cfg.Deployment, text)
	f.must(err)
	return b
}

// planBundle decodes the bundle to start with and fits it to the endpoints that are
// to be started.
func (f *Fleet) planBundle() {
	b := f.decode(f.cfg.Bundle)
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
	f.Bundle = f.decode(text)
}
