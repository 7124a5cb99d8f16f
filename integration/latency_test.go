package integration

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
)

const (
	// runTime is short, so that the added latency stands out, and long enough
	// for timers to be precise.
	runTime = 2 * time.Millisecond
	// unlimited is a limit that no test reaches.
	unlimited      = 900_000
	histogramMax   = int64(time.Minute)
	histogramDigit = 3
)

// latencies is the histogram of the latencies of one path to the fake endpoint, in
// nanoseconds.
type latencies struct {
	*hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, histogramMax, histogramDigit)}
}

// quantile returns the q-th percentile in microseconds.
func (m latencies) quantile(q float64) float64 {
	return float64(m.ValueAtQuantile(q)) / float64(time.Microsecond)
}

// BenchmarkAddedLatency sends requests to one fake endpoint, one at a time and in
// turn directly and through an entry and an agent. It reports the percentiles of
// both in microseconds and their differences.
func BenchmarkAddedLatency(b *testing.B) {
	fleet := harness.Start(b, harness.Config{
		Pools:   map[string]int{catalogue: 1},
		Entries: 1,
		NoRace:  true,
		// The fake endpoint runs in its own process, shared neither with the caller
		// nor with the entry.
		SeparateEndpoints: true,
		Edit: func(b *bundle.Bundle) {
			b.Accounts[0].Limit = bundle.Limit{RequestsPerSecond: unlimited, Burst: unlimited, InFlight: unlimited}
		},
		Service: func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = runTime },
	})
	client := &http.Client{Transport: &http.Transport{}}
	input := harness.Marker("latency")
	direct, through := newLatencies(), newLatencies()
	for b.Loop() {
		began := time.Now()
		callDirectly(b, client, fleet.Endpoint("catalogue-1").URL(), input)
		record(b, direct, time.Since(began))
		reply := fleet.Send(b.Context(), 0, harness.Call{Pipeline: catalogue, Input: input})
		if reply.Outcome() != api.OutcomeAnswered {
			b.Fatalf("%v, %s", reply.Err, reply.Body)
		}
		record(b, through, reply.Elapsed)
	}
	for _, q := range []struct {
		name  string
		value float64
	}{{"p50", 50}, {"p99", 99}} {
		b.ReportMetric(direct.quantile(q.value), "direct-"+q.name+"-µs")
		b.ReportMetric(through.quantile(q.value), "through-"+q.name+"-µs")
		b.ReportMetric(through.quantile(q.value)-direct.quantile(q.value), "added-"+q.name+"-µs")
	}
}

func record(b *testing.B, m latencies, took time.Duration) {
	if err := m.RecordValue(int64(took)); err != nil {
		b.Fatal(err)
	}
}

func callDirectly(b *testing.B, client *http.Client, url string, input json.RawMessage) {
	body, err := json.Marshal(endpoint.RunRequest{Call: "direct", Stage: catalogue, Input: input})
	if err != nil {
		b.Fatal(err)
	}
	resp, err := client.Post(url+endpoint.PathRun, "application/json", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d, %v", resp.StatusCode, err)
	}
}
