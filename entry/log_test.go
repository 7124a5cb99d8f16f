package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/pipeline"
)

func TestChoicesWithoutAnEndpointAreAlwaysLogged(t *testing.T) {
	for _, only := range []bool{false, true} {
		for _, endpoint := range []string{"", "catalogue-1"} {
			var out bytes.Buffer
			e := New(Config{Log: zerolog.New(&out), RefusalsOnly: only})
			e.logDecision(pipeline.Log{Endpoint: endpoint})
			assert.Equal(t, out.Len() > 0, !only || endpoint == "")
		}
	}
}

func TestEveryOutcomeButAnAnswerHasAnEvent(t *testing.T) {
	for _, o := range []api.Outcome{api.OutcomeRefused, api.OutcomeCutShort, api.OutcomeUnknown} {
		var out bytes.Buffer
		e := New(Config{Log: zerolog.New(&out), RefusalsOnly: true})
		e.logProblem("shop", "catalogue", &api.Problem{Outcome: o, Reason: api.ReasonDeadline})
		assert.Assert(t, strings.Contains(out.String(), `"event":"`+string(o)+`"`), out.String())
	}
}
