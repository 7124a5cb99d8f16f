package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// A route is split between an old and a new service. Requests must follow the
// weights, whatever their scale, and none may go to a service of weight 0.
func TestPickService(t *testing.T) {
	const requests = 20000
	tests := map[string]struct {
		weights []float64
		// want is the share of the requests of each service.
		want []float64
	}{
		"one":             {[]float64{1}, []float64{1}},
		"percent":         {[]float64{90, 10}, []float64{0.9, 0.1}},
		"fractions":       {[]float64{0.25, 0.75}, []float64{0.25, 0.75}},
		"moved away":      {[]float64{0, 1}, []float64{0, 1}},
		"not begun":       {[]float64{1, 0}, []float64{1, 0}},
		"no weights":      {[]float64{0, 0}, []float64{1, 0}},
		"negative weight": {[]float64{-5, 1}, []float64{0, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &catalog.Route{}
			for i, w := range test.weights {
				r.Split = append(r.Split, catalog.Share{Service: fmt.Sprint(i), Weight: w})
			}
			got := make(map[string]int)
			for i := range requests {
				id := fmt.Sprintf("request-%d", i)
				service := pickService(r, id)
				assert.Equal(t, service, pickService(r, id), "the choice must not change between attempts")
				got[service]++
			}
			for i, want := range test.want {
				share := float64(got[fmt.Sprint(i)]) / requests
				assert.Assert(t, share > want-0.02 && share < want+0.02, "service %d has %v, want %v", i, share, want)
				if want == 0 {
					assert.Equal(t, share, 0.0)
				}
			}
		})
	}
}
