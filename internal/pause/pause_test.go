package pause_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/pause"
)

// clock is a clock that a test moves.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newClock() *clock { return &clock{now: time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)} }

// A process is frozen between two ticks and asked to send before the next. It
// has to deal with the pause first, once, and ordinary gaps are no pause.
func TestCheckDealsWithAPauseBeforeTheNextTick(t *testing.T) {
	c := newClock()
	var gaps []time.Duration
	w := pause.NewWatch(c.read, func(gap time.Duration) { gaps = append(gaps, gap) })
	w.Check()
	w.Tick()
	c.pass(pause.Limit)
	w.Check()
	assert.Assert(t, !w.Stalled())
	w.Tick()
	assert.Equal(t, len(gaps), 0)

	c.pass(pause.Limit + time.Millisecond)
	assert.Assert(t, w.Stalled())
	w.Check()
	assert.DeepEqual(t, gaps, []time.Duration{pause.Limit + time.Millisecond})
	assert.Assert(t, !w.Stalled())
	w.Check()
	w.Tick()
	assert.Equal(t, len(gaps), 1)
}

// While a tick deals with a pause, others that ask have to wait for it. If the
// pause counted as dealt with from its beginning, they would send over the
// connections that are about to be dropped.
func TestAPauseLastsUntilItIsDealtWith(t *testing.T) {
	c := newClock()
	dealing, done := make(chan struct{}), make(chan struct{})
	w := pause.NewWatch(c.read, func(time.Duration) {
		close(dealing)
		<-done
	})
	w.Tick()
	c.pass(time.Minute)
	go w.Tick()
	<-dealing
	assert.Assert(t, w.Stalled())
	checked := make(chan struct{})
	go func() {
		w.Check()
		close(checked)
	}()
	select {
	case <-checked:
		t.Fatal("checked before the pause was dealt with")
	default:
	}
	close(done)
	<-checked
	assert.Assert(t, !w.Stalled())
}

// A second pause, while the first is dealt with, makes that stale as well.
func TestASecondPauseMeanwhileShows(t *testing.T) {
	c := newClock()
	dealt := 0
	w := pause.NewWatch(c.read, func(time.Duration) {
		if dealt++; dealt == 1 {
			c.pass(time.Minute)
		}
	})
	w.Tick()
	c.pass(time.Minute)
	w.Check()
	assert.Assert(t, w.Stalled())
	w.Check()
	assert.Equal(t, dealt, 2)
	assert.Assert(t, !w.Stalled())
}

// A suspended VM's monotonic clock stands still; only the wall clock tells of
// the time. Both ways the whole gap is seen.
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
