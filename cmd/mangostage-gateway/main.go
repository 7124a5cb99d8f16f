// Command mangostage-gateway serves client requests on the users' platform.
package main

import (
	"C" // links the C library, which the platform's machines need
	"os"
	"runtime/debug"

	"github.com/mangostage/mangostage/daemon"
	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/internal/logsink"
	"github.com/mangostage/mangostage/settings"
)

// gcPercent is below the default of 100 to keep the heap small: on the platform,
// peak memory costs more than the time of a few more collections of some megabytes.
const gcPercent = 60

func main() {
	debug.SetGCPercent(gcPercent)
	var s settings.Gateway
	os.Exit(daemon.Main("mangostage-gateway", &s, func(findings *finding.List) (daemon.Stopper, error) {
		loaded := s.Load(findings)
		if len(*findings) > 0 {
			return nil, nil
		}
		return daemon.StartGateway(s, loaded, logsink.New(os.Stdout))
	}))
}
