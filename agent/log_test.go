package agent

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
)

var allVerdicts = []Verdict{
	VerdictStarted, VerdictQueued, VerdictJoined, VerdictReplayed, VerdictRefused, VerdictUnknown,
	VerdictRevoked, VerdictDone, VerdictFailed, VerdictLost, VerdictExpired,
}

func TestRefusalsAreAlwaysLogged(t *testing.T) {
	for _, only := range []bool{false, true} {
		for _, v := range allVerdicts {
			var out bytes.Buffer
			a := New(Config{Log: zerolog.New(&out), RefusalsOnly: only})
			a.logDecision(Decision{Verdict: v, Reason: api.ReasonDeadline})
			logged := strings.Contains(out.String(), `"event":"call","decision":"`+string(v)+`"`)
			assert.Equal(t, logged, !only || !routineDecisions[v], "%s with refusals only %v", v, only)
			assert.Equal(t, strings.Contains(out.String(), `"level":"warn"`), !routineDecisions[v], v)
		}
	}
}

// BenchmarkLogDecision measures logging one decision.
func BenchmarkLogDecision(b *testing.B) {
	for name, only := range map[string]bool{"all": false, "refusals": true} {
		b.Run(name, func(b *testing.B) {
			var out countingWriter
			a := New(Config{Log: zerolog.New(&out), RefusalsOnly: only})
			d := Decision{Verdict: VerdictStarted, Account: "shop"}
			d.ID.Request, d.ID.Stage, d.ID.Entry, d.ID.Attempt = strings.Repeat("r", 110), "catalogue", strings.Repeat("e", 44), 1
			for b.Loop() {
				a.logDecision(d)
			}
			b.ReportMetric(float64(out)/float64(b.N), "log-B/op")
		})
	}
}

type countingWriter int

// Write counts the bytes.
func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}
