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
	// endpointsProcessName is the name of the process with all endpoint stand-ins.
	endpointsProcessName  = "endpoints"
	endpointsStartTimeout = 20 * time.Second
	poolFileMode          = 0o600
)

// poolFile is the configuration file of mangostage-fake: the stand-ins to run in
// one process.
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

// remoteStandIn controls a stand-in that runs in another process.
type remoteStandIn struct {
	t testing.TB
	fake.Remote
}

// Start does nothing: one process, which the fleet starts, runs all stand-ins.
func (r *remoteStandIn) Start(string) error { return nil }

// URL returns the stand-in's base URL.
func (r *remoteStandIn) URL() string { return r.Remote.URL }

// Close does nothing: the fleet ends the process.
func (r *remoteStandIn) Close() {}

// Apply changes the faults of the stand-in.
func (r *remoteStandIn) Apply(c fake.Control) {
	r.t.Helper()
	if err := r.Remote.Apply(context.Background(), c); err != nil {
		r.t.Errorf("control %s: %v", r.Remote.URL, err)
	}
}

// Counts returns what the stand-in has received and run.
func (r *remoteStandIn) Counts() fake.Counts {
	r.t.Helper()
	counts, err := r.Remote.Counts(context.Background())
	if err != nil {
		r.t.Fatalf("counts of %s: %v", r.Remote.URL, err)
	}
	return counts
}

// addRemoteStandIn adds a stand-in to the configuration of the process that runs
// all of them.
func (f *Fleet) addRemoteStandIn(name string, settings any) StandIn {
	member := poolMember{Name: name, Listen: f.newPort()}
	switch s := settings.(type) {
	case fake.EngineSettings:
		f.poolFile.Engines = append(f.poolFile.Engines, poolEngine{Member: member, Settings: s})
	case fake.ServiceSettings:
		f.poolFile.Services = append(f.poolFile.Services, poolService{Member: member, Settings: s})
	}
	return &remoteStandIn{t: f.t, Remote: fake.Remote{URL: "http://" + member.Listen}}
}

// startEndpointsProcess starts the process with the stand-ins and waits until
// all of them answer.
func (f *Fleet) startEndpointsProcess() {
	content, err := yaml.Marshal(f.poolFile)
	f.must(err)
	path := filepath.Join(f.t.TempDir(), "pool.yaml")
	f.must(os.WriteFile(path, content, poolFileMode))
	f.endpointsProcess = &Process{Name: endpointsProcessName, t: f.t, binary: Binary(f.t, binaryFake, f.cfg.NoRace), args: []string{"pool", path}}
	f.must(f.endpointsProcess.start())
	Wait(f.t, endpointsStartTimeout, func() error {
		for _, e := range f.endpoints {
			if _, err := (fake.Remote{URL: e.URL()}).Counts(f.t.Context()); err != nil {
				return err
			}
		}
		return nil
	})
}

// EndpointsProcess returns the process with the stand-ins, or nil unless
// Config.SeparateEndpoints is set.
func (f *Fleet) EndpointsProcess() *Process { return f.endpointsProcess }
