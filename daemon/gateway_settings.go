package daemon

import (
	"context"
	"time"
)

// watchSettings reads the platform's settings file again on SIGHUP.
func (g *Gateway) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reloadSignals:
			g.rereadSettings()
		}
	}
}

// rereadSettings reads the platform's settings file again and puts the grace that it names into
// force. All other values are fixed while the process runs. A file with findings changes nothing.
func (g *Gateway) rereadSettings() {
	now, findings := g.options.Reread()
	if len(findings) > 0 {
		g.log.Warn().Str("event", logSettingsRead).Err(findings.Err()).Msg("the settings file has findings")
		return
	}
	g.grace.Store(int64(now.Bounds.Grace))
	fixed := now
	fixed.Bounds.Grace = g.loaded.Platform.Bounds.Grace
	g.log.Info().Str("event", logSettingsRead).Bool("changed", !now.Equal(g.loaded.Platform)).
		Bool("needs_restart", !fixed.Equal(g.loaded.Platform)).Dur("grace_ms", now.Bounds.Grace).Msg("re-read the settings file")
}

// currentGrace returns the time between SIGTERM and SIGKILL. It reads the settings file again:
// that changes without a signal, too.
func (g *Gateway) currentGrace() time.Duration {
	g.rereadSettings()
	return time.Duration(g.grace.Load())
}
