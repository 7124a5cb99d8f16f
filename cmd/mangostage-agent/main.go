// Command mangostage-agent runs next to one endpoint, and all calls to the endpoint
// go through it.
package main

import (
	"os"

	"github.com/mangostage/mangostage/daemon"
	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/settings"
	"github.com/mangostage/mangostage/wire"
)

func main() {
	var s settings.Agent
	os.Exit(daemon.Main("mangostage-agent", &s, func(findings *finding.List) (daemon.Stopper, error) {
		loaded := s.Load(findings)
		s.Check(findings)
		if len(*findings) > 0 {
			return nil, nil
		}
		log := daemon.NewLog(os.Stderr, loaded.LogLevel, wire.Process{Name: s.Endpoint, Domain: s.Domain})
		return daemon.StartAgent(s, loaded, log)
	}))
}
