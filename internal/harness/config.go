package harness

import (
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/fake"
)

const (
	loopback       = "127.0.0.1"
	defaultEntries = 2
	// defaultDrainWait is short, for there is no balancer.
	defaultDrainWait = 200 * time.Millisecond
	readyTimeout     = 60 * time.Second
)

// Config says what to start. The zero value is the whole of the first example
// deployment with two entries and no proxies.
type Config struct {
	// Deployment is an example's name; it gives the failure domains.
	Deployment string
	// Bundle is the YAML to start with; nil means the example's. Credentials
	// have to follow examples.CredentialPrefix.
	Bundle []byte
	// Edit, if set, changes the bundle before it is signed.
	Edit func(*bundle.Bundle)
	// Pools are those that have endpoints, and how many; nil means all of the
	// bundle. The bundle is changed to expect as many. Fewer make a quicker test.
	Pools map[string]int
	// Entries is the number of entries; zero means two.
	Entries int
	// ProxyPeers puts a proxy between each two processes, for Link.
	ProxyPeers bool
	// ProxyEndpoints puts one between each agent and its endpoint, for EndpointLink.
	ProxyEndpoints bool
	// ProxyPlatform puts one between each process and the platform, for PlatformLink.
	ProxyPlatform bool
	// EndpointsApart runs the endpoints' stand-ins in a process of their own.
	EndpointsApart bool
	// Plain runs binaries without the race detector.
	Plain bool
	// Platform shapes the platform's stand-in.
	Platform fake.PlatformSettings
	// Engine and Service, if set, change the shape of the endpoints' stand-ins.
	Engine  func(*bundle.Pool, *fake.EngineSettings)
	Service func(*bundle.Pool, *fake.ServiceSettings)
	// DrainWait is the entries' setting; zero means 200 ms.
	DrainWait time.Duration
	// LogLevel is that of the processes; empty means info.
	LogLevel string
	// EntryFlags and AgentFlags are added to the command lines.
	EntryFlags []string
	AgentFlags []string
	// Prepare, if set, is called before the first process starts, when the
	// stand-ins run and all proxies but those between processes are there.
	Prepare func(*Fleet)
	// NoWait returns before the entries are ready.
	NoWait bool
}

func (c *Config) setDefaults() error {
	if c.Deployment == "" {
		c.Deployment = examples.Brunnhofer
	}
	if c.Entries == 0 {
		c.Entries = defaultEntries
	}
	if c.DrainWait == 0 {
		c.DrainWait = defaultDrainWait
	}
	if c.LogLevel == "" {
		c.LogLevel = "info"
	}
	if c.Bundle == nil {
		yaml, err := examples.Bundle(c.Deployment)
		if err != nil {
			return err
		}
		c.Bundle = yaml
	}
	return nil
}

// endpoints is how many endpoints of a pool to start.
func (c *Config) endpoints(pool *bundle.Pool) int {
	if c.Pools == nil {
		return pool.Endpoints
	}
	return c.Pools[pool.Name]
}
