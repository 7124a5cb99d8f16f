package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLaggingOwnerAdmitsLess guards against an overloaded owner that admits jobs
// as on time which then end late.
func TestLaggingOwnerAdmitsLess(t *testing.T) {
	tight := testJob("a")
	tight.Objective = 900 * time.Millisecond
	for name, test := range map[string]struct {
		lags []time.Duration
		late bool
	}{
		"keeps up":      {nil, false},
		"one pause":     {[]time.Duration{time.Hour}, false},
		"always late":   {repeated(300*time.Millisecond, 100), true},
		"caught up":     {append(repeated(300*time.Millisecond, 100), repeated(0, 100)...), false},
		"absurd clocks": {repeated(-time.Hour, 100), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := New("test", nil, nil)
			c.SetView(epoch, testView([]string{"north"}, 4))
			for _, lag := range test.lags {
				c.ObserveLag(lag)
			}
			assert.NilError(t, c.Submit(epoch, tight))
			assert.Equal(t, c.jobs["a"].late, test.late, "lag %v", c.lag)
		})
	}
}

func repeated(d time.Duration, n int) []time.Duration {
	var all []time.Duration
	for range n {
		all = append(all, d)
	}
	return all
}
