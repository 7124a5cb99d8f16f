// Package streams holds the tests with real gateways before endpoints that stream.
package streams

import (
	"os"
	"testing"
	"time"

	"github.com/mangostage/mangostage/internal/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

const (
	// recoveryTimeout bounds each wait for processes that start or recover.
	recoveryTimeout = 30 * time.Second
	// memberGrace is the time that gateways have to stop.
	memberGrace = 4 * time.Second
)
