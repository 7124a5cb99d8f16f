// Command mangostage-entry accepts requests from clients and runs their pipelines.
package main

import (
	"os"

	"github.com/mangostage/mangostage/daemon"
	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/settings"
	"github.com/mangostage/mangostage/wire"
)

func main() {
	var s settings.Entry
	os.Exit(daemon.Main("mangostage-entry", &s, func(findings *finding.List) (daemon.Stopper, error) {
		loaded := s.Load(findings)
		s.Check(findings)
		if len(*findings) > 0 {
			return nil, nil
		}
		log := daemon.NewLog(os.Stderr, loaded.LogLevel, wire.Process{Name: s.VM, Domain: s.Domain})
		return daemon.StartEntry(s, loaded, log)
	}))
}
