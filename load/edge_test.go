package load

import (
	"context"
	"errors"
	"image"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/catalog"
)

func edgeConfig(t *testing.T, scenario string) EdgeConfig {
	t.Helper()
	s, err := FindEdgeScenario(scenario)
	assert.NilError(t, err)
	return EdgeConfig{Gateways: 2, Duration: time.Second, Rate: 20, Scenario: s, Seed: 5, Log: io.Discard}
}

// outcomeCount returns the sum of a group's outcomes.
func outcomeCount(g Group) int {
	return g.InTime + g.Late + g.Refused + g.CutShort + g.Unknown + g.Failed + g.Wrong
}

// checkEdge checks what must hold for every run, however busy the machine is.
func checkEdge(t *testing.T, cfg EdgeConfig, r *EdgeReport) {
	t.Helper()
	assert.Equal(t, r.Total.Sent, len(Schedule(cfg.plan())))
	assert.Equal(t, outcomeCount(r.Total), r.Total.Sent, "each request must have exactly one outcome")
	assert.Equal(t, r.Total.Wrong, 0, "%v", r.Wrong)
	assert.Equal(t, len(r.Timeline), int(cfg.Duration/time.Second))
	sent := 0
	for _, s := range r.Timeline {
		sent += s.Sent
	}
	assert.Equal(t, sent, r.Total.Sent)
}

func TestEdgeRunsGiveEachRequestOneOutcome(t *testing.T) {
	for _, naive := range []bool{false, true} {
		cfg := edgeConfig(t, "calm")
		cfg.Naive = naive
		r, err := RunEdge(context.Background(), cfg)
		assert.NilError(t, err)
		checkEdge(t, cfg, r)
		assert.Assert(t, r.Total.InTime > 0 && r.Timeline[0].readings > 0 && r.Timeline[0].places > 0)
	}
}

// Runs with crashes of an engine and a worker, with an evacuated failure domain,
// and with restarts of both gateways. Requests in flight may be cut off, but each
// request must have exactly one outcome, and none may get another's answer.
func TestEdgeRunsWithFaults(t *testing.T) {
	for _, scenario := range []string{"endpoint-crash", "evacuation", "request-rate", "backoff", "departure", "store-return", "crash-content", "crash-part", "versions", "stops"} {
		cfg := edgeConfig(t, scenario)
		cfg.Duration = 3 * time.Second
		r, err := RunEdge(context.Background(), cfg)
		assert.NilError(t, err)
		checkEdge(t, cfg, r)
	}
}

func TestEdgeRunsAreBounded(t *testing.T) {
	good := edgeConfig(t, "burst")
	assert.NilError(t, good.Check())
	for _, change := range []func(*EdgeConfig){
		func(c *EdgeConfig) { c.Gateways = 0 },
		func(c *EdgeConfig) { c.Gateways = MaxEdgeGateways + 1 },
		func(c *EdgeConfig) { c.Duration = 0 },
		func(c *EdgeConfig) { c.Duration = MaxEdgeDuration + 1 },
		func(c *EdgeConfig) { c.Rate = 0 },
		func(c *EdgeConfig) { c.Rate = MaxEdgeRate + 1 },
	} {
		bad := good
		change(&bad)
		_, err := RunEdge(context.Background(), bad)
		assert.Assert(t, cmp.ErrorContains(err, "load.plan"))
	}
	_, err := FindEdgeScenario("gale")
	assert.ErrorContains(t, err, "known: calm, burst, slow-endpoint, endpoint-crash, evacuation, request-rate, backoff, departure, store-return, crash-content, crash-part, versions, stops")
}

func TestEdgeCallsDependOnlyOnTheSeed(t *testing.T) {
	cfg := edgeConfig(t, "burst")
	target := newEdgeTarget(cfg.Seed, []catalog.Route{{Name: "advice", Prefix: "/advice/"}, {Name: "stock", Prefix: "/stock/"}}, nil)
	other := newEdgeTarget(cfg.Seed+1, nil, nil)
	different := false
	arrivals := Schedule(cfg.plan())
	assert.Assert(t, len(arrivals) > 0)
	for i := range arrivals {
		call := target.newCall(&arrivals[i], i)
		assert.DeepEqual(t, call, target.newCall(&arrivals[i], i))
		assert.Assert(t, strings.HasPrefix(call.Path, "/"+arrivals[i].Pipeline+"/"))
		assert.Equal(t, len(call.Prompt) > 0, arrivals[i].Stream)
		different = different || call.TokensOut != other.newCall(&arrivals[i], i).TokensOut
	}
	assert.Assert(t, different)
}

// truncatedBody fails with io.ErrUnexpectedEOF at the end of its text.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestEdgeStreams(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	tests := map[string]struct {
		body    io.Reader
		outcome api.Outcome
		wrong   string
	}{
		"whole":        {strings.NewReader(whole), api.OutcomeAnswered, ""},
		"broken off":   {truncatedBody{strings.NewReader(whole)}, api.OutcomeCutShort, ""},
		"ended early":  {strings.NewReader(whole[:len(whole)/2]), api.OutcomeAnswered, "after 1 of 2 events"},
		"out of order": {strings.NewReader("id: 2\ndata: b\n\nid: 1\ndata: a\n\n"), api.OutcomeAnswered, "event 2 came as number 1"},
		"event twice":  {strings.NewReader(whole + "id: 2\ndata: b\n\n"), api.OutcomeAnswered, "event 2 came as number 3"},
	}
	for name, test := range tests {
		s := Sample{Arrival: Arrival{Stream: true}}
		readEdgeStream(&s, test.body, 2, time.Now())
		assert.Equal(t, s.Outcome, test.outcome, name)
		assert.Assert(t, cmp.Contains(s.Wrong, test.wrong), name)
		assert.Equal(t, s.Wrong == "", test.wrong == "", name)
	}
}

func TestEdgeObjectives(t *testing.T) {
	route := catalog.Route{Objective: time.Second, EventGap: 100 * time.Millisecond}
	stream := Arrival{Stream: true}
	assert.Assert(t, !missesObjective(&Sample{Arrival: stream, Latency: 3 * time.Second, FirstToken: time.Second}, route))
	assert.Assert(t, missesObjective(&Sample{Arrival: stream, FirstToken: time.Second + 1}, route))
	assert.Assert(t, missesObjective(&Sample{Arrival: stream, TokenGaps: []time.Duration{1, 100*time.Millisecond + 1}}, route))
	assert.Assert(t, missesObjective(&Sample{Latency: time.Second + 1}, route))
	assert.Assert(t, !missesObjective(&Sample{Latency: time.Second}, route))
	late := Sample{Outcome: api.OutcomeAnswered, Deadline: time.Second, MissedObjective: true}
	assert.Assert(t, !late.InTime())
}

// paintedPanels returns the number of panels of a plot that show the run's color.
// It leaves out the right quarter of the plot, which has the legends.
func paintedPanels(picture image.Image, run plottedEdgeRun, panels int) int {
	want := picture.ColorModel().Convert(run.style.Color)
	bounds := picture.Bounds()
	painted := make(map[int]bool)
	for y := range bounds.Dy() {
		for x := range bounds.Dx() * 3 / 4 {
			if picture.At(x, y) == want {
				painted[y*panels/bounds.Dy()] = true
			}
		}
	}
	return len(painted)
}

func TestEdgePlots(t *testing.T) {
	report := func(system string, queue float64) *EdgeReport {
		r := &EdgeReport{System: system, Scenario: "burst", Seed: 7, Gateways: 3, Rate: 40, Timeline: make([]EdgeSecond, 3)}
		for i := range r.Timeline {
			r.Timeline[i] = EdgeSecond{
				Second: Second{Sent: 10, InTime: 8}, Queue: queue, BatchFill: 0.3, RoomUsed: 0.5, readings: 4, places: 16,
			}
		}
		return r
	}
	run, baseline := report(EdgeGateway, 4), report(EdgeNaive, 12)
	both := renderPlot(t, CompareEdge(run, baseline).WritePlot)
	assert.Equal(t, paintedPanels(both, plottedEdgeRun{style: runStyle}, 4), 4)
	assert.Equal(t, paintedPanels(both, plottedEdgeRun{style: baselineStyle}, 4), 4)
	assert.Equal(t, paintedPanels(renderPlot(t, run.WritePlot), plottedEdgeRun{style: baselineStyle}, 4), 0)
	renderPlot(t, (&EdgeReport{Timeline: make([]EdgeSecond, 1)}).WritePlot)
}
