package load

import (
	"time"

	"github.com/mangostage/mangostage/api"
)

// timeline collects the figures of each second of a run.
type timeline struct {
	warmup  time.Duration
	seconds []Second
	// latencies are the latencies of each second's answers. One histogram for
	// each second would need far more memory in a long run.
	latencies [][]time.Duration
}

func newTimeline(p *Plan) *timeline {
	length := int((p.Duration + time.Second - 1) / time.Second)
	return &timeline{warmup: p.Warmup, seconds: make([]Second, length), latencies: make([][]time.Duration, length)}
}

// add counts a sample of the measured run in the second in which it was due.
func (t *timeline) add(s *Sample) {
	i := int((s.At - t.warmup) / time.Second)
	if i < 0 || i >= len(t.seconds) {
		return
	}
	at := &t.seconds[i]
	at.Sent++
	if s.InTime() {
		at.InTime++
	}
	switch s.Outcome {
	case api.OutcomeRefused:
		at.Refused++
	case api.OutcomeAnswered:
		t.latencies[i] = append(t.latencies[i], s.Latency)
	}
}

// summary returns the seconds with their quantiles of latency.
func (t *timeline) summary() []Second {
	h := newHistogram()
	for i, latencies := range t.latencies {
		h.h.Reset()
		for _, d := range latencies {
			h.add(d)
		}
		t.seconds[i].Latency = h.quantiles()
	}
	return t.seconds
}
