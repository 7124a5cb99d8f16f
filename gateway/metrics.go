package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mangostage/mangostage/balance"
)

// Bounds of the latency histograms, in milliseconds, and their precision.
const (
	histogramMax    = 60_000
	histogramDigits = 2
)

// Metrics are the counters and histograms of a gateway, in expvar.
type Metrics struct {
	// Answers counts by route and reason, Sends by service and outcome.
	Answers *expvar.Map
	Sends   *expvar.Map

	mu      sync.Mutex
	latency map[string]*hdrhistogram.Histogram
}

// NewMetrics returns metrics that are not published yet.
func NewMetrics() *Metrics {
	return &Metrics{
		Answers: new(expvar.Map).Init(),
		Sends:   new(expvar.Map).Init(),
		latency: make(map[string]*hdrhistogram.Histogram),
	}
}

// count counts an answer and its latency.
func (m *Metrics) count(req *request, reason string) {
	m.Answers.Add(routeName(req)+" "+reason, 1)
	m.record("answer "+routeName(req), time.Since(req.arrived))
}

// firstEvent records the time to the first event of a stream.
func (m *Metrics) firstEvent(req *request) {
	m.record("first_event "+routeName(req), time.Since(req.arrived))
}

var outcomeNames = map[balance.Outcome]string{
	balance.Served:    "served",
	balance.Failed:    "failed",
	balance.Silent:    "silent",
	balance.Full:      "full",
	balance.Abandoned: "abandoned",
}

// sent counts a send to an endpoint.
func (m *Metrics) sent(service string, o balance.Outcome, took time.Duration) {
	m.Sends.Add(service+" "+outcomeNames[o], 1)
	m.record("sent "+service, took)
}

func (m *Metrics) record(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latency[name]
	if h == nil {
		h = hdrhistogram.New(1, histogramMax, histogramDigits)
		m.latency[name] = h
	}
	// Values beyond the range count as its end.
	_ = h.RecordValue(min(histogramMax, max(1, d.Milliseconds())))
}

// Quantiles are the figures of one histogram, in milliseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Latency returns the figures of all histograms.
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
