package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/wire"
)

// Guards against a decision without an endpoint that does not explain why in
// the log, and against requests that wait for endpoints which can no longer
// serve them.
func TestDecisionWithoutAChoiceSaysWhy(t *testing.T) {
	lost := start.Add(-10 * time.Millisecond)
	tests := map[string]struct {
		change    func(e *Endpoint)
		req       Request
		want      string
		mayReturn bool
	}{
		"leaving":     {change: func(e *Endpoint) { e.State, e.Unavailability = StateLeaving, UnavailableLeaving }, want: "e: leaving, report 20ms old"},
		"unreachable": {change: func(e *Endpoint) { e.State, e.Unavailability = StateLeaving, UnavailableNoConnection }, want: "e: unreachable, report 20ms old", mayReturn: true},
		"draining":    {change: func(e *Endpoint) { e.State, e.Unavailability = StateLeaving, UnavailableDraining }, want: "e: draining, report 20ms old", mayReturn: true},
		"down":        {change: func(e *Endpoint) { e.Report.Down = true }, want: "e: down, report 20ms old", mayReturn: true},
		"no report": {change: func(e *Endpoint) {
			e.State, e.Unavailability, e.ReportedAt = StateLeaving, UnavailableNoBundle, time.Time{}
		}, want: "e: without bundle, no report", mayReturn: true},
		"answered": {req: Request{Tried: []Tried{{Endpoint: "e"}}}, want: "e: tried, report 20ms old"},
		"lost":     {req: Request{Tried: []Tried{{Endpoint: "e", LostAt: lost}}}, want: "e: tried, report 20ms old", mayReturn: true},
		"silent":   {req: Request{ReportedAfter: lost}, want: "e: not heard of, report 20ms old", mayReturn: true},
		"model":    {req: Request{Model: "other"}, want: "e: model missing, report 20ms old"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &Endpoint{Name: "e", Pool: "llm", ReportedAt: start.Add(-20 * time.Millisecond), Report: wire.AgentReport{Models: []string{"m"}}}
			if test.change != nil {
				test.change(e)
			}
			req := test.req
			req.Pool = "llm"
			d := newTestRouter(t, bundle.PolicyAdaptive).Pick(testSnapshot([]*Endpoint{e}), &req, start, rand.New(rand.NewPCG(1, 1)))
			assert.Assert(t, d.Endpoint == nil)
			assert.Equal(t, len(d.Unusable), 1)
			assert.Equal(t, d.Unusable[0].String(), test.want)
			assert.Equal(t, d.MayBecomeUsable, test.mayReturn)
		})
	}
}

// Guards against never retrying an endpoint that has restarted since it was
// lost.
func TestLostEndpointIsTriedOnceItReports(t *testing.T) {
	e := &Endpoint{Name: "e", Pool: "llm", ReportedAt: start}
	req := &Request{Pool: "llm", Tried: []Tried{{Endpoint: "e", LostAt: start.Add(-time.Millisecond)}}}
	d := newTestRouter(t, bundle.PolicyAdaptive).Pick(testSnapshot([]*Endpoint{e}), req, start, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, d.Endpoint, e)
}
