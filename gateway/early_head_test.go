package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/gateway"
	"github.com/mangostage/mangostage/platform"
)

const (
	earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	eventsLine = "Content-Type: text/event-stream"
	// headStep is the number of bytes between two ends of a head; nearTheEnd is how many
	// bytes before its last one each is tried.
	headStep, nearTheEnd = 7, 6
)

// heads are heads of answers, by form. The placeholder is the request's ID.
var heads = map[string]string{
	"length":                rawHead(200, "%ID", sealLine, "Content-Length: 5"),
	"chunks":                rawHead(200, "%ID", sealLine, chunkedLine),
	"stream by chunks":      rawHead(200, "%ID", sealLine, eventsLine, chunkedLine),
	"stream by connection":  rawHead(200, "%ID", sealLine, eventsLine, closeLine),
	"body by connection":    rawHead(200, "%ID", closeLine, sealLine),
	"empty body":            rawHead(200, "%ID", sealLine, "Content-Length: 0"),
	"after hints":           earlyHints + rawHead(200, "%ID", sealLine, "Content-Length: 5"),
	"stream after hints":    earlyHints + earlyHints + rawHead(200, "%ID", sealLine, eventsLine, chunkedLine),
	"HTTP/1.0":              strings.Replace(rawHead(200, "%ID", sealLine), "HTTP/1.1", "HTTP/1.0", 1),
	"lines end without \\r": strings.ReplaceAll(rawHead(200, "%ID", sealLine, "Content-Length: 5"), "\r\n", "\n"),
}

// endsOf returns the offsets at which a head is cut.
func endsOf(head string) []int {
	var ends []int
	for n := range head {
		if n%headStep == 0 || len(head)-n <= nearTheEnd {
			ends = append(ends, n)
		}
	}
	return ends
}

// cutHead returns an answer that ends inside its head: the connection is closed, or only this
// end's side of it.
func cutHead(head string, end int, half bool) func(w rawWriter, id string) {
	return func(w rawWriter, id string) {
		text := strings.ReplaceAll(head, "%ID", id)
		w.send(text[:min(len(text)-1, max(0, len(text)-len(head)+end))])
		if half {
			_ = w.conn.(*net.TCPConn).CloseWrite()
			w.awaitEnd()
			return
		}
		_ = w.conn.Close()
	}
}

// Guards against an endpoint that stops inside the head of its answer and a caller that gets
// a whole 200 with an empty or short body.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	t.Parallel()
	for form, head := range heads {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s half=%v", form, half), func(t *testing.T) {
				t.Parallel()
				r := newRig(t)
				answer := func(rawWriter, string) {}
				e := startRaw(t, func(w rawWriter, id string) { answer(w, id) })
				r.add("plain", "i-1", e.addr)
				r.add("model", "m-1", e.addr)
				for n, end := range endsOf(head) {
					answer = cutHead(head, end, half)
					path := []string{"/once/", "/idem/", "/events/", "/events-resume/", "/stream/", "/resume/"}[n%6]
					got := r.do(r.request(http.MethodPost, path, "order"))
					assert.Assert(t, got.err != nil || got.status >= http.StatusInternalServerError, "%s cut at %d: %d %q looks whole", path, end, got.status, got.body)
				}
				assert.Assert(t, e.arrivals.Load() > 0)
			})
		}
	}
}

// Guards against a request that may be repeated and ends with the endpoint whose head ended
// early, although another endpoint is there.
func TestRequestGoesOnAfterAHeadThatEndsEarly(t *testing.T) {
	t.Parallel()
	for _, half := range []bool{false, true} {
		for _, form := range []string{"length", "stream by chunks", "after hints"} {
			for _, end := range endsOf(heads[form]) {
				answer := cutHead(heads[form], end, half)
				checkSentOn(t, streamRoute{"/idem/", "plain"}, answer)
				checkSentOn(t, streamRoute{"/resume/", "model"}, answer)
			}
		}
	}
}

// Guards against pieces of stages that count as done, and a store that counts as empty, after
// a head that ended early.
func TestCallsWhoseHeadEndsEarlyFail(t *testing.T) {
	t.Parallel()
	for form, head := range heads {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s half=%v", form, half), func(t *testing.T) {
				t.Parallel()
				for _, end := range endsOf(head) {
					e := startRaw(t, cutHead(head, end, half))
					transport := gateway.NewTransport()
					ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
					stages := platform.NewStageClient(&http.Client{Transport: transport})
					reply, err := stages.Run(ctx, "s-1", e.addr, []platform.Piece{{Request: "a", Remaining: time.Second}})
					assert.Assert(t, err != nil && len(reply.Results) == 0, "cut at %d: %+v", end, reply)
					_, err = stages.Free(ctx, "s-1", e.addr, []string{"h"})
					assert.Assert(t, err != nil, "cut at %d", end)
					timeouts := platform.Timeouts{Read: giveUpTime, Watch: giveUpTime, Idle: giveUpTime, Total: giveUpTime}
					store := platform.NewStore(e.addr, &http.Client{Transport: transport}, timeouts)
					_, err = store.Range(ctx, platform.PrefixEndpoints, "")
					assert.Assert(t, err != nil, "cut at %d", end)
					_, err = store.Watch(ctx, platform.PrefixEndpoints, 1, time.Millisecond)
					assert.Assert(t, err != nil, "cut at %d", end)
					cancel()
					transport.CloseIdleConnections()
				}
			})
		}
	}
}
