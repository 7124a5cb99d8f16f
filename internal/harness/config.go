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
	// defaultDrainWait is short because no load balancer has to notice the drain.
	defaultDrainWait = 200 * time.Millisecond
	readyTimeout     = 60 * time.Second
)

// Config configures a fleet. The zero value starts all endpoints of the first
// example deployment with two entries and no proxies.
type Config struct {
	// Deployment is the name of an example deployment, which defines the failure
	// domains.
	Deployment string
	// Bundle is the initial bundle in YAML; nil means that of the example. Each
	// credential must be examples.CredentialPrefix followed by the account's name.
	Bundle []byte
	// Edit, if set, changes the bundle before it is signed.
	Edit func(*bundle.Bundle)
	// Pools is the number of endpoints to start by pool; other pools get none. Nil
	// means all endpoints of the bundle. The endpoint counts of these pools in the
	// bundle are changed to match. Fewer endpoints make a test faster.
	Pools map[string]int
	// Entries is the number of entries; zero means two.
	Entries int
	// ProxyPeers puts a proxy between any two processes, as Link requires.
	ProxyPeers bool
	// ProxyEndpoints puts a proxy between each agent and its endpoint, as
	// EndpointLink requires.
	ProxyEndpoints bool
	// ProxyPlatform puts a proxy between each process and the platform, as
	// PlatformLink requires.
	ProxyPlatform bool
	// SeparateEndpoints runs all endpoint stand-ins in one separate process instead of
	// the test process.
	SeparateEndpoints bool
	// NoRace runs binaries without the race detector.
	NoRace bool
	// Platform configures the platform stand-in.
	Platform fake.PlatformSettings
	// Engine and Service, if set, change the settings of the endpoint stand-ins.
	Engine  func(*bundle.Pool, *fake.EngineSettings)
	Service func(*bundle.Pool, *fake.ServiceSettings)
	// DrainWait is the --drain-wait setting of the entries; zero means 200 ms.
	DrainWait time.Duration
	// LogLevel is the log level of the processes; empty means info.
	LogLevel string
	// EntryFlags and AgentFlags are added to the command lines.
	EntryFlags []string
	AgentFlags []string
	// Prepare, if set, is called before the first agent or entry starts. At that
	// time the stand-ins run, and all proxies exist except those between processes.
	Prepare func(*Fleet)
	// NoWait means that Start returns without waiting until the fleet is ready.
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

// endpoints returns the number of endpoints of a pool to start.
func (c *Config) endpoints(pool *bundle.Pool) int {
	if c.Pools == nil {
		return pool.Endpoints
	}
	return c.Pools[pool.Name]
}
