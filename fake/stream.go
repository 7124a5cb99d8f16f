package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/internal/sleep"
)

// tokenStream writes a generation as server-sent events, with a fault if one is
// set for the reply.
type tokenStream struct {
	w        http.ResponseWriter
	faults   *faults
	sequence *sequence
	// next is the index of the next token to write.
	next  int
	fault ReplyFault
	// delay is the delay of the done event for ReplyDelay.
	delay time.Duration
}

// run writes events until the generation or ctx ends.
func (t *tokenStream) run(ctx context.Context) {
	t.w.Header().Set("Content-Type", "text/event-stream")
	t.flush()
	for {
		v := t.sequence.view()
		if !t.faults.wait(ctx.Done()) {
			abort()
		}
		t.writeTokens(v.generated)
		switch v.state {
		case sequenceDone:
			t.writeDone(ctx, v)
			return
		case sequenceFailed:
			t.writeEvent(endpoint.EventError, endpoint.FailureReply{Call: t.callID(), Error: "the generation failed"})
			return
		case sequenceDropped:
			abort()
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		}
	}
}

// callID returns the call ID to write into events.
func (t *tokenStream) callID() string {
	if t.fault == ReplyForeign {
		return "foreign/" + t.sequence.request.Call
	}
	return t.sequence.request.Call
}

func (t *tokenStream) writeTokens(until int) {
	if t.next >= until {
		return
	}
	for ; t.next < until; t.next++ {
		t.writeToken(t.next)
	}
	t.flush()
}

// writeToken writes one token, subject to the fault.
func (t *tokenStream) writeToken(seq int) {
	half := len(t.sequence.tokens) / 2
	switch {
	case t.fault == ReplyTruncate && seq == half:
		t.flush()
		abort()
	case t.fault == ReplyGap && seq == half:
		return
	case t.fault == ReplyReorder && seq < 2:
		seq = 1 - seq
	case t.fault == ReplyDuplicate:
		t.writeTokenEvent(seq)
	}
	t.writeTokenEvent(seq)
}

func (t *tokenStream) writeTokenEvent(seq int) {
	t.writeEvent(endpoint.EventToken, endpoint.TokenEvent{Call: t.callID(), Seq: seq, Text: t.sequence.tokens[seq]})
}

func (t *tokenStream) writeDone(ctx context.Context, v sequenceView) {
	switch t.fault {
	case ReplyUnclosed:
		return
	case ReplyDelay:
		sleep.For(ctx, t.delay)
	}
	t.writeEvent(endpoint.EventDone, endpoint.DoneEvent{
		Call:   t.callID(),
		Tokens: v.generated,
		Output: render(t.sequence.request.Stage, t.sequence.digest, t.sequence.tokens),
		Cost:   int64(v.cost),
	})
	t.flush()
}

func (t *tokenStream) writeEvent(name string, data any) {
	body, err := json.Marshal(data)
	if err != nil {
		panic("fake: encode event: " + err.Error())
	}
	_, _ = fmt.Fprintf(t.w, "event: %s\ndata: %s\n\n", name, body)
}

func (t *tokenStream) flush() { _ = http.NewResponseController(t.w).Flush() }
