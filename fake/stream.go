package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/endpoint"
)

// tokenStream writes a generation as server-sent events, spoiled as told.
type tokenStream struct {
	w        http.ResponseWriter
	faults   *faults
	sequence *sequence
	next     int
	fault    ReplyFault
	delay    time.Duration
}

// run writes until the generation ends or ctx does.
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
			t.done(ctx, v)
			return
		case sequenceFailed:
			t.event(endpoint.EventError, endpoint.FailureReply{Call: t.call(), Error: "the generation failed"})
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

// call is the ID to name in events.
func (t *tokenStream) call() string {
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
		t.token(seq)
	}
	t.token(seq)
}

func (t *tokenStream) token(seq int) {
	t.event(endpoint.EventToken, endpoint.TokenEvent{Call: t.call(), Seq: seq, Text: t.sequence.tokens[seq]})
}

func (t *tokenStream) done(ctx context.Context, v view) {
	switch t.fault {
	case ReplyUnclosed:
		return
	case ReplyDelay:
		sleep(ctx, t.delay)
	}
	t.event(endpoint.EventDone, endpoint.DoneEvent{
		Call:   t.call(),
		Tokens: v.generated,
		Output: render(t.sequence.request.Stage, t.sequence.digest, t.sequence.tokens),
		Cost:   int64(v.cost),
	})
	t.flush()
}

func (t *tokenStream) event(name string, data any) {
	body, err := json.Marshal(data)
	if err != nil {
		panic("fake: encode event: " + err.Error())
	}
	_, _ = fmt.Fprintf(t.w, "event: %s\ndata: %s\n\n", name, body)
}

func (t *tokenStream) flush() { _ = http.NewResponseController(t.w).Flush() }
