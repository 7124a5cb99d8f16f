package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/examples"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/settings"
	"github.com/mangostage/mangostage/wire"
)

const (
	testPool     = "catalogue"
	testEndpoint = "catalogue-1"
	testBundle   = `
version: 1
operators:
  - {name: operator, credential_sha256: [c15de198d781469a78760f52482bac96c651dec77512c11657dcb336fa480ca0]}
accounts:
  - name: partner-chain-ostschweiz
    credential_sha256: [ecbbd9a96c2dba74096a7c0a92a742ebd01bb95d8133bdb64a0db7a61b564340]
    limit: {requests_per_second: 100000, burst: 100000, in_flight: 1000}
pools:
  - {name: catalogue, endpoints: 1}
pipelines:
  - {name: catalogue, stages: [{name: catalogue, pool: catalogue}]}
`
)

// authority is a certificate authority whose files are in dir.
type authority struct {
	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	a := &authority{t: t, dir: t.TempDir(), cert: cert, key: key}
	writePEM(t, a.path("ca.pem"), "CERTIFICATE", der)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

// issue writes NAME-key.pem, then NAME.pem.
func (a *authority) issue(name string, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	writePEM(a.t, a.path(name+"-key.pem"), "EC PRIVATE KEY", keyDER)
	writePEM(a.t, a.path(name+".pem"), "CERTIFICATE", der)
}

// config returns a client's TLS configuration with the named certificate, or
// without one if name is empty.
func (a *authority) config(name string) *tls.Config {
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
	if name != "" {
		pair, err := tls.LoadX509KeyPair(a.path(name+".pem"), a.path(name+"-key.pem"))
		assert.NilError(a.t, err)
		cfg.Certificates = []tls.Certificate{pair}
	}
	return cfg
}

func writePEM(t testing.TB, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// smallFleet is one entry and one agent, with TLS, in the test's process.
type smallFleet struct {
	t        testing.TB
	ca       *authority
	platform *fake.Platform
	endpoint *fake.Service
	entry    *Entry
	agent    *Agent
	common   []string
	log      logCounter
}

// startFleet starts a fleet and waits until its entry can use the endpoint; extra
// are additional flags of both daemons.
func startFleet(t testing.TB, extra ...string) *smallFleet {
	f := &smallFleet{t: t, ca: newAuthority(t), log: logCounter{text: new(strings.Builder)}}
	f.platform = fake.NewPlatform(fake.PlatformSettings{})
	assert.NilError(t, f.platform.Start(loopback))
	t.Cleanup(f.platform.Close)
	f.endpoint = fake.NewService(fake.ServiceSettings{Time: time.Millisecond})
	assert.NilError(t, f.endpoint.Start(loopback))
	t.Cleanup(f.endpoint.Close)
	public, private, err := bundle.GenerateKey()
	assert.NilError(t, err)
	signed, err := bundle.Sign(private, []byte(testBundle))
	assert.NilError(t, err)
	f.platform.Config.Publish(confsvc.ValueBundle, signed)
	publicPEM, err := bundle.MarshalPublicKey(public)
	assert.NilError(t, err)
	f.common = append([]string{
		"--domain", "winterthur", "--platform", f.platform.URL(), "--peer-listen", loopback,
		"--debug-listen", loopback, "--bundle-keys=" + string(publicPEM),
		"--fleet-key", hex.EncodeToString(make([]byte, 32)), "--tls-ca", f.ca.path("ca.pem"),
	}, extra...)
	f.ca.issue("agent", 10)
	f.ca.issue("entry", 10)
	f.startAgent()
	f.startEntry()
	f.platform.VMs.Set([]confsvc.VM{
		{Name: "entry", Role: wire.RoleEntry, Address: f.entry.PeerAddr().String(), Domain: "winterthur", State: confsvc.VMLive},
		{
			Name: "agent", Role: wire.RoleAgent, Address: f.agent.PeerAddr().String(), Domain: "winterthur",
			State: confsvc.VMLive, Endpoint: testEndpoint, Pool: testPool,
		},
	})
	f.waitUsable()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of entry and agent:\n%s", f.log.all())
		}
	})
	return f
}

const loopback = "127.0.0.1:0"

// args returns the flags of the process on a VM: its own and the common ones.
func (f *smallFleet) args(vm string, own ...string) []string {
	pair := []string{"--vm", vm, "--tls-cert", f.ca.path(vm + ".pem"), "--tls-key", f.ca.path(vm + "-key.pem")}
	return append(append(pair, own...), f.common...)
}

func (f *smallFleet) startAgent() {
	var s settings.Agent
	_, err := settings.Parse("mangostage-agent", &s, f.args("agent",
		"--endpoint", testEndpoint, "--pool", testPool, "--endpoint-url", f.endpoint.URL()))
	assert.NilError(f.t, err)
	var findings finding.List
	loaded := s.Load(&findings)
	s.Check(&findings)
	assert.NilError(f.t, findings.Err())
	f.agent, err = StartAgent(s, loaded, NewLog(&f.log, loaded.LogLevel, wire.Process{Name: s.Endpoint}))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { f.stop(f.agent) })
}

func (f *smallFleet) startEntry() {
	var s settings.Entry
	_, err := settings.Parse("mangostage-entry", &s, f.args("entry", "--listen", loopback, "--drain-wait", "0s"))
	assert.NilError(f.t, err)
	var findings finding.List
	loaded := s.Load(&findings)
	s.Check(&findings)
	assert.NilError(f.t, findings.Err())
	f.entry, err = StartEntry(s, loaded, NewLog(&f.log, loaded.LogLevel, wire.Process{Name: s.VM}))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { f.stop(f.entry) })
}

func (f *smallFleet) stop(process Stopper) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	assert.Check(f.t, process.Stop(ctx))
}

// waitUsable waits until the entry would send work to the endpoint.
func (f *smallFleet) waitUsable() {
	f.t.Helper()
	f.eventually("the entry reaches the endpoint", func() bool {
		return f.entry.Entry().Ready() && f.entry.Entry().Usable() == 1
	})
}

func (f *smallFleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// send posts one request and returns its HTTP status.
func (f *smallFleet) send(body string) int {
	f.t.Helper()
	return f.sendAs(examples.CredentialPrefix+"partner-chain-ostschweiz", body)
}

func (f *smallFleet) sendAs(credential, body string) int {
	f.t.Helper()
	url := fmt.Sprintf("http://%s/v1/pipelines/%s/requests", f.entry.Addr(), testPool)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+credential)
	reply, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	_, _ = io.Copy(io.Discard, reply.Body)
	_ = reply.Body.Close()
	return reply.StatusCode
}

// logCounter is a log writer that counts bytes and lines and keeps the text.
type logCounter struct {
	mu    sync.Mutex
	bytes int
	lines int
	// text is nil if only sizes are needed.
	text *strings.Builder
}

// Write implements io.Writer for one log line per call.
func (c *logCounter) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += len(line)
	c.lines++
	if c.text != nil {
		c.text.Write(line)
	}
	return len(line), nil
}

// count returns the number of lines of an event.
func (c *logCounter) count(event string) int { return c.contains(`"event":"` + event + `"`) }

// decided returns the number of lines with a decision of the agent.
func (c *logCounter) decided(decision string) int { return c.contains(`"decision":"` + decision + `"`) }

func (c *logCounter) contains(part string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Count(c.text.String(), part)
}

func (c *logCounter) all() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}

func (c *logCounter) size() (lines, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lines, c.bytes
}

// vars reads the metrics of a process.
func (f *smallFleet) vars(debug net.Addr) map[string]json.RawMessage {
	f.t.Helper()
	reply, err := http.Get(fmt.Sprintf("http://%s/debug/vars", debug))
	assert.NilError(f.t, err)
	defer func() { _ = reply.Body.Close() }()
	vars := make(map[string]json.RawMessage)
	assert.NilError(f.t, json.NewDecoder(reply.Body).Decode(&vars))
	return vars
}

// section decodes one section of the metrics.
func section[T any](f *smallFleet, debug net.Addr, name string) T {
	f.t.Helper()
	var part T
	assert.NilError(f.t, json.Unmarshal(f.vars(debug)[name], &part))
	return part
}
