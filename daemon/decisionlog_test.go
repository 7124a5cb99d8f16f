package daemon

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/settings"
)

// An operator turns routine decisions off to save log volume. A support
// engineer must still find every refusal in the log, the agent's and the
// entry's, and must not meet what the operator turned off.
func TestDecisionLogNeverHidesRefusals(t *testing.T) {
	for _, mode := range []string{settings.DecisionLogAll, settings.DecisionLogRefusals} {
		t.Run(mode, func(t *testing.T) {
			f := startFleet(t, "--decision-log", mode)
			assert.Equal(t, f.send(someInput), http.StatusOK)
			routine := 0
			if mode == settings.DecisionLogAll {
				routine = 1
			}
			assert.Equal(t, f.log.count("route"), routine)
			assert.Equal(t, f.log.decided("started"), routine)
			f.endpoint.Close()
			// The first one meets the endpoint gone, or its agent already knows.
			assert.Equal(t, f.send(someInput), http.StatusServiceUnavailable)
			assert.Equal(t, f.log.count("refused"), 1)
			if mode == settings.DecisionLogRefusals {
				assert.Equal(t, f.log.count("call"), f.log.decided("refused"))
			}
		})
	}
}

// BenchmarkDecisionLog measures whole requests, from the caller through entry
// and agent to a stand-in and back, and what they write to the logs.
func BenchmarkDecisionLog(b *testing.B) {
	for _, mode := range []string{settings.DecisionLogAll, settings.DecisionLogRefusals} {
		b.Run(mode, func(b *testing.B) {
			f := startFleet(b, "--decision-log", mode)
			f.log.text = nil
			f.send(someInput)
			lines, bytes := f.log.size()
			for b.Loop() {
				if status := f.send(someInput); status != http.StatusOK {
					b.Fatalf("status %d", status)
				}
			}
			linesNow, bytesNow := f.log.size()
			b.ReportMetric(float64(bytesNow-bytes)/float64(b.N), "log-B/op")
			b.ReportMetric(float64(linesNow-lines)/float64(b.N), "log-lines/op")
		})
	}
}
