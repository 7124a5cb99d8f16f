package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testAdmission(concurrency, limit int) *admission {
	a := newAdmission()
	a.times.typical = 10 * time.Millisecond
	a.resize(concurrency, limit)
	return a
}

func queuedRun(account string, priority int) *Run {
	return &Run{schedState: schedState{account: account, priority: priority}}
}

// drainOrder frees the slot until the queue is empty and returns the accounts
// in the order in which their runs start.
func drainOrder(a *admission, running *Run) string {
	var order []string
	for {
		started := a.remove(running)
		if len(started) == 0 {
			return strings.Join(order, "")
		}
		running = started[0]
		order = append(order, running.schedState.account)
	}
}

func TestQueueOrder(t *testing.T) {
	type arrival struct {
		account  string
		priority int
		weight   int
	}
	repeat := func(n int, a arrival) []arrival {
		list := make([]arrival, n)
		for i := range list {
			list[i] = a
		}
		return list
	}
	tests := []struct {
		name     string
		arrivals []arrival
		want     string
	}{
		{"arrival order in one account", repeat(3, arrival{"a", 0, 1}), "aaa"},
		{"priority first", append(repeat(2, arrival{"a", 0, 1}), repeat(2, arrival{"b", 1, 1})...), "bbaa"},
		{"equal weights alternate", append(repeat(4, arrival{"a", 0, 1}), repeat(4, arrival{"b", 0, 1})...), "abababab"},
		{"shares by weight", append(repeat(4, arrival{"a", 0, 1}), repeat(6, arrival{"b", 0, 3})...), "abbbabbbaa"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := testAdmission(1, 64)
			first := queuedRun("x", 0)
			assert.Assert(t, a.offer(first, 1, time.Minute).started)
			for _, next := range test.arrivals {
				assert.Assert(t, a.offer(queuedRun(next.account, next.priority), next.weight, time.Minute).queued)
			}
			assert.Equal(t, drainOrder(a, first), test.want)
			assert.Equal(t, len(a.clocks), 0)
		})
	}
}

// A large account fills the queue. A small account within its share, and an
// account of higher priority, must still be queued, and the displaced run must
// be returned so that it can be refused.
func TestFullQueueDisplaces(t *testing.T) {
	a := testAdmission(1, 4)
	first := queuedRun("x", 0)
	a.offer(first, 1, time.Minute)
	waiting := make([]*Run, 4)
	for i := range waiting {
		waiting[i] = queuedRun("a", 0)
		assert.Assert(t, a.offer(waiting[i], 1, time.Minute).queued)
	}
	more := a.offer(queuedRun("a", 0), 1, time.Minute)
	assert.Assert(t, !more.queued && more.displaced == nil, "an account over its share displaces no other run")
	small := a.offer(queuedRun("b", 0), 1, time.Minute)
	assert.Assert(t, small.queued)
	assert.Assert(t, small.displaced == waiting[3])
	urgent := a.offer(queuedRun("c", 9), 1, time.Minute)
	assert.Assert(t, urgent.queued)
	assert.Assert(t, urgent.displaced == waiting[2])
	assert.Equal(t, drainOrder(a, first), "caba")
}

func TestQueueRefusesLateCalls(t *testing.T) {
	a := testAdmission(1, 64)
	a.offer(queuedRun("x", 0), 1, time.Minute)
	for range 4 {
		a.offer(queuedRun("a", 0), 1, time.Minute)
	}
	got := a.offer(queuedRun("a", 0), 1, 30*time.Millisecond)
	assert.Assert(t, got.tooLate && !got.queued)
	assert.Assert(t, a.newArrivalWait() >= 40*time.Millisecond)
	assert.Assert(t, a.offer(queuedRun("a", 7), 1, 30*time.Millisecond).queued, "priority shortens the wait")
}

// Under overload a request is overtaken in the queue and would start a tenth of
// a second before its deadline. The engine's work on it would be wasted, while
// queued requests with time left would also miss their deadlines.
func TestCallsTooLateToFinishAreNotStarted(t *testing.T) {
	a := testAdmission(1, 8)
	assert.Assert(t, !a.tooLateToStart(time.Millisecond), "no run time has been measured")
	a.finish(queuedRun("x", 0), time.Second, true)
	a.refreshQuantiles()
	assert.Assert(t, !a.tooLateToStart(100*time.Millisecond), "the queue is empty")
	a.offer(queuedRun("a", 0), 1, time.Minute)
	a.offer(queuedRun("b", 0), 1, time.Minute)
	assert.Assert(t, a.tooLateToStart(100*time.Millisecond))
	assert.Assert(t, !a.tooLateToStart(2*time.Second))
}

func TestExclusiveCallRunsAlone(t *testing.T) {
	a := testAdmission(2, 64)
	first, second := queuedRun("x", 0), queuedRun("y", 0)
	a.offer(first, 1, time.Minute)
	alone := queuedRun("alone", 0)
	alone.schedState.exclusive = true
	assert.Assert(t, a.offer(alone, 1, time.Minute).queued, "another call is running")
	assert.Assert(t, a.offer(second, 1, time.Minute).queued, "later calls must not overtake an exclusive call")
	started := a.remove(first)
	assert.Equal(t, len(started), 1)
	assert.Assert(t, started[0] == alone)
	started = a.remove(alone)
	assert.Equal(t, len(started), 1)
	assert.Assert(t, started[0] == second)
}

func TestResizeAndDown(t *testing.T) {
	a := testAdmission(1, 8)
	runs := make([]*Run, 6)
	for i := range runs {
		runs[i] = queuedRun(fmt.Sprint(i), 0)
		a.offer(runs[i], 1, time.Minute)
	}
	started, displaced := a.resize(2, 2)
	assert.Equal(t, len(started), 1)
	assert.Equal(t, len(displaced), 2)
	assert.Equal(t, len(a.markDown()), 2)
	assert.Assert(t, a.offer(queuedRun("z", 0), 1, time.Minute).down)
	assert.Equal(t, a.recordCrash(), 1, "two calls were on the endpoint when it went down")
	a.remove(runs[0])
	assert.Equal(t, a.recordCrash(), 1, "the second lost call reports the number at the first")
	a.markUp()
	assert.Assert(t, a.offer(queuedRun("z", 0), 1, time.Minute).started)
}

func TestWindow(t *testing.T) {
	w := window{typical: time.Second}
	assert.Equal(t, w.mean(), time.Second)
	for i := range 3 * windowSize {
		w.add(time.Duration(i) * time.Millisecond)
	}
	w.refreshQuantiles()
	assert.Equal(t, w.p50, time.Duration(2*windowSize+windowSize/2)*time.Millisecond)
	assert.Equal(t, w.p95, time.Duration(2*windowSize+windowSize*95/100)*time.Millisecond)
}
