package metrics_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/metrics"
	"github.com/mangostage/mangostage/internal/rawhttp"
)

// Guards against a broken answer of a gateway that counts as its metrics.
func TestBrokenAnswersAreNoMetrics(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := rawhttp.StartCase(t, c, func(*http.Request) rawhttp.Answer { return rawhttp.Answer{Body: `{"log_lines_dropped":7}`} })
			var read metrics.Gateway
			assert.Assert(t, metrics.Read(t.Context(), s.Addr, &read) != nil, "%+v", read)
		})
	}
}
