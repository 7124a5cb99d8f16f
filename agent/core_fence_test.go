package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

// TestNeverIsAPromise: an order is sent through one entry, which dies with the
// call on its way. The caller sends it again through another, is refused because
// the owner says "never", and places it anew. The first call arrives at last. It
// must not run, while the order sent again after the refusal may.
func TestNeverIsAPromise(t *testing.T) {
	const skew = 100 * time.Millisecond
	tests := map[string]struct {
		entry string
		// sent is when the call was sent, after the peek.
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
			b := newBench(t, CoreConfig{})
			b.pass(2 * time.Second)
			call := b.order("order", 1)
			asked := b.now
			state, list := b.core.Peek(b.now, wire.Peek{
				Identity: call.Identity, Stage: call.ID.Stage, Entry: "entry-2@b", At: asked,
			})
			b.do(list)
			assert.Equal(t, state, wire.PeekNever)
			b.pass(time.Second)
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

// TestNoPromiseWithoutRoom: a full table of fences must not let an owner say
// "never", and is emptied when no barred call can come any more.
func TestNoPromiseWithoutRoom(t *testing.T) {
	b := newBench(t, CoreConfig{MaxUnrepeatable: 1})
	b.pass(2 * time.Second)
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
	b.pass(time.Minute)
	second.Identity.KeyTime = b.now
	assert.Equal(t, peek(second), wire.PeekNever)
}
