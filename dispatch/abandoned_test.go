package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startCalls returns the calls among the effects since the last ones.
func startCalls(c *Core) []StartCall {
	var calls []StartCall
	for _, e := range c.Effects() {
		if call, ok := e.(StartCall); ok {
			calls = append(calls, call)
		}
	}
	return calls
}

// Guards against an endpoint that is blamed, or called again at once, because the member that called
// it was lost: it may still work on the call, and its memory is taken.
func TestAbandonedCallIsMadeElsewhere(t *testing.T) {
	c := New("test", nil, nil)
	c.SetView(epoch, testView([]string{"north"}, 2))
	j := testJob("a")
	j.Stages = []StageWork{{Service: serviceHeavy, Pieces: 1, ResultBytes: 1000}}
	assert.NilError(t, c.Submit(epoch, j))
	first := startCalls(c)
	assert.Equal(t, len(first), 1)
	now := epoch.Add(20 * time.Millisecond)
	c.CallEnded(now, first[0].Call, CallAbandoned, nil)
	second := startCalls(c)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Key != first[0].Key)
	for _, w := range c.pools[serviceHeavy].workers {
		if w.key != first[0].Key {
			continue
		}
		assert.Assert(t, !w.suspect)
		assert.Equal(t, w.usedMemory, int64(1000))
		assert.Assert(t, !w.idle(now))
		assert.Assert(t, w.idle(epoch.Add(w.spec.CallTimeFor(1))))
	}
	c.CallEnded(now, first[0].Call, CallOK, []Outcome{{Handle: "late"}})
	assert.Equal(t, len(c.jobs["a"].stages[0].waiting), 0, "a late end of an abandoned call says nothing")
}
