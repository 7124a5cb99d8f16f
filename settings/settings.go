// Package settings parses the flags and environment variables of the daemons,
// checks all of them at the start and reports every finding with the name of its
// flag.
package settings

import (
	"crypto/ed25519"
	"encoding/hex"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/reqid"
)

// filePrefix is the prefix of a setting whose value is read from a file.
const filePrefix = "file:"

// Values of Common.DecisionLog.
const (
	DecisionLogAll      = "all"
	DecisionLogRefusals = "refusals"
)

// Defaults of the bounds on what all callers of an entry hold, as its flags have them.
const (
	// DefaultMaxConns is the default of Entry.MaxConns.
	DefaultMaxConns = 4096
	// DefaultClientMemoryMB is the default of Entry.ClientMemoryMB.
	DefaultClientMemoryMB int64 = 24
)

// maxClientMemoryMB bounds Entry.ClientMemoryMB: 1 TB.
const maxClientMemoryMB = 1 << 20

// Common holds the settings that entries and agents share.
type Common struct {
	VM         string   `arg:"--vm,env:MANGOSTAGE_VM" help:"name of this VM in the platform's list"`
	Domain     string   `arg:"--domain,env:MANGOSTAGE_DOMAIN" help:"failure domain of this VM"`
	FleetSize  int      `arg:"--fleet-size,env:MANGOSTAGE_FLEET_SIZE" default:"64" help:"expected number of VMs; spreads the first reads of a fleet that starts as one"`
	PeerListen string   `arg:"--peer-listen,env:MANGOSTAGE_PEER_LISTEN" default:"0.0.0.0:7700" help:"address for the product's own processes"`
	Platform   string   `arg:"--platform,env:MANGOSTAGE_PLATFORM" help:"URL of the platform's configuration service and VM list"`
	BundleKeys string   `arg:"--bundle-keys,env:MANGOSTAGE_BUNDLE_KEYS" help:"PEM public keys that sign bundles, or file:PATH"`
	FleetKeys  []string `arg:"--fleet-key,separate,env:MANGOSTAGE_FLEET_KEYS" help:"hex key for request IDs, or file:PATH; the first signs, all verify"`
	TLSCert    string   `arg:"--tls-cert,env:MANGOSTAGE_TLS_CERT" help:"PEM certificate file of this process"`
	TLSKey     string   `arg:"--tls-key,env:MANGOSTAGE_TLS_KEY" help:"PEM key file of this process"`
	TLSCA      string   `arg:"--tls-ca,env:MANGOSTAGE_TLS_CA" help:"PEM file of the authorities that sign peers"`
	Insecure   bool     `arg:"--insecure,env:MANGOSTAGE_INSECURE" help:"plain TCP between processes, for development only"`
	LogLevel   string   `arg:"--log-level,env:MANGOSTAGE_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	// DecisionLog selects which decisions are logged.
	DecisionLog string `arg:"--decision-log,env:MANGOSTAGE_DECISION_LOG" default:"all" help:"decisions to log: all, or refusals, which leaves out those by which a request takes its course"`
	// DebugListen is a separate address for /debug/vars and /healthz. If it is empty,
	// an entry serves them with the callers' API and an agent does not serve them.
	DebugListen string `arg:"--debug-listen,env:MANGOSTAGE_DEBUG_LISTEN" help:"address of /debug/vars and /healthz; an entry without it serves them with the callers' API"`
}

// Entry holds the settings of mangostage-entry.
type Entry struct {
	Common
	Listen    string        `arg:"--listen,env:MANGOSTAGE_LISTEN" default:"0.0.0.0:7600" help:"address of the callers' HTTP API"`
	DrainWait time.Duration `arg:"--drain-wait,env:MANGOSTAGE_DRAIN_WAIT" default:"3s" help:"time the balancer needs to notice that this entry is not ready"`
	MaxBody   int64         `arg:"--max-body,env:MANGOSTAGE_MAX_BODY" default:"1048576" help:"largest request body in bytes, whatever the bundle says"`
	// ClientMemoryMB and MaxConns bound what all callers together hold of the process.
	ClientMemoryMB int64 `arg:"--client-memory-mb,env:MANGOSTAGE_CLIENT_MEMORY_MB" default:"24" help:"memory in MB for request bodies of over 16 kB of all callers; further ones are refused until there is room"`
	MaxConns       int   `arg:"--max-connections,env:MANGOSTAGE_MAX_CONNECTIONS" default:"4096" help:"connections of callers; beyond them the ones that are idle for longest are closed"`
}

// Agent holds the settings of mangostage-agent.
type Agent struct {
	Common
	Endpoint    string `arg:"--endpoint,env:MANGOSTAGE_ENDPOINT" help:"name of the endpoint beside this agent"`
	Pool        string `arg:"--pool,env:MANGOSTAGE_POOL" help:"pool of the endpoint"`
	EndpointURL string `arg:"--endpoint-url,env:MANGOSTAGE_ENDPOINT_URL" help:"URL of the endpoint"`
	Protocol    string `arg:"--protocol,env:MANGOSTAGE_PROTOCOL" default:"service" help:"protocol of the endpoint: engine or service"`
}

// Parse parses flags and environment variables into dest.
func Parse(program string, dest any, args []string) (*arg.Parser, error) {
	parser, err := arg.NewParser(arg.Config{Program: program}, dest)
	if err != nil {
		return nil, errorx.Decorate(err, "settings of %s", program)
	}
	return parser, parser.Parse(args)
}

// Loaded holds the parsed and checked values of Common's settings.
type Loaded struct {
	BundleKeys []ed25519.PublicKey
	FleetKeys  []reqid.Key
	LogLevel   zerolog.Level
	// RefusalsOnly is true if routine decisions are left out of the log.
	RefusalsOnly bool
	// TLS is nil with --insecure.
	TLS *TLS
}

// Load checks c, reads its key material and adds what is wrong to findings. The
// result is only valid if it added none.
func (c *Common) Load(findings *finding.List) Loaded {
	var loaded Loaded
	checkRequired(findings, "--vm", c.VM)
	checkRequired(findings, "--domain", c.Domain)
	checkAddress(findings, "--peer-listen", c.PeerListen)
	checkURL(findings, "--platform", c.Platform)
	if c.FleetSize < 0 {
		findings.Add(flagPlace("--fleet-size"), "%d is negative", c.FleetSize)
	}
	if c.DebugListen != "" {
		checkAddress(findings, "--debug-listen", c.DebugListen)
	}
	loaded.BundleKeys = c.loadBundleKeys(findings)
	loaded.FleetKeys = c.loadFleetKeys(findings)
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		findings.Add(flagPlace("--log-level"), "%v", err)
	}
	loaded.LogLevel = level
	loaded.RefusalsOnly = c.refusalsOnly(findings)
	loaded.TLS = c.loadTLS(findings)
	return loaded
}

// Check reports what is wrong with e beyond its common part.
func (e *Entry) Check(findings *finding.List) {
	checkAddress(findings, "--listen", e.Listen)
	if e.DrainWait < 0 {
		findings.Add(flagPlace("--drain-wait"), "%v is negative", e.DrainWait)
	}
	if e.MaxBody <= 0 {
		findings.Add(flagPlace("--max-body"), "%d is not positive", e.MaxBody)
	}
	if e.ClientMemoryMB < 1 || e.ClientMemoryMB<<20 < e.MaxBody {
		findings.Add(flagPlace("--client-memory-mb"), "%d holds no body of --max-body", e.ClientMemoryMB)
	}
	if e.ClientMemoryMB > maxClientMemoryMB {
		findings.Add(flagPlace("--client-memory-mb"), "%d is above %d", e.ClientMemoryMB, maxClientMemoryMB)
	}
	if e.MaxConns < 1 {
		findings.Add(flagPlace("--max-connections"), "%d is not positive", e.MaxConns)
	}
}

// Check reports what is wrong with a beyond its common part.
func (a *Agent) Check(findings *finding.List) {
	checkRequired(findings, "--endpoint", a.Endpoint)
	checkRequired(findings, "--pool", a.Pool)
	checkURL(findings, "--endpoint-url", a.EndpointURL)
	switch bundle.Protocol(a.Protocol) {
	case bundle.ProtocolEngine, bundle.ProtocolService:
	default:
		findings.Add(flagPlace("--protocol"), "%q is neither engine nor service", a.Protocol)
	}
}

// refusalsOnly checks DecisionLog and reports whether only refusals are logged.
// An empty value, as in settings that a program creates, means all decisions.
func (c *Common) refusalsOnly(findings *finding.List) bool {
	switch c.DecisionLog {
	case "", DecisionLogAll:
		return false
	case DecisionLogRefusals:
		return true
	}
	findings.Add(flagPlace("--decision-log"), "%q is neither %s nor %s", c.DecisionLog, DecisionLogAll, DecisionLogRefusals)
	return false
}

func (c *Common) loadBundleKeys(findings *finding.List) []ed25519.PublicKey {
	text, ok := readValue(findings, "--bundle-keys", c.BundleKeys)
	if !ok {
		return nil
	}
	keys, err := bundle.LoadPublicKeys(text)
	if err != nil {
		findings.Add(flagPlace("--bundle-keys"), "%v", err)
	}
	return keys
}

func (c *Common) loadFleetKeys(findings *finding.List) []reqid.Key {
	checkRequired(findings, "--fleet-key", strings.Join(c.FleetKeys, ""))
	var keys []reqid.Key
	for _, value := range c.FleetKeys {
		text, ok := readValue(findings, "--fleet-key", value)
		if !ok {
			continue
		}
		key, err := hex.DecodeString(strings.TrimSpace(string(text)))
		if err != nil || len(key) < reqid.MinKeyLen {
			findings.Add(flagPlace("--fleet-key"), "not a hex key of at least %d bytes", reqid.MinKeyLen)
			continue
		}
		keys = append(keys, reqid.Key(key))
	}
	return keys
}

// readValue returns a required setting's value, or the content of its file if it
// has filePrefix. It returns false after it has added a finding.
func readValue(findings *finding.List, name, value string) ([]byte, bool) {
	if value == "" {
		checkRequired(findings, name, value)
		return nil, false
	}
	path, isFile := strings.CutPrefix(value, filePrefix)
	if !isFile {
		return []byte(value), true
	}
	text, err := os.ReadFile(path)
	if err != nil {
		findings.Add(flagPlace(name), "%v", err)
		return nil, false
	}
	return text, true
}

// flagPlace returns the place of a finding on a flag.
func flagPlace(name string) finding.Place { return finding.Place{Name: name} }

func checkRequired(findings *finding.List, name, value string) {
	if value == "" {
		findings.Add(flagPlace(name), "is required")
	}
}

func checkAddress(findings *finding.List, name, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		findings.Add(flagPlace(name), "%q is not host:port: %v", value, err)
	}
}

func checkURL(findings *finding.List, name, value string) {
	if value == "" {
		checkRequired(findings, name, value)
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		findings.Add(flagPlace(name), "%q is not an http or https URL", value)
	}
}
