package harness

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// readHeaderTimeout bounds the wait of a served stand-in for the head of a request.
	readHeaderTimeout = 30 * time.Second
	// probeTimeout bounds a readiness check.
	probeTimeout = time.Second
)

// GatewayBounds are the bounds of the platform for gateways under test.
func GatewayBounds(grace time.Duration) platform.Bounds {
	return platform.Bounds{
		Drain: 2 * time.Second, Grace: grace, ConfigApply: 2 * time.Second,
		RetryRatio: 0.5, RetryWindow: 10 * time.Second, RetrySlack: 50,
	}
}

// StartGateway starts a gateway process with the settings. The failure domain, the address
// and the cores have defaults. args are further arguments of its command.
func StartGateway(t testing.TB, s platform.Settings, args ...string) *Process {
	t.Helper()
	s.IP = "127.0.0.1"
	if s.Cores == 0 {
		s.Cores = 1
	}
	if s.Domain == "" {
		s.Domain = "z0"
	}
	if s.Ready == "" {
		s.Ready = FreePort(t)
	}
	file := filepath.Join(t.TempDir(), "boot.toml")
	if err := os.WriteFile(file, []byte(standin.NodeFile(s)), 0o600); err != nil {
		t.Fatal(err)
	}
	// With the race detector a process and its streams go on for a second after its end.
	const withoutRaceDetector = true
	return NewProcess(t, s.Name, Binary(t, "mangostage-gateway", withoutRaceDetector),
		append([]string{"--metrics-port", "0"}, args...), []string{platform.SettingsVariable + "=" + file})
}

// IsReady reports whether a gateway answers on its readiness address, ready, that it is ready, as
// the platform's load balancer finds out.
func IsReady(ready string) bool {
	client := &http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP serves h on a loopback address until the end of the test.
func ServeHTTP(t testing.TB, h http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}
