package load

import (
	"image"
	"image/png"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/bundle"
)

// syntheticReport returns a report with one second without requests and one
// without answers.
func syntheticReport(policy bundle.PolicyName, latency time.Duration) *Report {
	answered := Quantiles{Count: 8, P50: latency, P95: 3 * latency}
	return &Report{Deployment: "brunnhofer", Scenario: "burst", Policy: policy, Seed: 7, Timeline: []Second{
		{Sent: 10, InTime: 8, Latency: answered}, {}, {Sent: 10, Refused: 10}, {Sent: 10, InTime: 5, Latency: answered},
	}}
}

// renderPlot writes a plot to a file and decodes the file.
func renderPlot(t *testing.T, write func(io.Writer) error) image.Image {
	path := filepath.Join(t.TempDir(), "plot.png")
	file, err := os.Create(path)
	assert.NilError(t, err)
	assert.NilError(t, write(file))
	_, err = file.Seek(0, io.SeekStart)
	assert.NilError(t, err)
	picture, err := png.Decode(file)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	return picture
}

// showsRun reports whether both panels of a plot show the run's color. It leaves
// out the right quarter of the plot, which has the legends.
func showsRun(picture image.Image, run plottedRun) bool {
	want := picture.ColorModel().Convert(run.style.Color)
	bounds := picture.Bounds()
	var panels [2]bool
	for y := range bounds.Dy() {
		for x := range bounds.Dx() * 3 / 4 {
			if picture.At(x, y) == want {
				panels[y*2/bounds.Dy()] = true
			}
		}
	}
	return panels == [2]bool{true, true}
}

func TestPlots(t *testing.T) {
	report, baseline := syntheticReport("adaptive", 40*time.Millisecond), syntheticReport("naive", 90*time.Millisecond)
	run, baselineRun := plottedRun{style: runStyle}, plottedRun{style: baselineStyle}
	single := renderPlot(t, report.WritePlot)
	assert.Assert(t, showsRun(single, run) && !showsRun(single, baselineRun))
	for _, other := range []*Report{baseline, report} {
		both := renderPlot(t, Compare(report, other).WritePlot)
		assert.Assert(t, showsRun(both, run) && showsRun(both, baselineRun), "both runs must be visible, even with equal figures")
	}
	renderPlot(t, (&Report{Timeline: make([]Second, 1)}).WritePlot)
}

func TestLinesHaveGapsWhereNothingWasMeasured(t *testing.T) {
	seconds := syntheticReport("adaptive", time.Millisecond).Timeline
	attainment := splitAtGaps(seconds, attainmentAt)
	assert.Equal(t, len(attainment), 2)
	assert.Equal(t, attainment[0][0].Y, 80.0)
	assert.Equal(t, attainment[1][0].X, 2.5)
	assert.Equal(t, attainment[1][0].Y, 0.0)
	p95 := splitAtGaps(seconds, p95At)
	assert.Equal(t, len(p95), 2)
	assert.Equal(t, p95[1][0].X, 3.5)
	assert.Equal(t, p95[1][0].Y, 3.0)
}

func TestAxesHaveAFewLabels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		high := rapid.Float64Range(1e-3, 1e6).Draw(t, "high")
		ticks := roundTicks(0, high)
		assert.Assert(t, len(ticks) >= 4 && len(ticks) <= maxAxisSteps+1, "%v", ticks)
		assert.Equal(t, ticks[0].Label, "0")
		assert.Assert(t, ticks[len(ticks)-1].Value <= high)
	})
}
