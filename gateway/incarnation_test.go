package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform/standin"
)

// promptly is much less than the clients' deadline of 4 s, after which a
// request to a silent endpoint is given up in any case.
const promptly = 2500 * time.Millisecond

// stalls adds an engine whose first n runs begin a stream and then fall
// silent until the test ends; the later ones go on from the last event.
func (r *rig) stalls(n int) *standin.Endpoint {
	ended := make(chan struct{})
	var mu sync.Mutex
	runs := 0
	e := r.endpoint("model", "m-1", func(w http.ResponseWriter, run standin.Run) {
		mu.Lock()
		runs++
		stall := runs <= n
		mu.Unlock()
		last, err := strconv.Atoi(run.Header.Get("Last-Event-Id"))
		if err != nil {
			last = 0
		}
		standin.Seal(w)
		if stall {
			standin.Events(w, last+1, last+2)
			<-ended
			return
		}
		standin.Events(w, last+1, 6)
	})
	// Servers wait for their handlers when they close, which happens after this.
	r.t.Cleanup(func() { close(ended) })
	return e
}

// A note that is being written stops in the middle until the client gives up:
// its engine crashed behind a partition, so that no end of the connection was
// seen, and was back under its ID. The stream must go on at the new process.
func TestStreamOfEndedProcessGoesOn(t *testing.T) {
	r := newRig(t)
	e := r.stalls(1)
	var got answered
	var running sync.WaitGroup
	running.Go(func() { got = r.do(r.request(http.MethodPost, "/resume/", "prompt")) })
	testwait.For(t, patience, func() bool { return len(e.Runs()) == 1 })
	r.restart("m-1", true)
	running.Wait()
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(6))
}

// As above, with an order that must not run twice: its client gets an error that
// does not promise that it has not run, at once and not when its time is over.
func TestOrderAtEndedProcess(t *testing.T) {
	r := newRig(t)
	ended := make(chan struct{})
	e := r.endpoint("plain", "p-1", func(http.ResponseWriter, standin.Run) { <-ended })
	t.Cleanup(func() { close(ended) })
	var got answered
	var running sync.WaitGroup
	began := time.Now()
	running.Go(func() { got = r.do(r.request(http.MethodPost, "/once/", "order")) })
	testwait.For(t, patience, func() bool { return len(e.Runs()) == 1 })
	r.restart("p-1", true)
	running.Wait()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < promptly)
	assert.Equal(t, len(e.Runs()), 1)
}

// Each order to an endpoint that has started again gets no answer: it goes over
// a kept connection to the process that has ended, and is lost there.
func TestKeptConnectionToEndedProcess(t *testing.T) {
	r := newRig(t)
	process := &standin.Process{Handler: &standin.Endpoint{ID: "p-1"}}
	r.add("plain", "p-1", serve(t, process))
	assert.Equal(t, r.do(r.request(http.MethodPost, "/once/", "order")).status, http.StatusOK)
	process.Restart()
	r.restart("p-1", true)
	assert.Equal(t, r.do(r.request(http.MethodPost, "/once/", "order")).status, http.StatusOK)
}

// A note is written from another request's pieces: the endpoint that had made
// the pieces started again between the queue's verdict and the send, numbers its
// results anew, and the engine fetched what now has the same handle. The pieces
// must be made again.
func TestInputsOfEndedProcessAreNotSent(t *testing.T) {
	r := newRig(t)
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	var calls atomic.Int32
	r.add("stage", "s-1", serve(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		call := int32(0)
		if strings.HasSuffix(req.URL.Path, "stage-run") {
			call = calls.Add(1)
		}
		if call == 2 {
			r.tell()
		}
		stage.ServeHTTP(w, req)
		if call == 1 {
			r.restart("s-1", false)
		}
	})))
	e := &standin.Endpoint{ID: "m-1", NeedsInputs: true, Answer: func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.Events(w, 1, 2)
	}}
	r.add("model", "m-1", serve(t, e))
	req := r.request(http.MethodPost, "/staged/", "prompt")
	req.Header.Set("Mangostage-Segments", "2")
	got := r.do(req)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(2))
	assert.Equal(t, len(e.Runs()), 1)
	first := []string{"s/s-1-1", "s/s-1-2"}
	for _, h := range strings.Split(e.Runs()[0].Header.Get("Mangostage-Inputs"), ",") {
		for _, old := range first {
			assert.Assert(t, h != old, "%s was made by the process that has ended", h)
		}
	}
}

// A prompt stalls each engine that reads it; a watchdog restarts the engine
// under its ID. Its client sends it again and again: after three crashes it must
// reach no engine. The new process is listed before the connection has ended.
func TestContentThatEndsProcesses(t *testing.T) {
	r := newRig(t)
	e := r.stalls(100)
	for i := range 3 {
		var running sync.WaitGroup
		running.Go(func() { r.do(r.request(http.MethodPost, "/stream/", "prompt")) })
		testwait.For(t, patience, func() bool { return len(e.Runs()) == i+1 })
		r.restart("m-1", true)
		running.Wait()
		// Crashes that come together count as one.
		time.Sleep(350 * time.Millisecond)
	}
	got := r.do(r.request(http.MethodPost, "/stream/", "prompt"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(e.Runs()), 3)
}

// A note breaks off at planned work: its engine left the list and finishes what
// it has, while an endpoint with another ID is listed at the same address. Only
// a start under the same ID says that the process before has ended.
func TestStreamGoesOnWhenItsAddressIsReused(t *testing.T) {
	r := newRig(t)
	finish := make(chan struct{})
	e := r.endpoint("model", "m-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.Events(w, 1, 2)
		<-finish
		standin.Events(w, 3, 6)
	})
	var got answered
	var running sync.WaitGroup
	running.Go(func() { got = r.do(r.request(http.MethodPost, "/stream/", "prompt")) })
	testwait.For(t, patience, func() bool { return len(e.Runs()) == 1 })
	r.mu.Lock()
	addr := r.endpoints[0].Addr
	r.mu.Unlock()
	r.remove("m-1")
	r.add("model", "m-2", addr)
	r.restart("m-2", true)
	close(finish)
	running.Wait()
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, pieces(6))
}

// As with an endpoint that is back within its lease, after its entry had lapsed.
func TestOrderAtEndedProcessThatLapsed(t *testing.T) {
	r := newRig(t)
	ended := make(chan struct{})
	e := r.endpoint("plain", "p-1", func(http.ResponseWriter, standin.Run) { <-ended })
	t.Cleanup(func() { close(ended) })
	var got answered
	var running sync.WaitGroup
	began := time.Now()
	running.Go(func() { got = r.do(r.request(http.MethodPost, "/once/", "order")) })
	testwait.For(t, patience, func() bool { return len(e.Runs()) == 1 })
	r.mu.Lock()
	addr := r.endpoints[0].Addr
	r.mu.Unlock()
	r.remove("p-1")
	r.add("plain", "p-1", addr)
	r.restart("p-1", true)
	running.Wait()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < promptly)
}
