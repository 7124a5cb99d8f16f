package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func testHealth(n int) (*Health, []string) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("e%02d", i)
	}
	h := NewHealth()
	h.SetMembers("llm", names, start)
	return h, names
}

// succeedAll records successful calls on each endpoint, medianInterval apart.
func succeedAll(h *Health, names []string, calls int, duration time.Duration, now time.Time) []Transition {
	var all []Transition
	for i := range calls {
		for _, name := range names {
			all = append(all, h.Observe("llm", name, CallSucceeded, duration, now.Add(time.Duration(i)*medianInterval))...)
		}
	}
	return all
}

// Guards against time-outs from one dead endpoint of several. Two calls lost in
// a row eject it. After ejectionBase it is in probation and takes single calls;
// the first one fails, so it is ejected for twice as long. After three
// successful calls in the next probation it is live.
func TestHealthDeadEndpointComesBack(t *testing.T) {
	h, names := testHealth(4)
	now := start
	assert.Equal(t, len(h.Observe("llm", names[0], CallLost, 0, now)), 0)
	transitions := h.Observe("llm", names[0], CallLost, 0, now)
	assert.DeepEqual(t, transitions, []Transition{{
		Pool: "llm", Endpoint: names[0], From: StateLive, To: StateEjected, Reason: HealthFailing, Until: now.Add(ejectionBase),
	}})
	assert.Equal(t, len(h.Tick(now.Add(ejectionBase-1))), 0)
	now = now.Add(ejectionBase)
	assert.Equal(t, h.Tick(now)[0].To, StateProbation)
	transitions = h.Observe("llm", names[0], CallLost, 0, now)
	assert.Equal(t, transitions[0].Until, now.Add(2*ejectionBase))
	now = now.Add(2 * ejectionBase)
	h.Tick(now)
	for range probationCalls {
		assert.Equal(t, h.State("llm", names[0]), StateProbation)
		h.Observe("llm", names[0], CallSucceeded, time.Second, now)
	}
	assert.Equal(t, h.State("llm", names[0]), StateLive)
}

// Guards against an endpoint that answers ten times slower than the others
// without an error. Its calls run past three times the pool's median, and four
// of them must eject it while they are still running.
func TestHealthStragglerEjectedByRunningCalls(t *testing.T) {
	h, names := testHealth(6)
	assert.Equal(t, h.OverdueAfter("llm"), time.Duration(0))
	succeedAll(h, names[1:], 5, 400*time.Millisecond, start)
	after := h.OverdueAfter("llm")
	assert.Assert(t, after > 1200*time.Millisecond && after < 1300*time.Millisecond, "%v", after)
	for range overdueThreshold - 1 {
		assert.Equal(t, len(h.Overdue("llm", names[0], start)), 0)
	}
	transitions := h.Overdue("llm", names[0], start)
	assert.Equal(t, transitions[0].Reason, HealthStraggler)
}

// Guards against the slow detection of an endpoint that becomes ten times
// slower after it has answered well. Callers missed their deadlines for four
// seconds when the ages of its running calls, all just above the threshold,
// were averaged with its earlier latencies. Calls at normal speed offset the
// overdue ones before them, but not later ones.
func TestHealthOverdueCallsNeedNoAverage(t *testing.T) {
	h, names := testHealth(6)
	succeedAll(h, names, 20, 400*time.Millisecond, start)
	now := start.Add(time.Minute)
	for range 20 {
		assert.Equal(t, len(h.Overdue("llm", names[1], now)), 0)
		h.Observe("llm", names[1], CallSucceeded, 400*time.Millisecond, now)
	}
	for range overdueThreshold - 1 {
		assert.Equal(t, len(h.Overdue("llm", names[0], now)), 0)
	}
	assert.Equal(t, h.Overdue("llm", names[0], now)[0].To, StateEjected)
}

// Guards against an endpoint in probation becoming live through calls that
// hang: the pool had become slower in the meantime, so the age of the hanging
// calls was no longer above the threshold and three of them counted as
// successes.
func TestHealthOverdueInProbation(t *testing.T) {
	h, names := testHealth(6)
	succeedAll(h, names, 20, 400*time.Millisecond, start)
	for range overdueThreshold {
		h.Overdue("llm", names[0], start)
	}
	h.Tick(start.Add(ejectionBase))
	assert.Equal(t, h.State("llm", names[0]), StateProbation)
	assert.Equal(t, h.Overdue("llm", names[0], start.Add(ejectionBase))[0].To, StateEjected)
}

// Guards against ejections under overload: calls become overdue on all
// endpoints before the pool's median has risen, and the endpoints whose fourth
// call is reported first must not be ejected.
func TestHealthOverdueOnAllEjectsNobody(t *testing.T) {
	h, names := testHealth(6)
	succeedAll(h, names, 20, 400*time.Millisecond, start)
	for i := range 3 * overdueThreshold {
		for _, name := range names {
			assert.Equal(t, len(h.Overdue("llm", name, start)), 0, "%d", i)
		}
	}
}

// Guards against cascading ejections: under overload all endpoints slow down
// together, and ejecting the slow ones would slow down the others until none is
// left.
func TestHealthLoadOnAllEjectsNobody(t *testing.T) {
	h, names := testHealth(6)
	succeedAll(h, names, 20, 400*time.Millisecond, start)
	assert.Equal(t, len(succeedAll(h, names, 60, 4*time.Second, start.Add(time.Minute))), 0)
}

// Guards against bad calls, which every endpoint rejects, ejecting healthy
// endpoints: callers with good calls would lose half of the pool.
func TestHealthBadCallsEjectFew(t *testing.T) {
	h, names := testHealth(12)
	for range 20 {
		for _, name := range names {
			h.Observe("llm", name, CallFailed, time.Millisecond, start)
		}
	}
	out := 0
	for _, name := range names {
		if h.State("llm", name) != StateLive {
			out++
		}
	}
	assert.Assert(t, out == 0, "%d ejected", out)
}

func TestHealthPardonAfterPause(t *testing.T) {
	h, names := testHealth(4)
	h.Observe("llm", names[0], CallLost, 0, start)
	h.ResetFailures()
	assert.Equal(t, len(h.Observe("llm", names[0], CallLost, 0, start)), 0)
}

// TestHealthNeverEjectsMoreThanHalf checks the bound on ejections for random
// sequences of outcomes.
func TestHealthNeverEjectsMoreThanHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "size")
		h, names := testHealth(size)
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "name")
			outcome := CallOutcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
			duration := time.Duration(rapid.IntRange(1, 5000).Draw(t, "took")) * time.Millisecond
			h.Observe("llm", name, outcome, duration, now)
			h.Tick(now)
			out := 0
			for _, name := range names {
				if h.State("llm", name) != StateLive {
					out++
				}
			}
			assert.Assert(t, 2*out <= size, "%d of %d out", out, size)
		}
	})
}
