package load

import (
	"math"
	"strconv"

	"gonum.org/v1/plot"
)

const (
	// axisSteps is the number of steps between labels at which an axis is
	// still easy to read.
	axisSteps = 10
	// axisRoom is the share of an axis that stays free above the highest value.
	axisRoom = 0.05
)

// roundTicks labels an axis at multiples of 1, 2 or 5 times a power of ten.
func roundTicks(low, high float64) []plot.Tick {
	step := roundStep(high - low)
	var ticks []plot.Tick
	for n := math.Ceil(low / step); n*step <= high; n++ {
		ticks = append(ticks, plot.Tick{Value: n * step, Label: strconv.FormatFloat(n*step, 'g', 6, 64)})
	}
	return ticks
}

// roundStep is the smallest such multiple that divides a span into axisSteps at most.
func roundStep(span float64) float64 {
	least := span / axisSteps
	power := math.Pow10(int(math.Floor(math.Log10(least))))
	for _, factor := range []float64{1, 2, 5} {
		if factor*power >= least {
			return factor * power
		}
	}
	return 10 * power
}
