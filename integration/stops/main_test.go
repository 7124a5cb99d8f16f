// Package stops counts what becomes of requests while gateways are stopped as planned.
package stops

import (
	"os"
	"testing"

	"github.com/mangostage/mangostage/internal/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }
