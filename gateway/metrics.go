package gateway

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mangostage/mangostage/balance"
	"github.com/mangostage/mangostage/resume"
)

// Bounds of the latency histograms, in milliseconds, and their precision.
const (
	histogramMax    = 60_000
	histogramDigits = 2
)

// Metrics holds the counters and histograms of a gateway.
type Metrics struct {
	// Answers counts answers by route and reason, Sends counts sends by service and
	// outcome, StreamEnds counts endpoints' streams by route, framing and end.
	Answers    *expvar.Map
	Sends      *expvar.Map
	StreamEnds *expvar.Map
	// ShutdownAdmissions counts the requests that arrived during a shutdown by their bound
	// and whether they were admitted.
	ShutdownAdmissions *expvar.Map
	// Withheld counts the answers of endpoints that were not passed on, by route and status.
	Withheld *expvar.Map
	// RefusedContinuations counts the answers that may not go on with a stream that has begun,
	// by route and refusal.
	RefusedContinuations *expvar.Map
	// Strays counts the answers of endpoints that belong to no send, by service.
	Strays *expvar.Map
	// Access counts the requests that have a route by why they are let in or not.
	Access *expvar.Map
	// Held counts requests that were refused because their client account had more than its
	// share of a service, by service and account.
	Held *expvar.Map

	mu sync.Mutex
	// latency holds the histograms by kind and name of the route or service.
	latency map[string]*hdrhistogram.Histogram
	// heldNames counts the names of Held.
	heldNames int
}

// NewMetrics returns empty metrics; the caller publishes them.
func NewMetrics() *Metrics {
	return &Metrics{
		Answers:    new(expvar.Map).Init(),
		Sends:      new(expvar.Map).Init(),
		StreamEnds: new(expvar.Map).Init(),
		Held:       new(expvar.Map).Init(),
		Withheld:   new(expvar.Map).Init(),
		Strays:     new(expvar.Map).Init(),
		Access:     new(expvar.Map).Init(),

		ShutdownAdmissions: new(expvar.Map).Init(),

		RefusedContinuations: new(expvar.Map).Init(),

		latency: make(map[string]*hdrhistogram.Histogram),
	}
}

// countAnswer counts an answer and records its latency.
func (m *Metrics) countAnswer(req *request, reason string) {
	m.Answers.Add(routeName(req)+" "+reason, 1)
	m.recordLatency("answer "+routeName(req), time.Since(req.arrived))
}

// countShutdownAdmission counts a request that arrived during a shutdown.
func (m *Metrics) countShutdownAdmission(bound shutdownBound, admitted bool) {
	name := string(bound) + " refused"
	if admitted {
		name = string(bound) + " admitted"
	}
	m.ShutdownAdmissions.Add(name, 1)
}

// countWithheld counts an answer that was not passed on because of its status.
func (m *Metrics) countWithheld(req *request, status int) {
	m.Withheld.Add(routeName(req)+" "+strconv.Itoa(status), 1)
}

// countRefusedContinuation counts an answer that may not go on with a stream.
func (m *Metrics) countRefusedContinuation(req *request, refusal resume.Refusal) {
	m.RefusedContinuations.Add(routeName(req)+" "+string(refusal), 1)
}

// countAccess counts why a request is let in or not.
func (m *Metrics) countAccess(req *request) {
	if req.access != "" {
		m.Access.Add(string(req.access), 1)
	}
}

// CountStray counts an answer that belongs to no send.
func (m *Metrics) CountStray(service string) { m.Strays.Add(service, 1) }

// countStreamEnd counts the end of an endpoint's stream.
func (m *Metrics) countStreamEnd(req *request, f framing, end streamEnd) {
	m.StreamEnds.Add(routeName(req)+" "+string(f)+" "+string(end), 1)
}

// firstEvent records the time from a request's arrival to the first event of its
// stream.
func (m *Metrics) firstEvent(req *request) {
	m.recordLatency("first_event "+routeName(req), time.Since(req.arrived))
}

// maxHeldNames bounds the names of Metrics.Held; further ones are counted as one account
// of their service.
const maxHeldNames = 1000

// countHeld counts a request beyond its account's share of a service.
func (m *Metrics) countHeld(service, account string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := service + " " + account
	if m.Held.Get(name) == nil {
		if m.heldNames >= maxHeldNames {
			name = service + " (others)"
		} else {
			m.heldNames++
		}
	}
	m.Held.Add(name, 1)
}

var outcomeNames = map[balance.Outcome]string{
	balance.Served:    "served",
	balance.Failed:    "failed",
	balance.Silent:    "silent",
	balance.Full:      "full",
	balance.Abandoned: "abandoned",
}

// countSend counts a send to an endpoint and records its duration.
func (m *Metrics) countSend(service string, o balance.Outcome, duration time.Duration) {
	m.Sends.Add(service+" "+outcomeNames[o], 1)
	m.recordLatency("sent "+service, duration)
}

// recordLatency adds a duration to the histogram of the name.
func (m *Metrics) recordLatency(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latency[name]
	if h == nil {
		h = hdrhistogram.New(1, histogramMax, histogramDigits)
		m.latency[name] = h
	}
	// Values beyond the range are recorded as its bounds.
	_ = h.RecordValue(min(histogramMax, max(1, d.Milliseconds())))
}

// Quantiles summarizes one histogram, in milliseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Latency returns the summaries of all histograms by name.
func (m *Metrics) Latency() map[string]Quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]Quantiles, len(m.latency))
	for name, h := range m.latency {
		all[name] = Quantiles{
			Count: h.TotalCount(),
			P50:   h.ValueAtQuantile(50),
			P90:   h.ValueAtQuantile(90),
			P99:   h.ValueAtQuantile(99),
			Max:   h.Max(),
		}
	}
	return all
}
