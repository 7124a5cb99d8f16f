package harness

import (
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
)

// The shape of the stand-ins unless a Config says otherwise: quick, so that
// tests are.
const (
	serviceTime = 3 * time.Millisecond
	tokenTime   = time.Millisecond
	prefillTime = 3 * time.Millisecond
	cacheBlocks = 4096
)

// StandIn is what all stand-ins for endpoints have in common.
type StandIn interface {
	Start(addr string) error
	URL() string
	Close()
	// Apply makes the stand-in fail, or stop failing.
	Apply(fake.Control)
	// Counts returns what it has seen, the ground truth of every test.
	Counts() fake.Counts
}

// Endpoint is the stand-in for one endpoint.
type Endpoint struct {
	StandIn
	Name   string
	Pool   string
	Domain string
}

func (f *Fleet) newStandIn(pool *bundle.Pool, name string, seed uint64) StandIn {
	if pool.Protocol == bundle.ProtocolEngine {
		s := f.cfg.engineSettings(pool, seed)
		if f.cfg.EndpointsApart {
			return f.apart(name, s)
		}
		return fake.NewEngine(s)
	}
	s := f.cfg.serviceSettings(pool, seed)
	if f.cfg.EndpointsApart {
		return f.apart(name, s)
	}
	return fake.NewService(s)
}

func (c *Config) engineSettings(pool *bundle.Pool, seed uint64) fake.EngineSettings {
	s := fake.EngineSettings{
		Common: fake.Common{Seed: seed}, Batch: pool.Concurrency, TokenTime: tokenTime, Prefill: prefillTime,
		CacheBlocks: cacheBlocks, Models: pool.Models,
	}
	if c.Engine != nil {
		c.Engine(pool, &s)
	}
	return s
}

func (c *Config) serviceSettings(pool *bundle.Pool, seed uint64) fake.ServiceSettings {
	s := fake.ServiceSettings{Common: fake.Common{Seed: seed}, Time: serviceTime, Concurrency: pool.Concurrency}
	if c.Service != nil {
		c.Service(pool, &s)
	}
	return s
}
