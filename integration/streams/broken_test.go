package streams

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
)

// breakOffs are breaks inside the first event, a later one and a large one.
var breakOffs = map[string]breakOff{
	"first event":      {rest: "id: 1\ndata: pie"},
	"no event":         {},
	"later event":      {after: 3, rest: "id: 4\nda"},
	"blank line":       {after: 3, rest: "id: 4\ndata: v1 piece 4\n"},
	"reset":            {after: 3, rest: "id: 4\nda", reset: true},
	"large last event": {after: streamLength - 1, rest: "id: 8\ndata: " + strings.Repeat("x", 20<<10)},
}

// Guards against a stream that an endpoint breaks off inside an event and that reaches its
// caller as whole, through any gateway, from a model engine or a plain service.
func TestBrokenStreamsLookBroken(t *testing.T) {
	t.Parallel()
	r := newRig(t, time.Millisecond)
	for i := range 3 {
		r.addEndpoint("llm", fmt.Sprintf("llm-%d", i), "v1")
		r.addEndpoint("feed", fmt.Sprintf("feed-%d", i), "v1")
	}
	r.startMembers()
	for name, b := range breakOffs {
		for i, m := range r.members {
			for _, route := range []string{"model", "plain"} {
				got := r.send(m, call{route: route, body: b.body()})
				assert.Check(t, !got.complete, "%s at g%d, route %s: %q looks complete", name, i+1, route, got.body)
				testwait.For(t, recoveryTimeout, func() bool {
					return m.LogHas(`"event":"stream_ended"`, `"request":"`+got.id+`"`)
				})
				got = r.send(m, call{route: route + "-resume", body: b.body()})
				assert.Check(t, got.complete && got.body == wholeStream("v1"), "%s at g%d, route %s-resume: status %d, %q", name, i+1, route, got.status, got.body)
			}
		}
	}
	for i, m := range r.members {
		for _, route := range []string{"model", "plain", "model-resume", "plain-resume"} {
			got := r.send(m, call{route: route})
			assert.Check(t, got.complete && got.body == wholeStream("v1"), "whole stream at g%d, route %s: status %d, %q", i+1, route, got.status, got.body)
		}
	}
}

// Guards against a broken stream that looks whole to a caller of HTTP/1.0: to it the end of
// the connection is the end of the answer.
func TestBrokenStreamsLookBrokenWithoutChunks(t *testing.T) {
	t.Parallel()
	const pace = 30 * time.Millisecond
	r := newRig(t, pace)
	r.addEndpoint("llm", "llm-0", "v1")
	r.addEndpoint("feed", "feed-0", "v1")
	r.startMembers()
	for _, route := range []string{"model", "plain"} {
		for _, name := range []string{"later event", "blank line", "reset", "large last event"} {
			got, err := r.sendHTTP10(r.members[0], route, breakOffs[name].body())
			assert.Check(t, err != nil, "%s, route %s: %q looks complete", name, route, got)
			assert.Check(t, strings.HasSuffix(got, eventText(breakOffs[name].after, "v1")), "%s, route %s: %q lacks events", name, route, got)
		}
		got, err := r.sendHTTP10(r.members[0], route, "")
		assert.Check(t, err == nil && strings.HasSuffix(got, wholeStream("v1")), "whole stream, route %s: %q, %v", route, got, err)
	}
	var client sync.WaitGroup
	client.Go(func() {
		got, err := r.sendHTTP10(r.members[0], "model", "")
		assert.Check(t, err != nil, "the gateway is killed: %q looks complete", got)
	})
	waitFor(streamLength / 2 * pace)
	r.members[0].Kill()
	client.Wait()
}
