package harness

import (
	"testing"
)

// NewProcess starts a program and ends it with the test. env is added to the
// test's own environment.
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

// NewLink returns a link to upstream, "ip:port", and the address to dial
// instead; it is closed with the test.
func NewLink(t testing.TB, name, upstream string) (link *Link, address string) {
	t.Helper()
	p, err := newProxy(newProxyServer(), name, upstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	return &Link{t: t, proxies: []*proxy{p}}, p.address
}

// FreePort reserves an address on loopback for a process of the test.
func FreePort(t testing.TB) string {
	t.Helper()
	address, release, err := reservePort()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return address
}
