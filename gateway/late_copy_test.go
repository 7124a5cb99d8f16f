package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform/standin"
)

// runTime is how long an endpoint works for a request.
const runTime = 10 * time.Millisecond

// statedLine is the line of an endpoint's answer which states that the request has not run.
const statedLine = "Mangostage-Not-Executed: 1"

// copyingEngine refuses each request when it first arrives, and runs it when it comes again. If
// it comes again on a connection that has carried it, the engine first sends its refusal once
// more.
type copyingEngine struct {
	// refusal is the status of refusals.
	refusal int
	// copies is how often it sends a refusal again at most, for each request.
	copies int

	mu sync.Mutex
	// arrivals and runs count by request; carried holds the requests that each connection has
	// brought first.
	arrivals, runs map[string]int
	carried        map[net.Conn]map[string]bool
}

func (e *copyingEngine) answer(w rawWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.arrivals == nil {
		e.arrivals, e.runs, e.carried = make(map[string]int), make(map[string]int), make(map[net.Conn]map[string]bool)
	}
	refusal := rawHead(e.refusal, id, statedLine, "Content-Length: 0")
	e.arrivals[id]++
	if e.arrivals[id] == 1 {
		e.carried[w.conn] = map[string]bool{id: true}
		w.send(refusal)
		return
	}
	e.runs[id]++
	if e.carried[w.conn][id] && e.arrivals[id] <= 1+e.copies {
		w.send(refusal)
	}
	body := streamBody(2)
	w.send(rawHead(http.StatusOK, id, sealLine, eventsLine, fmt.Sprintf("Content-Length: %d", len(body))) + body)
}

// Guards against a late copy of the refusal of a first send that is taken for the answer to a
// second one, over the same connection: what runs is refused with a promise, or runs twice.
func TestLateCopyOfARefusalAnswersNoSecondSend(t *testing.T) {
	for _, copies := range []int{1, 5} {
		t.Run(fmt.Sprintf("copies=%d", copies), func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.add("stage", "s-1", serve(t, &standin.StageEndpoint{ID: "s-1", Addr: "s"}))
			engine := &copyingEngine{refusal: http.StatusConflict, copies: copies}
			r.add("model", "m-1", startRaw(t, engine.answer).addr)
			for range 10 {
				req := r.request(http.MethodPost, "/staged/", "prompt")
				req.Header.Set("Mangostage-Segments", "1")
				r.checkRunsOnce(req, engine)
			}
		})
	}
}

// checkRunsOnce checks that a request which the engine refuses when it first comes is served, and
// runs once.
func (r *rig) checkRunsOnce(req *http.Request, engine *copyingEngine) {
	r.t.Helper()
	id := req.Header.Get("Mangostage-Attempt-Id")
	got := r.do(req)
	engine.mu.Lock()
	runs := engine.runs[id]
	engine.mu.Unlock()
	assert.Check(r.t, runs <= 1, "%s ran %d times", id, runs)
	assert.Check(r.t, runs == 0 || got.status != http.StatusServiceUnavailable, "%s ran and was answered %d: %s", id, got.status, got.body)
	assert.Check(r.t, got.status == http.StatusOK && got.body == streamBody(2), "%s: %d %q %v", id, got.status, got.body, got.err)
}

// Guards against a connection that stays one answer behind after a late copy of an answer without
// a body: each request that it carries from then on runs and fails.
func TestConnectionIsNotUsedAfterAStrayAnswer(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	var mu sync.Mutex
	var last string
	copied := false
	empty := func(id string) string { return rawHead(http.StatusOK, id, sealLine, "Content-Length: 0") }
	e := startRaw(t, func(w rawWriter, id string) {
		mu.Lock()
		defer mu.Unlock()
		if last != "" && !copied {
			copied = true
			w.send(empty(last))
		}
		time.Sleep(runTime)
		last = id
		w.send(empty(id))
	})
	r.add("plain", "i-1", e.addr)
	failed := 0
	for range 10 {
		if r.do(r.request(http.MethodPost, "/once/", "order")).status != http.StatusOK {
			failed++
		}
	}
	assert.Equal(t, failed, 1, "only the request that met the copy may have run without an answer")
}
