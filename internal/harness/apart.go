package harness

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/mangostage/mangostage/fake"
)

const (
	// apartName is that of the process with the stand-ins.
	apartName    = "endpoints"
	apartTimeout = 20 * time.Second
	poolFileMode = 0o600
)

// poolFile is the description that mangostage-fake reads.
type poolFile struct {
	Engines  []poolEngine  `yaml:"engines,omitempty"`
	Services []poolService `yaml:"services,omitempty"`
}

type poolMember struct {
	Name   string `yaml:"name"`
	Listen string `yaml:"listen"`
}

type poolEngine struct {
	Member   poolMember          `yaml:",inline"`
	Settings fake.EngineSettings `yaml:"settings"`
}

type poolService struct {
	Member   poolMember           `yaml:",inline"`
	Settings fake.ServiceSettings `yaml:"settings"`
}

// remote is a stand-in in another process.
type remote struct {
	t testing.TB
	fake.Remote
}

// Start does nothing: the process with the stand-in is started once for all.
func (r *remote) Start(string) error { return nil }

// URL returns the stand-in's base URL.
func (r *remote) URL() string { return r.Remote.URL }

// Close does nothing: the process ends with the fleet.
func (r *remote) Close() {}

// Apply makes the stand-in fail, or stop failing.
func (r *remote) Apply(c fake.Control) {
	r.t.Helper()
	if err := r.Remote.Apply(context.Background(), c); err != nil {
		r.t.Errorf("control %s: %v", r.Remote.URL, err)
	}
}

// Counts returns what the stand-in has seen.
func (r *remote) Counts() fake.Counts {
	r.t.Helper()
	counts, err := r.Remote.Counts(context.Background())
	if err != nil {
		r.t.Fatalf("counts of %s: %v", r.Remote.URL, err)
	}
	return counts
}

// apart takes a stand-in into the description of the process with all of them.
func (f *Fleet) apart(name string, settings any) StandIn {
	member := poolMember{Name: name, Listen: f.port()}
	switch s := settings.(type) {
	case fake.EngineSettings:
		f.poolFile.Engines = append(f.poolFile.Engines, poolEngine{Member: member, Settings: s})
	case fake.ServiceSettings:
		f.poolFile.Services = append(f.poolFile.Services, poolService{Member: member, Settings: s})
	}
	return &remote{t: f.t, Remote: fake.Remote{URL: "http://" + member.Listen}}
}

// startApart starts the process with the stand-ins and waits until they listen.
func (f *Fleet) startApart() {
	text, err := yaml.Marshal(f.poolFile)
	f.must(err)
	path := filepath.Join(f.t.TempDir(), "pool.yaml")
	f.must(os.WriteFile(path, text, poolFileMode))
	f.apartProcess = &Process{Name: apartName, t: f.t, binary: Binary(f.t, binaryFake, f.cfg.Plain), args: []string{"pool", path}}
	f.must(f.apartProcess.start())
	Wait(f.t, apartTimeout, func() error {
		for _, e := range f.endpoints {
			if _, err := (fake.Remote{URL: e.URL()}).Counts(f.t.Context()); err != nil {
				return err
			}
		}
		return nil
	})
}

// EndpointsProcess returns the process with the stand-ins; nil unless the
// fleet runs with EndpointsApart.
func (f *Fleet) EndpointsProcess() *Process { return f.apartProcess }
