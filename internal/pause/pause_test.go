package pause_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/pause"
)

// clock is a clock that a test advances.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newClock() *clock { return &clock{now: time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)} }

// A process that is paused between two ticks and then has to send before the
// next tick must handle the pause first, and only once. Gaps up to Limit are not
// pauses.
func TestCheckHandlesPauseBeforeNextTick(t *testing.T) {
	c := newClock()
	var gaps []time.Duration
	w := pause.NewWatch(c.read, func(gap time.Duration) { gaps = append(gaps, gap) })
	w.Check()
	w.Tick()
	c.advance(pause.Limit)
	w.Check()
	assert.Assert(t, !w.Stalled())
	w.Tick()
	assert.Equal(t, len(gaps), 0)

	c.advance(pause.Limit + time.Millisecond)
	assert.Assert(t, w.Stalled())
	w.Check()
	assert.DeepEqual(t, gaps, []time.Duration{pause.Limit + time.Millisecond})
	assert.Assert(t, !w.Stalled())
	w.Check()
	w.Tick()
	assert.Equal(t, len(gaps), 1)
}

// While a tick handles a pause, other callers of Check must wait for it. If the
// pause counted as handled as soon as its handling begins, they would send over
// the connections that are about to be closed.
func TestPauseLastsUntilHandled(t *testing.T) {
	c := newClock()
	handling, done := make(chan struct{}), make(chan struct{})
	w := pause.NewWatch(c.read, func(time.Duration) {
		close(handling)
		<-done
	})
	w.Tick()
	c.advance(time.Minute)
	go w.Tick()
	<-handling
	assert.Assert(t, w.Stalled())
	checked := make(chan struct{})
	go func() {
		w.Check()
		close(checked)
	}()
	select {
	case <-checked:
		t.Fatal("Check returned before the pause was handled")
	default:
	}
	close(done)
	<-checked
	assert.Assert(t, !w.Stalled())
}

// A second pause during the handling of the first must be detected and handled
// too.
func TestPauseDuringHandlingIsDetected(t *testing.T) {
	c := newClock()
	handled := 0
	w := pause.NewWatch(c.read, func(time.Duration) {
		if handled++; handled == 1 {
			c.advance(time.Minute)
		}
	})
	w.Tick()
	c.advance(time.Minute)
	w.Check()
	assert.Assert(t, w.Stalled())
	w.Check()
	assert.Equal(t, handled, 2)
	assert.Assert(t, !w.Stalled())
}

// The monotonic clock of a suspended VM stops and only its wall clock shows the
// time that passed. For a stopped process both advance. Either way the whole gap
// must be detected.
func TestGapSeesSuspendedVM(t *testing.T) {
	start := time.Now()
	for name, woke := range map[string]time.Time{
		"stopped":   start.Add(5 * time.Second),
		"suspended": start.Round(0).Add(5 * time.Second),
	} {
		now := start
		var seen time.Duration
		w := pause.NewWatch(func() time.Time { return now }, func(gap time.Duration) { seen = gap })
		w.Tick()
		now = woke
		w.Check()
		assert.Equal(t, seen, 5*time.Second, name)
	}
}
