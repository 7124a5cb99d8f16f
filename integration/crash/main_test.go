// Package crash holds the tests with real gateways before endpoints that some content
// crashes.
package crash

import (
	"os"
	"testing"
	"time"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/platform"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// recoveryTimeout bounds each wait for processes that start or recover.
const recoveryTimeout = 30 * time.Second

// memberGrace is the time that gateways have to stop.
const memberGrace = 6 * time.Second

// startMember starts a gateway process that joins the fleet of the seeds.
func startMember(t *testing.T, name, peerAddr, frontend, store string, seeds ...string) *harness.Process {
	t.Helper()
	return harness.StartGateway(t, platform.Settings{
		Name: name, Frontend: frontend, Peer: peerAddr, Store: store, Seeds: seeds, Bounds: harness.GatewayBounds(memberGrace),
	})
}

// waitUntil waits until d after since. Tests use it to check limits on time.
func waitUntil(since time.Time, d time.Duration) {
	timer := time.NewTimer(time.Until(since.Add(d)))
	<-timer.C
}
