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

// Sizes of a picture; those without a unit are in points.
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
	glyphRim    = vg.Length(1.25)
)

// maxGlyphs is the number of seconds up to which each has a dot; those of a
// longer run would touch.
const maxGlyphs = 60

// Styles of runs. The colors differ also for readers who don't see red and
// green. The baseline is drawn first and wider, so that it shows below a run
// with the same figures.
var (
	runStyle      = draw.LineStyle{Color: color.RGBA{G: 0x72, B: 0xb2, A: 0xff}, Width: 1.5}
	baselineStyle = draw.LineStyle{Color: color.RGBA{R: 0xf0, G: 0x9a, B: 0x4a, A: 0xff}, Width: 4}
)

// p95Dashes tell the 95th percentile from the median.
var p95Dashes = []vg.Length{5, 3}

// plotted is one run in a picture.
type plotted struct {
	name   string
	style  draw.LineStyle
	report *Report
}

// WritePlot writes a PNG of attainment and latency over the run's seconds.
func (r *Report) WritePlot(out io.Writer) error {
	return writePlot(out, plotted{string(r.Policy), runStyle, r})
}

// WritePlot writes a PNG of attainment and latency of both runs.
func (c *Comparison) WritePlot(out io.Writer) error {
	return writePlot(out,
		plotted{string(c.Baseline.Policy) + " (baseline)", baselineStyle, c.Baseline},
		plotted{string(c.Report.Policy), runStyle, c.Report})
}

// panel is one diagram of a picture with the legend beside it.
type panel struct {
	plot   *plot.Plot
	legend plot.Legend
}

func writePlot(out io.Writer, runs ...plotted) error {
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
		beside := tiles.At(c, 0, i)
		beside.Min.X = diagrams.Max.X
		p.legend.Draw(beside)
	}
}

func attainmentPanel(runs []plotted) (*panel, error) {
	p := newPanel(timeDue, "Attainment (% of requests)")
	p.plot.Y.Max = percent
	for _, run := range runs {
		if err := addLine(p, run.name, run.style, run.report.Timeline, attainmentOf); err != nil {
			return nil, err
		}
	}
	p.plot.Y.Max *= 1 + axisRoom
	return p, nil
}

func latencyPanel(runs []plotted) (*panel, error) {
	p := newPanel(timeDue, "Latency of answers (ms)")
	for _, run := range runs {
		if err := addLine(p, run.name+" p50", run.style, run.report.Timeline, medianOf); err != nil {
			return nil, err
		}
		style := run.style
		style.Dashes = p95Dashes
		if err := addLine(p, run.name+" p95", style, run.report.Timeline, p95Of); err != nil {
			return nil, err
		}
	}
	p.plot.Y.Max *= 1 + axisRoom
	return p, nil
}

// attainmentOf is a figure: one second's value; false if nothing was measured.
func attainmentOf(s *Second) (float64, bool) {
	return percent * share(float64(s.InTime), float64(s.Sent)), s.Sent > 0
}

func medianOf(s *Second) (float64, bool) { return milliseconds(s.Latency.P50), s.Latency.Count > 0 }

func p95Of(s *Second) (float64, bool) { return milliseconds(s.Latency.P95), s.Latency.Count > 0 }

// timeDue labels the axis of figures that count requests by when they were due.
const timeDue = "Time when requests were due, after the warm-up (s)"

// newPanel makes an empty diagram over the seconds of a run.
func newPanel(axis, unit string) *panel {
	p := &panel{plot: plot.New(), legend: plot.NewLegend()}
	p.plot.X.Label.Text = axis
	p.plot.Y.Label.Text = unit
	p.plot.X.Min, p.plot.Y.Min = 0, 0
	p.plot.X.Tick.Marker, p.plot.Y.Tick.Marker = plot.TickerFunc(roundTicks), plot.TickerFunc(roundTicks)
	p.legend.Top, p.legend.Left, p.legend.Padding = true, true, legendGap
	sans(titleSize, &p.plot.Title.TextStyle)
	sans(labelSize, &p.plot.X.Label.TextStyle, &p.plot.Y.Label.TextStyle, &p.legend.TextStyle)
	sans(tickSize, &p.plot.X.Tick.Label, &p.plot.Y.Tick.Label)
	p.plot.Add(plotter.NewGrid())
	return p
}

// sans sets a font without serifs.
func sans(size vg.Length, styles ...*text.Style) {
	for _, s := range styles {
		s.Font = font.Font{Typeface: s.Font.Typeface, Variant: "Sans", Size: size}
	}
}

// addLine draws a figure as a line that is interrupted where nothing was measured.
func addLine[S any](p *panel, name string, style draw.LineStyle, seconds []S, value func(*S) (float64, bool)) error {
	glyph := draw.GlyphStyle{Color: style.Color, Radius: style.Width/2 + glyphRim, Shape: draw.CircleGlyph{}}
	for _, points := range unbroken(seconds, value) {
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

// unbroken splits a timeline where nothing was measured. A second's point lies
// in its middle.
func unbroken[S any](seconds []S, value func(*S) (float64, bool)) []plotter.XYs {
	const middle = 0.5
	var lines []plotter.XYs
	broken := true
	for i := range seconds {
		y, ok := value(&seconds[i])
		if ok && broken {
			lines = append(lines, nil)
		}
		broken = !ok
		if ok {
			last := &lines[len(lines)-1]
			*last = append(*last, plotter.XY{X: float64(i) + middle, Y: y})
		}
	}
	return lines
}
