package harness

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/Shopify/toxiproxy/v2"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/reqid"
	"github.com/mangostage/mangostage/wire"
)

const (
	fleetKeySize = 32
	anyPort      = loopback + ":0"
	vmPrefix     = "vm-"
)

// Entry is an entry process.
type Entry struct {
	*Process
	// URL is the base URL of the HTTP API for callers.
	URL string
}

// Fleet is a running deployment.
type Fleet struct {
	// Platform is the platform stand-in.
	Platform *fake.Platform
	// Bundle is the bundle that the fleet was started with.
	Bundle *bundle.Bundle

	t   testing.TB
	cfg Config
	// yaml is the text of Bundle.
	yaml    []byte
	domains []string
	// key signs bundles; publicPEM is its public key.
	key       ed25519.PrivateKey
	publicPEM string
	fleetKey  reqid.Key
	proxies   *toxiproxy.ApiServer
	// views, served by viewServer, is nil unless Config.ProxyPeers is set.
	views      *views
	viewServer *httptest.Server
	http       *http.Client

	entries []*Entry
	// agents holds the agents by endpoint name.
	agents    map[string]*Process
	endpoints []*Endpoint
	vms       []confsvc.VM
	// endpointProxies and platformProxies hold proxies by process name.
	endpointProxies map[string]*proxy
	platformProxies map[string]*proxy
	// portReleases holds a function for each reserved port that releases it.
	portReleases []func()

	// poolFile and endpointsProcess are used only with Config.SeparateEndpoints.
	poolFile         poolFile
	endpointsProcess *Process
}

// Start starts a fleet and waits until it is ready. The fleet is stopped at the
// end of the test.
func Start(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	if err := cfg.setDefaults(); err != nil {
		t.Fatal(err)
	}
	f := &Fleet{
		t:               t,
		cfg:             cfg,
		agents:          make(map[string]*Process),
		endpointProxies: make(map[string]*proxy),
		platformProxies: make(map[string]*proxy),
		proxies:         newProxyServer(),
		http:            newHTTPClient(),
	}
	Binary(t, binaryEntry, cfg.NoRace)
	t.Cleanup(f.stop)
	f.prepare()
	f.startPlatform()
	f.startEndpoints()
	if cfg.SeparateEndpoints {
		f.startEndpointsProcess()
	}
	f.configureAgents()
	f.configureEntries()
	f.Platform.VMs.Set(f.vms)
	if cfg.Prepare != nil {
		cfg.Prepare(f)
	}
	f.startProcesses()
	if !cfg.NoWait {
		f.WaitReady(readyTimeout)
	}
	return f
}

// must fails the test on an error.
func (f *Fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// prepare sets up the failure domains, the bundle and the keys.
func (f *Fleet) prepare() {
	var err error
	f.domains, err = examples.Domains(f.cfg.Deployment)
	f.must(err)
	f.prepareBundle()
	public, private, err := bundle.GenerateKey()
	f.must(err)
	f.key = private
	pem, err := bundle.MarshalPublicKey(public)
	f.must(err)
	f.publicPEM = string(pem)
	key := make([]byte, fleetKeySize)
	_, err = rand.Read(key)
	f.must(err)
	f.fleetKey = key
}

// MintID returns a request ID signed with the fleet's key, as an entry issues it.
func (f *Fleet) MintID(fields reqid.Fields) string { return reqid.Mint(f.fleetKey, fields) }

// startPlatform starts the platform stand-in with the bundle published, and with
// Config.ProxyPeers also the server of the views.
func (f *Fleet) startPlatform() {
	f.Platform = fake.NewPlatform(f.cfg.Platform)
	f.must(f.Platform.Start(anyPort))
	f.Publish(f.yaml)
	if !f.cfg.ProxyPeers {
		return
	}
	var err error
	f.views, err = newViews(f.Platform.URL(), f.proxies)
	f.must(err)
	f.viewServer = httptest.NewServer(f.views)
}

func (f *Fleet) startEndpoints() {
	for i := range f.Bundle.Pools {
		pool := &f.Bundle.Pools[i]
		if f.cfg.endpoints(pool) == 0 {
			continue
		}
		for k, name := range endpointNames(pool) {
			e := &Endpoint{
				Name:    name,
				Pool:    pool.Name,
				Domain:  f.domains[k%len(f.domains)],
				StandIn: f.newStandIn(pool, name, uint64(len(f.endpoints))),
			}
			f.must(e.Start(anyPort))
			f.endpoints = append(f.endpoints, e)
		}
	}
}

// endpointNames returns the names of all endpoints of a pool in the bundle.
func endpointNames(pool *bundle.Pool) []string {
	names := make([]string, pool.Endpoints)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", pool.Name, i+1)
	}
	return names
}

// configureAgents adds an agent on its own VM for each endpoint without starting
// it.
func (f *Fleet) configureAgents() {
	for _, e := range f.endpoints {
		vm := confsvc.VM{
			Name: vmPrefix + e.Name, Role: wire.RoleAgent, Domain: e.Domain,
			State: confsvc.VMLive, Endpoint: e.Name, Pool: e.Pool,
		}
		args := f.commonFlags(&vm, e.Name)
		args = append(args,
			"--endpoint="+e.Name,
			"--pool="+e.Pool,
			"--endpoint-url="+f.endpointURL(e),
			"--protocol="+string(f.Bundle.Pool(e.Pool).Protocol),
		)
		f.agents[e.Name] = f.addProcess(vm, e.Name, binaryAgent, append(args, f.cfg.AgentFlags...))
	}
}

// configureEntries adds the entries and their VMs without starting them.
func (f *Fleet) configureEntries() {
	for i := range f.cfg.Entries {
		vm := confsvc.VM{
			Name: fmt.Sprintf("entry-%d", i+1), Role: wire.RoleEntry,
			Domain: f.domains[i%len(f.domains)], State: confsvc.VMLive,
		}
		args := f.commonFlags(&vm, vm.Name)
		listen := f.newPort()
		args = append(args, "--listen="+listen, "--drain-wait="+f.cfg.DrainWait.String())
		p := f.addProcess(vm, vm.Name, binaryEntry, append(args, f.cfg.EntryFlags...))
		f.entries = append(f.entries, &Entry{Process: p, URL: "http://" + listen})
	}
}

// addProcess adds a VM to the fleet and returns its process, not yet started.
func (f *Fleet) addProcess(vm confsvc.VM, name, binary string, args []string) *Process {
	f.vms = append(f.vms, vm)
	return &Process{Name: name, VM: vm.Name, t: f.t, binary: Binary(f.t, binary, f.cfg.NoRace), args: args}
}

// commonFlags returns the flags that all processes share. It reserves the peer
// address and sets it in vm.
func (f *Fleet) commonFlags(vm *confsvc.VM, process string) []string {
	vm.Address = f.newPort()
	if f.views != nil {
		f.views.roles[vm.Name] = vm.Role
	}
	return []string{
		"--vm=" + vm.Name,
		"--domain=" + vm.Domain,
		"--peer-listen=" + vm.Address,
		"--platform=" + f.platformURL(vm.Name, process),
		"--bundle-keys=" + f.publicPEM,
		"--fleet-key=" + hex.EncodeToString(f.fleetKey),
		"--insecure",
		"--log-level=" + f.cfg.LogLevel,
	}
}

// newPort reserves a loopback address until the end of the test.
func (f *Fleet) newPort() string {
	address, release, err := reservePort()
	f.must(err)
	f.portReleases = append(f.portReleases, release)
	return address
}

// endpointURL returns the URL at which an agent reaches its endpoint.
func (f *Fleet) endpointURL(e *Endpoint) string {
	if !f.cfg.ProxyEndpoints {
		return e.URL()
	}
	return f.addProxy(f.endpointProxies, e.Name, e.URL())
}

// platformURL returns the URL at which a process reaches the platform.
func (f *Fleet) platformURL(vm, process string) string {
	base, path := f.Platform.URL(), ""
	if f.viewServer != nil {
		base, path = f.viewServer.URL, "/"+vm
	}
	if f.cfg.ProxyPlatform {
		base = f.addProxy(f.platformProxies, process, base)
	}
	return base + path
}

// addProxy starts a proxy from a process to the host of base, adds it to proxies
// and returns its URL.
func (f *Fleet) addProxy(proxies map[string]*proxy, process, base string) string {
	parsed, err := url.Parse(base)
	f.must(err)
	p, err := newProxy(f.proxies, process+" to "+parsed.Host, parsed.Host)
	f.must(err)
	proxies[process] = p
	return "http://" + p.address
}

func (f *Fleet) startProcesses() {
	for _, p := range f.Processes() {
		f.must(p.start())
	}
}

// Processes returns the entries followed by the agents.
func (f *Fleet) Processes() []*Process {
	var list []*Process
	for _, e := range f.entries {
		list = append(list, e.Process)
	}
	for _, e := range f.endpoints {
		if p := f.agents[e.Name]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

// Entries returns all entries.
func (f *Fleet) Entries() []*Entry { return f.entries }

// Entry returns an entry, counted from 0.
func (f *Fleet) Entry(i int) *Entry { return f.entries[i] }

// Agent returns the agent beside an endpoint.
func (f *Fleet) Agent(endpoint string) *Process {
	f.t.Helper()
	p := f.agents[endpoint]
	if p == nil {
		f.t.Fatalf("there is no agent %q", endpoint)
	}
	return p
}

// Endpoints returns all endpoint stand-ins.
func (f *Fleet) Endpoints() []*Endpoint { return f.endpoints }

// Endpoint returns the stand-in for an endpoint.
func (f *Fleet) Endpoint(name string) *Endpoint {
	f.t.Helper()
	for _, e := range f.endpoints {
		if e.Name == name {
			return e
		}
	}
	f.t.Fatalf("there is no endpoint %q", name)
	return nil
}

// PoolEndpoints returns the endpoint stand-ins of a pool.
func (f *Fleet) PoolEndpoints(pool string) []*Endpoint {
	var list []*Endpoint
	for _, e := range f.endpoints {
		if e.Pool == pool {
			list = append(list, e)
		}
	}
	return list
}

// Sign returns a YAML bundle signed with the key that the fleet trusts.
func (f *Fleet) Sign(yaml []byte) []byte {
	f.t.Helper()
	signed, err := bundle.Sign(f.key, yaml)
	f.must(err)
	return signed
}

// Publish signs a YAML bundle and publishes it in the configuration service.
func (f *Fleet) Publish(yaml []byte) {
	f.t.Helper()
	f.Platform.Config.Publish(confsvc.ValueBundle, f.Sign(yaml))
}

// SetVMState changes a VM's state in the platform's list.
func (f *Fleet) SetVMState(vm string, state confsvc.VMState) {
	f.t.Helper()
	if !f.Platform.VMs.SetState(vm, state) {
		f.t.Fatalf("there is no VM %q", vm)
	}
}

// stop ends all processes, stand-ins and proxies. It fails the test for processes
// that did not exit cleanly, and prints the ends of the logs if the test failed.
func (f *Fleet) stop() {
	f.endStalls()
	for _, p := range f.Processes() {
		p.terminate()
	}
	for _, p := range f.Processes() {
		p.reap()
	}
	if f.t.Failed() {
		f.printLogs()
	}
	for _, e := range f.endpoints {
		e.Close()
	}
	if f.endpointsProcess != nil {
		f.endpointsProcess.terminate()
		f.endpointsProcess.reap()
	}
	if f.viewServer != nil {
		f.viewServer.CloseClientConnections()
		f.viewServer.Close()
		f.views.close()
	}
	for _, proxies := range []map[string]*proxy{f.endpointProxies, f.platformProxies} {
		for _, p := range proxies {
			p.close()
		}
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
	for _, release := range f.portReleases {
		release()
	}
}

// endStalls ends all stalls of the endpoints, which would keep agents from
// draining.
func (f *Fleet) endStalls() {
	if f.endpointsProcess != nil && !f.endpointsProcess.Running() {
		return
	}
	stalled := false
	for _, e := range f.endpoints {
		e.Apply(fake.Control{Stall: &stalled})
	}
}

func (f *Fleet) printLogs() {
	processes := f.Processes()
	bytesEach := maxPrintedLogBytes / max(1, len(processes))
	for _, p := range processes {
		f.t.Logf("end of the log of %s:\n%s", p.Name, p.log.tail(bytesEach))
	}
}
