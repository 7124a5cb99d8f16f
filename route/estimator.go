package route

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// StageKey names what an Estimator keeps times of.
type StageKey struct {
	Pool  string
	Stage string
}

// Estimate is one quantile as measured.
type Estimate struct {
	Value time.Duration
	// Age is the time since the latest sample.
	Age     time.Duration
	Samples int
}

const (
	// windows of windowLength each are kept; older samples are dropped.
	windows      = 4
	windowLength = 5 * time.Second
	// estimateMax is the longest time told apart from longer ones, in microseconds.
	estimateMax = int64(10 * time.Minute / time.Microsecond)
	// estimateDigits is the number of significant decimal digits kept.
	estimateDigits = 1
	// mergeEvery is how long the merged windows are used before they are
	// merged again, which takes some microseconds.
	mergeEvery = 100 * time.Millisecond
)

// Estimator keeps recent times of stages: how long an endpoint took. Waiting
// at the agent is best left out, because admission adds the wait to be
// expected from the present load and would count it twice. The times of each
// stage are under their own lock and take about 20 KB, however many they are.
type Estimator struct {
	mu     sync.RWMutex
	stages map[StageKey]*stageTimes
}

// NewEstimator returns an empty Estimator.
func NewEstimator() *Estimator {
	return &Estimator{stages: make(map[StageKey]*stageTimes)}
}

// Observe adds one time.
func (s *Estimator) Observe(key StageKey, took time.Duration, now time.Time) {
	s.mu.RLock()
	t := s.stages[key]
	s.mu.RUnlock()
	if t == nil {
		t = s.add(key, now)
	}
	t.observe(took, now)
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

// Quantile returns the q quantile, 0 to 1, of the recent times. Samples is
// zero if there are none.
func (s *Estimator) Quantile(key StageKey, q float64, now time.Time) Estimate {
	s.mu.RLock()
	t := s.stages[key]
	s.mu.RUnlock()
	if t == nil {
		return Estimate{}
	}
	return t.quantile(q, now)
}

// stageTimes is the recent times of one stage.
type stageTimes struct {
	mu       sync.Mutex
	windowed *hdrhistogram.WindowedHistogram
	// rotated is the start of the current window.
	rotated time.Time
	last    time.Time
	// merged is all windows together, as of mergedAt; nil after a rotation.
	merged   *hdrhistogram.Histogram
	mergedAt time.Time
}

func newStageTimes(now time.Time) *stageTimes {
	return &stageTimes{
		windowed: hdrhistogram.NewWindowed(windows, 1, estimateMax, estimateDigits),
		rotated:  now,
	}
}

func (t *stageTimes) observe(took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	micros := min(max(took.Microseconds(), 1), estimateMax)
	// A value in range is always recorded.
	_ = t.windowed.Current.RecordValue(micros)
	if now.After(t.last) {
		t.last = now
	}
}

func (t *stageTimes) rotate(now time.Time) {
	due := int(now.Sub(t.rotated) / windowLength)
	if due <= 0 {
		return
	}
	for range min(due, windows) {
		t.windowed.Rotate()
	}
	t.rotated = t.rotated.Add(time.Duration(due) * windowLength)
	t.merged = nil
}

func (t *stageTimes) quantile(q float64, now time.Time) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if t.merged == nil || now.Sub(t.mergedAt) >= mergeEvery {
		t.merged = t.windowed.Merge()
		t.mergedAt = now
	}
	samples := int(t.merged.TotalCount())
	if samples == 0 {
		return Estimate{}
	}
	value := time.Duration(t.merged.ValueAtQuantile(q*100)) * time.Microsecond
	return Estimate{Value: value, Age: max(0, now.Sub(t.last)), Samples: samples}
}
