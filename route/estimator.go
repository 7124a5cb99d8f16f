package route

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// StageKey identifies the stage whose durations an Estimator keeps.
type StageKey struct {
	Pool  string
	Stage string
}

// Estimate is a quantile of the recent durations.
type Estimate struct {
	Value time.Duration
	// Age is the time since the latest sample.
	Age     time.Duration
	Samples int
}

const (
	// windows is the number of windows kept, each windowLength long; older
	// samples are dropped.
	windows      = 4
	windowLength = 5 * time.Second
	// maxEstimateMicros is the longest duration recorded, in microseconds;
	// longer ones are recorded as this value.
	maxEstimateMicros = int64(10 * time.Minute / time.Microsecond)
	// estimateDigits is the number of significant decimal digits kept.
	estimateDigits = 1
	// mergeInterval is how long a merge of the windows is reused, because
	// merging takes some microseconds.
	mergeInterval = 100 * time.Millisecond
)

// Estimator keeps the recent durations of stages: the time from the start of a
// call on an endpoint to its end. Time queued at the agent is best left out:
// admission adds the wait expected at the present load, so it would count
// twice. Each stage has its own lock and takes about 20 KB, whatever the number
// of samples.
type Estimator struct {
	mu     sync.RWMutex
	stages map[StageKey]*stageTimes
}

// NewEstimator returns an empty Estimator.
func NewEstimator() *Estimator {
	return &Estimator{stages: make(map[StageKey]*stageTimes)}
}

// Observe records one duration.
func (s *Estimator) Observe(key StageKey, duration time.Duration, now time.Time) {
	s.mu.RLock()
	t := s.stages[key]
	s.mu.RUnlock()
	if t == nil {
		t = s.add(key, now)
	}
	t.observe(duration, now)
}

func (s *Estimator) add(key StageKey, now time.Time) *stageTimes {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stages[key]
	if t == nil {
		t = newStageTimes(now)
		s.stages[key] = t
	}
	return t
}

// Quantile returns the quantile q, from 0 to 1, of the recent durations.
// Samples is zero if there are none.
func (s *Estimator) Quantile(key StageKey, q float64, now time.Time) Estimate {
	s.mu.RLock()
	t := s.stages[key]
	s.mu.RUnlock()
	if t == nil {
		return Estimate{}
	}
	return t.quantile(q, now)
}

// stageTimes holds the recent durations of one stage.
type stageTimes struct {
	mu       sync.Mutex
	windowed *hdrhistogram.WindowedHistogram
	// windowStart is the start of the current window.
	windowStart time.Time
	// lastSample is the time of the latest sample.
	lastSample time.Time
	// merged holds all windows merged at mergedAt; nil after a rotation.
	merged   *hdrhistogram.Histogram
	mergedAt time.Time
}

func newStageTimes(now time.Time) *stageTimes {
	return &stageTimes{
		windowed:    hdrhistogram.NewWindowed(windows, 1, maxEstimateMicros, estimateDigits),
		windowStart: now,
	}
}

func (t *stageTimes) observe(duration time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	micros := min(max(duration.Microseconds(), 1), maxEstimateMicros)
	// A value in range is always recorded.
	_ = t.windowed.Current.RecordValue(micros)
	if now.After(t.lastSample) {
		t.lastSample = now
	}
}

// rotate starts as many new windows as are due.
func (t *stageTimes) rotate(now time.Time) {
	due := int(now.Sub(t.windowStart) / windowLength)
	if due <= 0 {
		return
	}
	for range min(due, windows) {
		t.windowed.Rotate()
	}
	t.windowStart = t.windowStart.Add(time.Duration(due) * windowLength)
	t.merged = nil
}

func (t *stageTimes) quantile(q float64, now time.Time) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if t.merged == nil || now.Sub(t.mergedAt) >= mergeInterval {
		t.merged = t.windowed.Merge()
		t.mergedAt = now
	}
	samples := int(t.merged.TotalCount())
	if samples == 0 {
		return Estimate{}
	}
	value := time.Duration(t.merged.ValueAtQuantile(q*100)) * time.Microsecond
	return Estimate{Value: value, Age: max(0, now.Sub(t.lastSample)), Samples: samples}
}
