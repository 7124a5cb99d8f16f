package integration

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
)

// tokenData is the data of a token event.
type tokenData struct {
	Seq  int    `json:"seq"`
	Text string `json:"text"`
}

// streamFleet starts the pools of the assistant, with one endpoint each.
func streamFleet(t *testing.T) *harness.Fleet {
	return harness.Start(t, harness.Config{
		Pools: map[string]int{"encoders": 1, "retrievers": 1, "rerankers": 1, "fitting-engines": 1, catalogue: 1},
		// With one attempt each fault reaches the caller.
		Edit: func(b *bundle.Bundle) { b.Policy.MaxAttempts = 1 },
	})
}

// checkStream checks that a stream consists of tokens without a gap and one final
// event. It returns the text of the tokens.
func checkStream(t *testing.T, reply *harness.Reply) (text string) {
	t.Helper()
	assert.NilError(t, reply.Err)
	assert.Assert(t, len(reply.Events) > 0, "%s", reply.Body)
	for i, e := range reply.Events {
		if i == len(reply.Events)-1 {
			assert.Assert(t, e.Name == "answer" || e.Name == "problem", "%s", reply.Body)
			break
		}
		assert.Equal(t, e.Name, "token")
		var token tokenData
		assert.NilError(t, json.Unmarshal(e.Data, &token))
		assert.Equal(t, token.Seq, i)
		text += token.Text
	}
	return text
}

// TestStreamEndsWithOneAnswer checks that the tokens of a stream add up to the text of
// the answer, and that the last event tells whether the text is complete.
func TestStreamEndsWithOneAnswer(t *testing.T) {
	fleet := streamFleet(t)
	for _, pipeline := range []string{assistant, catalogue} {
		input := harness.Marker("streamed-" + pipeline)
		reply := fleet.Send(t.Context(), 0, harness.Call{Pipeline: pipeline, Input: input, Stream: true})
		text := checkStream(t, reply)
		assert.Equal(t, reply.Outcome(), api.OutcomeAnswered, "%s", reply.Body)
		assert.Equal(t, string(reply.Answer.Output), string(harness.Expect(fleet.Bundle, pipeline, input)))
		assert.Equal(t, reply.Answer.RequestID, reply.RequestID())
		if pipeline == assistant {
			var output fake.Output
			assert.NilError(t, json.Unmarshal(reply.Answer.Output, &output))
			assert.Equal(t, text, output.Text)
			assert.Equal(t, len(reply.Events), output.Tokens+1)
		}
	}
}

// TestBrokenStreamEndsWithOneEvent guards against partial streams that are reported as
// complete. The engine's stream ends or is cut in the middle, or has missing or wrong
// tokens. The caller must get either the complete answer, as when the engine still has
// the rest, or a problem that names the stages that ran.
func TestBrokenStreamEndsWithOneEvent(t *testing.T) {
	fleet := streamFleet(t)
	for _, fault := range []fake.ReplyFault{
		fake.ReplyTruncate, fake.ReplyUnclosed, fake.ReplyGap, fake.ReplyReorder, fake.ReplyForeign, fake.ReplyDuplicate,
	} {
		t.Run(string(fault), func(t *testing.T) {
			// After a broken reply the engine is avoided for a while.
			fleet.WaitEntry(0, replyTimeout)
			once := 1
			fleet.Endpoint("fitting-engines-1").Apply(fake.Control{Reply: &fault, ReplyCount: &once})
			input := harness.Marker("broken-" + string(fault))
			reply := fleet.Send(t.Context(), 0, harness.Call{Pipeline: assistant, Input: input, Stream: true})
			assert.NilError(t, reply.Err)
			t.Logf("%s, %d events", reply.Outcome(), len(reply.Events))
			if reply.Answer != nil {
				text := checkStream(t, reply)
				want := harness.Expect(fleet.Bundle, assistant, input)
				assert.Equal(t, string(reply.Answer.Output), string(want))
				assert.Assert(t, strings.Contains(string(want), text) && text != "")
				return
			}
			if len(reply.Events) > 0 {
				checkStream(t, reply)
			}
			assert.Assert(t, reply.Problem != nil, "%s", reply.Body)
			assert.Assert(t, reply.Problem.RequestID != "")
			assert.Assert(t, reply.Outcome() == api.OutcomeCutShort || reply.Outcome() == api.OutcomeUnknown)
			assert.Assert(t, len(reply.Problem.Stages) >= 4, "%s", reply.Body)
		})
	}
}

// TestFailureBeforeTheFirstToken checks that the caller gets a problem document with
// its HTTP status, as without a stream, if the engine fails before the first token.
func TestFailureBeforeTheFirstToken(t *testing.T) {
	fleet := streamFleet(t)
	always := 1.0
	fleet.Endpoint("fitting-engines-1").Apply(fake.Control{FailRate: &always})
	reply := fleet.Send(t.Context(), 0, harness.Call{Pipeline: assistant, Input: harness.Marker("failed"), Stream: true})
	assert.NilError(t, reply.Err)
	assert.Equal(t, reply.Outcome(), api.OutcomeCutShort, "%s", reply.Body)
	assert.Equal(t, reply.Status, reply.Problem.Status)
	assert.Equal(t, len(reply.Events), 0)
}
