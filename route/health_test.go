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

// succeedAll lets each endpoint answer some calls.
func succeedAll(h *Health, names []string, calls int, took time.Duration, now time.Time) []Transition {
	var all []Transition
	for i := range calls {
		for _, name := range names {
			all = append(all, h.Observe("llm", name, CallSucceeded, took, now.Add(time.Duration(i)*medianEvery))...)
		}
	}
	return all
}

// Story: callers see time-outs from one endpoint of several. The endpoint
// dies, two calls on it are lost in a row, and it is ejected; after two
// seconds it may be tried with single calls. The first try fails, so it stays
// out for twice as long; then it works, and after three answers is live.
func TestHealthDeadEndpointComesBack(t *testing.T) {
	h, names := testHealth(4)
	now := start
	assert.Equal(t, len(h.Observe("llm", names[0], CallLost, 0, now)), 0)
	moved := h.Observe("llm", names[0], CallLost, 0, now)
	assert.DeepEqual(t, moved, []Transition{{
		Pool: "llm", Endpoint: names[0], From: StateLive, To: StateEjected, Reason: HealthFailing, Until: now.Add(ejectionBase),
	}})
	assert.Equal(t, len(h.Tick(now.Add(ejectionBase-1))), 0)
	now = now.Add(ejectionBase)
	assert.Equal(t, h.Tick(now)[0].To, StateProbation)
	moved = h.Observe("llm", names[0], CallLost, 0, now)
	assert.Equal(t, moved[0].Until, now.Add(2*ejectionBase))
	now = now.Add(2 * ejectionBase)
	h.Tick(now)
	for range probationCalls {
		assert.Equal(t, h.State("llm", names[0]), StateProbation)
		h.Observe("llm", names[0], CallSucceeded, time.Second, now)
	}
	assert.Equal(t, h.State("llm", names[0]), StateLive)
}

// Story: a customer waits ten times as long whenever one endpoint is chosen.
// It answers, so nothing fails; but its calls run past three times the
// pool's median, and four of them are enough to eject it while they still run.
func TestHealthStragglerEjectedByRunningCalls(t *testing.T) {
	h, names := testHealth(6)
	assert.Equal(t, h.OverdueAfter("llm"), time.Duration(0))
	succeedAll(h, names[1:], 5, 400*time.Millisecond, start)
	after := h.OverdueAfter("llm")
	assert.Assert(t, after > 1200*time.Millisecond && after < 1300*time.Millisecond, "%v", after)
	for range overdueOut - 1 {
		assert.Equal(t, len(h.Overdue("llm", names[0], start)), 0)
	}
	moved := h.Overdue("llm", names[0], start)
	assert.Equal(t, moved[0].Reason, HealthStraggler)
}

// Story: an endpoint turns ten times slower after it has answered well. Callers
// missed their deadlines for four seconds: the ages of its running calls, all
// just past the threshold, were averaged with its good times from before. Calls
// that come at usual speed pay off overdue ones, but earlier ones do not count.
func TestHealthOverdueCallsNeedNoAverage(t *testing.T) {
	h, names := testHealth(6)
	succeedAll(h, names, 20, 400*time.Millisecond, start)
	now := start.Add(time.Minute)
	for range 20 {
		assert.Equal(t, len(h.Overdue("llm", names[1], now)), 0)
		h.Observe("llm", names[1], CallSucceeded, 400*time.Millisecond, now)
	}
	for range overdueOut - 1 {
		assert.Equal(t, len(h.Overdue("llm", names[0], now)), 0)
	}
	assert.Equal(t, h.Overdue("llm", names[0], now)[0].To, StateEjected)
}

// Story: an ejected endpoint is tried with one call, which hangs. Meanwhile the
// pool got slower, so that the call's age was no longer above the threshold, and
// three hanging calls made the endpoint live again.
func TestHealthOverdueInProbation(t *testing.T) {
	h, names := testHealth(6)
	succeedAll(h, names, 20, 400*time.Millisecond, start)
	for range overdueOut {
		h.Overdue("llm", names[0], start)
	}
	h.Tick(start.Add(ejectionBase))
	assert.Equal(t, h.State("llm", names[0]), StateProbation)
	assert.Equal(t, h.Overdue("llm", names[0], start.Add(ejectionBase))[0].To, StateEjected)
}

// Story: a storm makes calls overdue on all endpoints before the pool's median
// has followed. Those whose fourth came first must not be taken out of it.
func TestHealthOverdueOnAllEjectsNobody(t *testing.T) {
	h, names := testHealth(6)
	succeedAll(h, names, 20, 400*time.Millisecond, start)
	for i := range 3 * overdueOut {
		for _, name := range names {
			assert.Equal(t, len(h.Overdue("llm", name, start)), 0, "%d", i)
		}
	}
}

// Story: in a storm all endpoints slow down together. Were the slow ones
// ejected, their load would slow the others further, until none is left.
func TestHealthLoadOnAllEjectsNobody(t *testing.T) {
	h, names := testHealth(6)
	succeedAll(h, names, 20, 400*time.Millisecond, start)
	assert.Equal(t, len(succeedAll(h, names, 60, 4*time.Second, start.Add(time.Minute))), 0)
}

// Story: a caller sends calls that every endpoint rejects. The endpoints are
// sound, and callers with good calls must not lose half of the pool.
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
	h.Pardon()
	assert.Equal(t, len(h.Observe("llm", names[0], CallLost, 0, start)), 0)
}

// TestHealthNeverEjectsMoreThanHalf tries any sequence of outcomes.
func TestHealthNeverEjectsMoreThanHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "size")
		h, names := testHealth(size)
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "name")
			outcome := CallOutcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
			took := time.Duration(rapid.IntRange(1, 5000).Draw(t, "took")) * time.Millisecond
			h.Observe("llm", name, outcome, took, now)
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
