package pipeline

import (
	"bytes"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/wire"
)

// streams reports whether the chunks of the current stage are sent to the
// caller.
func (r *request) streams() bool { return r.Stream && r.stage == r.lastStage() }

// onChunk handles a chunk of output. The chunks of an attempt are accepted only
// in order and without a gap. After a retry the new attempt must first repeat,
// byte for byte, what the caller has received; otherwise the caller would read
// a mixture of two outputs.
func (t *transition) onChunk(chunk wire.StageChunk) {
	a := t.attempt(chunk.ID)
	if a == nil || a.ended() {
		return
	}
	// Output proves that the endpoint ran the call.
	a.advance(ran)
	r := t.r
	if !r.streams() || a.stage != r.stage || a.streamStopped || r.abandoned || r.phase == peeking || t.now.After(r.Deadline) {
		return
	}
	if chunk.Seq < a.chunkCount {
		return
	}
	if chunk.Seq > a.chunkCount || a.matchedBytes+len(chunk.Text) > maxForwarded {
		// After a gap or beyond the limit the caller gets no further chunks of
		// this attempt, only the complete output.
		a.streamStopped = true
		return
	}
	a.chunkCount++
	t.forward(a, []byte(chunk.Text))
}

// forward sends the caller the part of text that it has not received yet. If
// text contradicts what the caller has received, the attempt is revoked or, if
// no other attempt can continue the stream, the request is given up.
func (t *transition) forward(a *attempt, text []byte) {
	r := t.r
	received := r.forwarded[a.matchedBytes:]
	n := min(len(received), len(text))
	if !bytes.Equal(received[:n], text[:n]) {
		if t.otherAttemptMatches(a) {
			a.streamStopped = true
			t.revoke(a)
			return
		}
		t.giveUpStream()
		return
	}
	a.matchedBytes += n
	fresh := text[n:]
	if len(fresh) == 0 {
		return
	}
	a.matchedBytes += len(fresh)
	r.forwarded = append(r.forwarded, fresh...)
	t.emit(Chunk{RequestID: r.RequestID, Ref: r.Ref, Seq: r.nextChunk, Text: string(fresh)})
	r.nextChunk++
}

// otherAttemptMatches reports whether another running attempt has repeated all
// output that the caller has received. Two attempts run at once after the
// endpoint of the first was ejected.
func (t *transition) otherAttemptMatches(a *attempt) bool {
	for _, other := range t.r.attempts {
		if other != a && other.stage == a.stage && !other.ended() && !other.streamStopped && other.matchedBytes == len(t.r.forwarded) {
			return true
		}
	}
	return false
}

// giveUpStream ends a request whose new attempt does not continue what was
// streamed.
func (t *transition) giveUpStream() {
	t.r.abandoned = true
	t.giveUp(cause{reason: api.ReasonEndpointLost, detail: "the stream was cut and could not be continued"})
}
