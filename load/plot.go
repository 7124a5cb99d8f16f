package load

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Sizes of a plot; those without a unit are in points.
const (
	plotWidth   = 10 * vg.Inch
	panelHeight = 3.5 * vg.Inch
	legendWidth = 2 * vg.Inch
	plotMargin  = vg.Length(10)
	plotPadding = vg.Length(14)
	titleSize   = vg.Length(13)
	labelSize   = vg.Length(11)
	tickSize    = vg.Length(10)
	legendGap   = vg.Length(5)
	glyphMargin = vg.Length(1.25)
)

// maxGlyphs is the length of a run in seconds up to which each second gets a dot.
// The dots of a longer run would touch.
const maxGlyphs = 60

// Styles of runs. The colors can be told apart with red-green color blindness.
// The baseline is drawn first and wider, so that it stays visible below a run
// with the same figures.
var (
	runStyle      = draw.LineStyle{Color: color.RGBA{G: 0x72, B: 0xb2, A: 0xff}, Width: 1.5}
	baselineStyle = draw.LineStyle{Color: color.RGBA{R: 0xf0, G: 0x9a, B: 0x4a, A: 0xff}, Width: 4}
)

// p95Dashes is the dash pattern of the 95th percentile; the median has a solid
// line.
var p95Dashes = []vg.Length{5, 3}

// plottedRun is one run in a plot.
type plottedRun struct {
	name   string
	style  draw.LineStyle
	report *Report
}

// WritePlot writes a PNG of attainment and latency over the time of the run.
func (r *Report) WritePlot(out io.Writer) error {
	return writePlot(out, plottedRun{string(r.Policy), runStyle, r})
}

// WritePlot writes a PNG of attainment and latency over the time of both runs.
func (c *Comparison) WritePlot(out io.Writer) error {
	return writePlot(out,
		plottedRun{string(c.Baseline.Policy) + " (baseline)", baselineStyle, c.Baseline},
		plottedRun{string(c.Report.Policy), runStyle, c.Report})
}

// panel is one diagram of a plot with the legend beside it.
type panel struct {
	plot   *plot.Plot
	legend plot.Legend
}

func writePlot(out io.Writer, runs ...plottedRun) error {
	attainment, err := attainmentPanel(runs)
	if err != nil {
		return err
	}
	latency, err := latencyPanel(runs)
	if err != nil {
		return err
	}
	r := runs[0].report
	attainment.plot.Title.Text = fmt.Sprintf("%s, %s, seed %d", r.Deployment, r.Scenario, r.Seed)
	return writePanels(out, panelHeight, attainment, latency)
}

// writePanels writes a PNG of panels below each other.
func writePanels(out io.Writer, height vg.Length, panels ...*panel) error {
	canvas := vgimg.New(plotWidth, height*vg.Length(len(panels)))
	drawPanels(draw.New(canvas), panels...)
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(out)
	return err
}

// drawPanels draws panels below each other, their axes aligned.
func drawPanels(c draw.Canvas, panels ...*panel) {
	tiles := draw.Tiles{
		Rows: len(panels), Cols: 1, PadY: plotPadding,
		PadTop: plotMargin, PadBottom: plotMargin, PadLeft: plotMargin, PadRight: plotMargin,
	}
	grid := make([][]*plot.Plot, 0, len(panels))
	for _, p := range panels {
		grid = append(grid, []*plot.Plot{p.plot})
	}
	diagrams := draw.Crop(c, 0, -legendWidth, 0, 0)
	aligned := plot.Align(grid, tiles, diagrams)
	for i, p := range panels {
		p.plot.Draw(aligned[i][0])
		legendArea := tiles.At(c, 0, i)
		legendArea.Min.X = diagrams.Max.X
		p.legend.Draw(legendArea)
	}
}

func attainmentPanel(runs []plottedRun) (*panel, error) {
	p := newPanel(dueTimeLabel, "Attainment (% of requests)")
	p.plot.Y.Max = percent
	for _, run := range runs {
		if err := addLine(p, run.name, run.style, run.report.Timeline, attainmentAt); err != nil {
			return nil, err
		}
	}
	p.plot.Y.Max *= 1 + axisHeadroom
	return p, nil
}

func latencyPanel(runs []plottedRun) (*panel, error) {
	p := newPanel(dueTimeLabel, "Latency of answers (ms)")
	for _, run := range runs {
		if err := addLine(p, run.name+" p50", run.style, run.report.Timeline, medianAt); err != nil {
			return nil, err
		}
		style := run.style
		style.Dashes = p95Dashes
		if err := addLine(p, run.name+" p95", style, run.report.Timeline, p95At); err != nil {
			return nil, err
		}
	}
	p.plot.Y.Max *= 1 + axisHeadroom
	return p, nil
}

// attainmentAt returns the attainment of one second in percent; false if no request
// was due in it.
func attainmentAt(s *Second) (float64, bool) {
	return percent * fraction(float64(s.InTime), float64(s.Sent)), s.Sent > 0
}

// medianAt returns the median latency of one second in milliseconds; false if
// there was no answer.
func medianAt(s *Second) (float64, bool) { return milliseconds(s.Latency.P50), s.Latency.Count > 0 }

// p95At returns the 95th percentile of latency of one second in milliseconds;
// false if there was no answer.
func p95At(s *Second) (float64, bool) { return milliseconds(s.Latency.P95), s.Latency.Count > 0 }

// dueTimeLabel is the label of the time axis of figures that count requests by
// their due time.
const dueTimeLabel = "Time when requests were due, after the warm-up (s)"

// newPanel returns an empty diagram over the seconds of a run. The parameters are
// the labels of its axes.
func newPanel(axis, unit string) *panel {
	p := &panel{plot: plot.New(), legend: plot.NewLegend()}
	p.plot.X.Label.Text = axis
	p.plot.Y.Label.Text = unit
	p.plot.X.Min, p.plot.Y.Min = 0, 0
	p.plot.X.Tick.Marker, p.plot.Y.Tick.Marker = plot.TickerFunc(roundTicks), plot.TickerFunc(roundTicks)
	p.legend.Top, p.legend.Left, p.legend.Padding = true, true, legendGap
	setSansFont(titleSize, &p.plot.Title.TextStyle)
	setSansFont(labelSize, &p.plot.X.Label.TextStyle, &p.plot.Y.Label.TextStyle, &p.legend.TextStyle)
	setSansFont(tickSize, &p.plot.X.Tick.Label, &p.plot.Y.Tick.Label)
	p.plot.Add(plotter.NewGrid())
	return p
}

// setSansFont sets a sans-serif font of a size.
func setSansFont(size vg.Length, styles ...*text.Style) {
	for _, s := range styles {
		s.Font = font.Font{Typeface: s.Font.Typeface, Variant: "Sans", Size: size}
	}
}

// addLine adds the line of a figure to a panel. value returns the figure of one
// second; where it returns false, nothing was measured and the line has a gap.
func addLine[S any](p *panel, name string, style draw.LineStyle, seconds []S, value func(*S) (float64, bool)) error {
	glyph := draw.GlyphStyle{Color: style.Color, Radius: style.Width/2 + glyphMargin, Shape: draw.CircleGlyph{}}
	for _, points := range splitAtGaps(seconds, value) {
		line, glyphs, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.LineStyle, glyphs.GlyphStyle = style, glyph
		p.plot.Add(line)
		if len(seconds) <= maxGlyphs || len(points) == 1 {
			p.plot.Add(glyphs)
		}
	}
	p.plot.X.Max = max(p.plot.X.Max, float64(len(seconds)))
	p.legend.Add(name, &plotter.Line{LineStyle: style})
	return nil
}

// splitAtGaps returns the points of the stretches of a timeline in which every
// second was measured. The point of a second is in its middle.
func splitAtGaps[S any](seconds []S, value func(*S) (float64, bool)) []plotter.XYs {
	const middle = 0.5
	var lines []plotter.XYs
	inGap := true
	for i := range seconds {
		y, ok := value(&seconds[i])
		if ok && inGap {
			lines = append(lines, nil)
		}
		inGap = !ok
		if ok {
			last := &lines[len(lines)-1]
			*last = append(*last, plotter.XY{X: float64(i) + middle, Y: y})
		}
	}
	return lines
}
