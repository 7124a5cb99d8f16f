package daemon

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/settings"
)

// With --decision-log refusals, routine decisions are left out of the log to save
// volume. Every refusal by the agent and by the entry must still be logged, and no
// routine decision.
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
			// The call fails, or the agent already knows that the endpoint is gone.
			assert.Equal(t, f.send(someInput), http.StatusServiceUnavailable)
			assert.Equal(t, f.log.count("refused"), 1)
			if mode == settings.DecisionLogRefusals {
				assert.Equal(t, f.log.count("call"), f.log.decided("refused"))
			}
		})
	}
}

// BenchmarkDecisionLog measures whole requests, from the caller through entry
// and agent to a fake endpoint and back, and the log volume that they cause.
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
