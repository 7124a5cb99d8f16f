package settings

import (
	"net/netip"
	"os"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/platform"
)

// Gateway holds the settings of mangostage-gateway. Its addresses and its
// failure domain come from the platform's settings file.
type Gateway struct {
	NodeFile    string `arg:"--node-file,env:MANGOSTAGE_NODE_FILE" help:"settings file of the users' platform"`
	LogLevel    string `arg:"--log-level,env:MANGOSTAGE_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	Advertise   string `arg:"--advertise,env:MANGOSTAGE_ADVERTISE" help:"ip:port at which peers reach this process, if that is another address than the one it listens on"`
	QueueShares bool   `arg:"--queue-shares,env:MANGOSTAGE_QUEUE_SHARES" default:"true" help:"divide the room of stage queues among client accounts, if two or more are configured, while it is short"`
	MetricsPort int    `arg:"--metrics-port,env:MANGOSTAGE_METRICS_PORT" default:"9464" help:"port of /metrics on this VM's address; 0 for none"`
}

// LoadedGateway holds the parsed and checked values of a Gateway's settings.
type LoadedGateway struct {
	Platform platform.Settings
	LogLevel zerolog.Level
}

// Load checks g, reads the platform's settings file and adds what is wrong to
// findings. The result is only valid if it added none.
func (g *Gateway) Load(findings *finding.List) LoadedGateway {
	var loaded LoadedGateway
	if g.NodeFile == "" {
		findings.Add(flagPlace("--node-file"), "is missing; %s names it too", platform.SettingsVariable)
	} else {
		loaded.Platform = platform.LoadSettings(g.NodeFile, findings)
	}
	if g.MetricsPort < 0 || g.MetricsPort > 65535 {
		findings.Add(flagPlace("--metrics-port"), "%d is no port", g.MetricsPort)
	}
	if g.Advertise != "" {
		if _, err := netip.ParseAddrPort(g.Advertise); err != nil {
			findings.Add(flagPlace("--advertise"), "%q is no ip:port: %v", g.Advertise, err)
		}
	}
	level, err := zerolog.ParseLevel(g.LogLevel)
	if err != nil {
		findings.Add(flagPlace("--log-level"), "%v", err)
	}
	loaded.LogLevel = level
	return loaded
}

// Reread reads the platform's settings file again. The findings list what is wrong with it; the
// settings are only valid if there are none.
func (g *Gateway) Reread() (now platform.Settings, findings finding.List) {
	if _, err := os.Stat(g.NodeFile); err != nil {
		findings.Add(flagPlace("--node-file"), "%v", err)
		return now, findings
	}
	now = platform.LoadSettings(g.NodeFile, &findings)
	return now, findings
}
