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
	// URL is that of the callers' HTTP API.
	URL string
}

// Fleet is a running deployment.
type Fleet struct {
	Platform *fake.Platform
	// Bundle is the one that the fleet was started with.
	Bundle *bundle.Bundle

	t         testing.TB
	cfg       Config
	yaml      []byte
	domains   []string
	key       ed25519.PrivateKey
	publicPEM string
	fleetKey  reqid.Key
	proxies   *toxiproxy.ApiServer
	views     *views
	front     *httptest.Server
	http      *http.Client

	entries   []*Entry
	agents    map[string]*Process
	endpoints []*Endpoint
	vms       []confsvc.VM
	// toEndpoint and toPlatform are by process name.
	toEndpoint map[string]*proxy
	toPlatform map[string]*proxy
	releases   []func()

	poolFile     poolFile
	apartProcess *Process
}

// Start starts a fleet, waits until it is ready and ends it with the test.
func Start(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	if err := cfg.setDefaults(); err != nil {
		t.Fatal(err)
	}
	f := &Fleet{
		t:          t,
		cfg:        cfg,
		agents:     make(map[string]*Process),
		toEndpoint: make(map[string]*proxy),
		toPlatform: make(map[string]*proxy),
		proxies:    newProxyServer(),
		http:       newHTTPClient(),
	}
	Binary(t, binaryEntry, cfg.Plain)
	t.Cleanup(f.stop)
	f.prepare()
	f.startPlatform()
	f.startEndpoints()
	if cfg.EndpointsApart {
		f.startApart()
	}
	f.planAgents()
	f.planEntries()
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

func (f *Fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *Fleet) prepare() {
	var err error
	f.domains, err = examples.Domains(f.cfg.Deployment)
	f.must(err)
	f.planBundle()
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

// MintID returns a request ID as an entry of the fleet would sign it.
func (f *Fleet) MintID(fields reqid.Fields) string { return reqid.Mint(f.fleetKey, fields) }

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
	f.front = httptest.NewServer(f.views)
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

// endpointNames lists the endpoints that the bundle expects of a pool.
func endpointNames(pool *bundle.Pool) []string {
	names := make([]string, pool.Endpoints)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", pool.Name, i+1)
	}
	return names
}

func (f *Fleet) planAgents() {
	for _, e := range f.endpoints {
		vm := confsvc.VM{
			Name: vmPrefix + e.Name, Role: wire.RoleAgent, Domain: e.Domain,
			State: confsvc.VMLive, Endpoint: e.Name, Pool: e.Pool,
		}
		args := f.common(&vm, e.Name)
		args = append(args,
			"--endpoint="+e.Name,
			"--pool="+e.Pool,
			"--endpoint-url="+f.endpointURL(e),
			"--protocol="+string(f.Bundle.Pool(e.Pool).Protocol),
		)
		f.agents[e.Name] = f.plan(vm, e.Name, binaryAgent, append(args, f.cfg.AgentFlags...))
	}
}

func (f *Fleet) planEntries() {
	for i := range f.cfg.Entries {
		vm := confsvc.VM{
			Name: fmt.Sprintf("entry-%d", i+1), Role: wire.RoleEntry,
			Domain: f.domains[i%len(f.domains)], State: confsvc.VMLive,
		}
		args := f.common(&vm, vm.Name)
		listen := f.port()
		args = append(args, "--listen="+listen, "--drain-wait="+f.cfg.DrainWait.String())
		p := f.plan(vm, vm.Name, binaryEntry, append(args, f.cfg.EntryFlags...))
		f.entries = append(f.entries, &Entry{Process: p, URL: "http://" + listen})
	}
}

func (f *Fleet) plan(vm confsvc.VM, name, binary string, args []string) *Process {
	f.vms = append(f.vms, vm)
	return &Process{Name: name, VM: vm.Name, t: f.t, binary: Binary(f.t, binary, f.cfg.Plain), args: args}
}

// common returns the flags of every process and fills in the VM's address.
func (f *Fleet) common(vm *confsvc.VM, process string) []string {
	vm.Address = f.port()
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

func (f *Fleet) port() string {
	address, release, err := reservePort()
	f.must(err)
	f.releases = append(f.releases, release)
	return address
}

func (f *Fleet) endpointURL(e *Endpoint) string {
	if !f.cfg.ProxyEndpoints {
		return e.URL()
	}
	return f.proxied(f.toEndpoint, e.Name, e.URL())
}

func (f *Fleet) platformURL(vm, process string) string {
	base, path := f.Platform.URL(), ""
	if f.front != nil {
		base, path = f.front.URL, "/"+vm
	}
	if f.cfg.ProxyPlatform {
		base = f.proxied(f.toPlatform, process, base)
	}
	return base + path
}

func (f *Fleet) proxied(proxies map[string]*proxy, process, base string) string {
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

// Processes lists all processes, the entries first.
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

// Entries lists the entries.
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

// Endpoints lists the endpoints' stand-ins.
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

// PoolEndpoints lists the endpoints of a pool.
func (f *Fleet) PoolEndpoints(pool string) []*Endpoint {
	var list []*Endpoint
	for _, e := range f.endpoints {
		if e.Pool == pool {
			list = append(list, e)
		}
	}
	return list
}

// Sign returns the signed form of a YAML bundle, by the key that the fleet trusts.
func (f *Fleet) Sign(yaml []byte) []byte {
	f.t.Helper()
	signed, err := bundle.Sign(f.key, yaml)
	f.must(err)
	return signed
}

// Publish signs a YAML bundle and puts it into the configuration service.
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

// stop ends everything that is still there and reports what went wrong.
func (f *Fleet) stop() {
	f.heal()
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
	if f.apartProcess != nil {
		f.apartProcess.terminate()
		f.apartProcess.reap()
	}
	if f.front != nil {
		f.front.CloseClientConnections()
		f.front.Close()
		f.views.close()
	}
	for _, proxies := range []map[string]*proxy{f.toEndpoint, f.toPlatform} {
		for _, p := range proxies {
			p.close()
		}
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
	for _, release := range f.releases {
		release()
	}
}

// heal ends stalls, which would keep agents from draining.
func (f *Fleet) heal() {
	if f.apartProcess != nil && !f.apartProcess.Running() {
		return
	}
	running := false
	for _, e := range f.endpoints {
		e.Apply(fake.Control{Stall: &running})
	}
}

func (f *Fleet) printLogs() {
	processes := f.Processes()
	each := shownLogs / max(1, len(processes))
	for _, p := range processes {
		f.t.Logf("end of the log of %s:\n%s", p.Name, p.log.tail(each))
	}
}
