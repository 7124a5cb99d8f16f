package harness

import (
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
)

// Default settings of the stand-ins, which Config.Engine and Config.Service can
// change. The times are short to keep tests fast.
const (
	serviceTime = 3 * time.Millisecond
	tokenTime   = time.Millisecond
	prefillTime = 3 * time.Millisecond
	cacheBlocks = 4096
)

// StandIn is the interface of all endpoint stand-ins.
type StandIn interface {
	Start(addr string) error
	URL() string
	Close()
	// Apply changes the faults of the stand-in.
	Apply(fake.Control)
	// Counts returns what the stand-in has received and run. Tests compare the
	// fleet's answers and reports with it.
	Counts() fake.Counts
}

// Endpoint is the stand-in for one endpoint.
type Endpoint struct {
	StandIn
	Name   string
	Pool   string
	Domain string
}

// newStandIn creates the stand-in for an endpoint, in the process that
// Config.SeparateEndpoints selects.
func (f *Fleet) newStandIn(pool *bundle.Pool, name string, seed uint64) StandIn {
	if pool.Protocol == bundle.ProtocolEngine {
		s := f.cfg.engineSettings(pool, seed)
		if f.cfg.SeparateEndpoints {
			return f.addRemoteStandIn(name, s)
		}
		return fake.NewEngine(s)
	}
	s := f.cfg.serviceSettings(pool, seed)
	if f.cfg.SeparateEndpoints {
		return f.addRemoteStandIn(name, s)
	}
	return fake.NewService(s)
}

func (c *Config) engineSettings(pool *bundle.Pool, seed uint64) fake.EngineSettings {
	s := fake.EngineSettings{
		EndpointSettings: fake.EndpointSettings{Seed: seed}, Batch: pool.Concurrency, TokenTime: tokenTime, Prefill: prefillTime,
		CacheBlocks: cacheBlocks, Models: pool.Models,
	}
	if c.Engine != nil {
		c.Engine(pool, &s)
	}
	return s
}

func (c *Config) serviceSettings(pool *bundle.Pool, seed uint64) fake.ServiceSettings {
	s := fake.ServiceSettings{EndpointSettings: fake.EndpointSettings{Seed: seed}, Time: serviceTime, Concurrency: pool.Concurrency}
	if c.Service != nil {
		c.Service(pool, &s)
	}
	return s
}
