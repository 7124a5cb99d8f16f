package harness

import (
	"testing"
)

// NewProcess starts a program that is ended at the end of the test. Its
// environment is that of the test process plus env.
func NewProcess(t testing.TB, name, binary string, args, env []string) *Process {
	t.Helper()
	p := &Process{Name: name, VM: name, t: t, binary: binary, args: args, env: env}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.terminate()
		p.reap()
	})
	return p
}

// NewLink returns a link to upstream ("ip:port") and the address to dial instead.
// The link is closed at the end of the test.
func NewLink(t testing.TB, name, upstream string) (link *Link, address string) {
	t.Helper()
	p, err := newProxy(newProxyServer(), name, upstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	return &Link{t: t, proxies: []*proxy{p}}, p.address
}

// FreePort reserves a loopback address for a process until the end of the test.
func FreePort(t testing.TB) string {
	t.Helper()
	address, release, err := reservePort()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return address
}
