// Package crash holds the tests with real gateways before endpoints that some content
// crashes.
package crash

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// recoveryTimeout bounds each wait for processes that start or recover.
const recoveryTimeout = 30 * time.Second

// startMember starts a gateway process that joins the fleet of the seeds.
func startMember(t *testing.T, name, peerAddr, frontend, store string, seeds ...string) *harness.Process {
	t.Helper()
	file := filepath.Join(t.TempDir(), "boot.toml")
	text := standin.NodeFile(platform.Settings{
		Name: name, Domain: "z0", IP: "127.0.0.1", Cores: 1, Frontend: frontend, Ready: harness.FreePort(t),
		Peer: peerAddr, Store: store, Seeds: seeds,
		Bounds: platform.Bounds{
			Drain: 2 * time.Second, Grace: 6 * time.Second, ConfigApply: 2 * time.Second,
			RetryRatio: 0.5, RetryWindow: 10 * time.Second, RetrySlack: 50,
		},
	})
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return harness.NewProcess(t, name, harness.Binary(t, "mangostage-gateway", true),
		[]string{"--metrics-port", "0"}, []string{platform.SettingsVariable + "=" + file})
}

// listenHTTP serves h on a loopback address until the end of the test.
func listenHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: recoveryTimeout}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// waitUntil waits until d after since. Tests use it to check limits on time.
func waitUntil(since time.Time, d time.Duration) {
	timer := time.NewTimer(time.Until(since.Add(d)))
	<-timer.C
}
