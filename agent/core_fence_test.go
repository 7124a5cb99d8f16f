package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

// TestPeekNeverFencesEarlierCalls: an entry dies while an order that it sent is
// in transit. The client resends the order through another entry, is refused
// because the owner answers the peek with "never", and places the order anew.
// When the first call finally arrives it must not run, while an order that was
// sent after the peek may.
func TestPeekNeverFencesEarlierCalls(t *testing.T) {
	const skew = 100 * time.Millisecond
	tests := map[string]struct {
		entry string
		// sent is when the call was sent, relative to the peek.
		sent time.Duration
		runs bool
	}{
		"sent before":                          {"entry-1@a#1", -time.Second, false},
		"sent before, by the asking entry":     {"entry-2@b#1", -time.Millisecond, false},
		"sent after, by the asking entry":      {"entry-2@b#2", time.Millisecond, true},
		"by another within the clocks' skew":   {"entry-1@a#2", skew / 2, false},
		"by another later than the skew":       {"entry-1@a#2", skew + time.Millisecond, true},
		"by a restarted entry within the skew": {"entry-2@c#1", skew / 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newCoreHarness(t, CoreConfig{})
			b.advance(2 * time.Second)
			call := b.order("order", 1)
			asked := b.now
			state, list := b.core.Peek(b.now, wire.Peek{
				Identity: call.Identity, Stage: call.ID.Stage, Entry: "entry-2@b", At: asked,
			})
			b.do(list)
			assert.Equal(t, state, wire.PeekNever)
			b.advance(time.Second)
			call.ID.Entry = test.entry
			call.Deadline = asked.Add(test.sent).Add(call.Budget)
			token := b.send(call)
			if test.runs {
				assert.Equal(t, len(b.runs), 1)
				return
			}
			assert.Equal(t, len(b.runs), 0)
			assert.Equal(t, b.replies[token].Status, wire.StatusRefused)
			assert.Equal(t, b.replies[token].Reason, api.ReasonRevoked)
			assert.Equal(t, b.replies[token].RetryAfter, skew)
		})
	}
}

// TestPeekWithoutRoomForFence: with a full table of fences an owner must not
// answer "never". Fences are removed once no blocked call can arrive any more.
func TestPeekWithoutRoomForFence(t *testing.T) {
	b := newCoreHarness(t, CoreConfig{MaxUnrepeatable: 1})
	b.advance(2 * time.Second)
	first, second := b.order("first", 1), b.order("second", 1)
	for b.core.identities.shard(keyOf(&second)) != b.core.identities.shard(keyOf(&first)) {
		second.Identity.Value += "'"
	}
	peek := func(call wire.StageCall) wire.PeekState {
		state, _ := b.core.Peek(b.now, wire.Peek{Identity: call.Identity, Stage: call.ID.Stage, Entry: "e", At: b.now})
		return state
	}
	assert.Equal(t, peek(first), wire.PeekNever)
	assert.Equal(t, peek(second), wire.PeekUnknown)
	assert.Equal(t, peek(first), wire.PeekNever)
	b.advance(time.Minute)
	second.Identity.KeyTime = b.now
	assert.Equal(t, peek(second), wire.PeekNever)
}
