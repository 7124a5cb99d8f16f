package load

import (
	"math"
	"strconv"

	"gonum.org/v1/plot"
)

const (
	// maxAxisSteps is the maximum number of steps between the labels of an axis;
	// more labels would be hard to read.
	maxAxisSteps = 10
	// axisHeadroom is the free space above the highest value, as a fraction of it.
	axisHeadroom = 0.05
)

// roundTicks returns ticks at the multiples of a step that is 1, 2 or 5 times a
// power of ten.
func roundTicks(low, high float64) []plot.Tick {
	step := roundStep(high - low)
	var ticks []plot.Tick
	for n := math.Ceil(low / step); n*step <= high; n++ {
		ticks = append(ticks, plot.Tick{Value: n * step, Label: strconv.FormatFloat(n*step, 'g', 6, 64)})
	}
	return ticks
}

// roundStep returns the smallest step of this form that divides an axis of the
// given length into maxAxisSteps steps at most.
func roundStep(length float64) float64 {
	minStep := length / maxAxisSteps
	power := math.Pow10(int(math.Floor(math.Log10(minStep))))
	for _, factor := range []float64{1, 2, 5} {
		if factor*power >= minStep {
			return factor * power
		}
	}
	return 10 * power
}
