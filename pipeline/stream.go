package pipeline

import (
	"bytes"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

// streams tells whether the current stage's pieces go to the caller.
func (r *request) streams() bool { return r.Stream && r.stage == r.lastStage() }

// onChunk takes in a piece of the last stage's output. Pieces of an attempt
// are taken only in order and without a gap. After a retry the new attempt
// must first repeat, byte for byte, what the caller already has; otherwise the
// caller would read a mixture of two outputs.
func (t *turn) onChunk(chunk wire.StageChunk) {
	a := t.attempt(chunk.ID)
	if a == nil || a.over() {
		return
	}
	// A piece of output shows that the endpoint ran the call.
	a.learn(ran)
	r := t.r
	if !r.streams() || a.stage != r.stage || a.gap || r.abandoned || r.phase == peeking || t.now.After(r.Deadline) {
		return
	}
	if chunk.Seq < a.chunks {
		return
	}
	if chunk.Seq > a.chunks || a.matched+len(chunk.Text) > maxForwarded {
		// From here on the caller gets no pieces, only the complete output.
		a.gap = true
		return
	}
	a.chunks++
	t.forward(a, []byte(chunk.Text))
}

func (t *turn) forward(a *attempt, text []byte) {
	r := t.r
	known := r.forwarded[a.matched:]
	n := min(len(known), len(text))
	if !bytes.Equal(known[:n], text[:n]) {
		if t.othersContinue(a) {
			a.gap = true
			t.revoke(a)
			return
		}
		t.diverged()
		return
	}
	a.matched += n
	fresh := text[n:]
	if len(fresh) == 0 {
		return
	}
	a.matched += len(fresh)
	r.forwarded = append(r.forwarded, fresh...)
	t.emit(Chunk{RequestID: r.RequestID, Ref: r.Ref, Seq: r.nextChunk, Text: string(fresh)})
	r.nextChunk++
}

// othersContinue tells whether another attempt is running that has repeated all
// that the caller has. Two run at once when the first one's endpoint was ejected.
func (t *turn) othersContinue(a *attempt) bool {
	for _, other := range t.r.attempts {
		if other != a && other.stage == a.stage && !other.over() && !other.gap && other.matched == len(t.r.forwarded) {
			return true
		}
	}
	return false
}

// diverged ends a request whose new attempt doesn't continue what was streamed.
func (t *turn) diverged() {
	t.r.abandoned = true
	t.conclude(cause{reason: api.ReasonEndpointLost, detail: "the stream was cut and could not be continued"})
}
