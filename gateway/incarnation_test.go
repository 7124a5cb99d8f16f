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

// promptLimit is much less than the clients' deadline of 4 s, at which a request to a
// silent endpoint is given up in any case.
const promptLimit = 2500 * time.Millisecond

// addStallingEngine adds an engine whose first n runs begin a stream and then stall
// until the test ends; later runs resume after the last event.
func (r *rig) addStallingEngine(n int) *standin.Endpoint {
	ended := make(chan struct{})
	var mu sync.Mutex
	runs := 0
	e := r.startEndpoint("model", "m-1", func(w http.ResponseWriter, run standin.Run) {
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
			standin.WriteEvents(w, last+1, last+2)
			<-ended
			return
		}
		standin.WriteEvents(w, last+1, 6)
	})
	// Runs before the cleanup that closes the server, which waits for its handlers.
	r.t.Cleanup(func() { close(ended) })
	return e
}

// Guards against a stream that stalls until the client gives up: its engine crashed
// behind a partition, so that the end of the connection was not seen, and restarted
// under its ID. The stream must resume at the new process.
func TestStreamResumesAfterEndpointRestart(t *testing.T) {
	r := newRig(t)
	e := r.addStallingEngine(1)
	var got clientResult
	var running sync.WaitGroup
	running.Go(func() { got = r.do(r.request(http.MethodPost, "/resume/", "prompt")) })
	testwait.For(t, waitTimeout, func() bool { return len(e.Runs()) == 1 })
	r.restart("m-1", true)
	running.Wait()
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamBody(6))
}

// As TestStreamResumesAfterEndpointRestart, with a request that must not run twice: its
// client gets an error that does not say that the request has not run, and gets it at
// once instead of at its deadline.
func TestOnceRequestAtRestartedEndpoint(t *testing.T) {
	r := newRig(t)
	ended := make(chan struct{})
	e := r.startEndpoint("plain", "p-1", func(http.ResponseWriter, standin.Run) { <-ended })
	t.Cleanup(func() { close(ended) })
	var got clientResult
	var running sync.WaitGroup
	began := time.Now()
	running.Go(func() { got = r.do(r.request(http.MethodPost, "/once/", "order")) })
	testwait.For(t, waitTimeout, func() bool { return len(e.Runs()) == 1 })
	r.restart("p-1", true)
	running.Wait()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < promptLimit)
	assert.Equal(t, len(e.Runs()), 1)
}

// Guards against requests to a restarted endpoint that get no answer because they are
// sent over a kept connection to the process that has ended.
func TestKeepAliveConnectionToRestartedEndpoint(t *testing.T) {
	r := newRig(t)
	process := &standin.Process{Handler: &standin.Endpoint{ID: "p-1"}}
	r.add("plain", "p-1", serve(t, process))
	assert.Equal(t, r.do(r.request(http.MethodPost, "/once/", "order")).status, http.StatusOK)
	process.Restart()
	r.restart("p-1", true)
	assert.Equal(t, r.do(r.request(http.MethodPost, "/once/", "order")).status, http.StatusOK)
}

// Guards against an answer made from another request's inputs: the endpoint that made
// the inputs restarts between the lease and the send and numbers its results anew, so
// that the engine fetches what now has the same handle. The stages must run again.
func TestInputsOfRestartedEndpointAreNotSent(t *testing.T) {
	r := newRig(t)
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	var calls atomic.Int32
	r.add("stage", "s-1", serve(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		call := int32(0)
		if strings.HasSuffix(req.URL.Path, "stage-run") {
			call = calls.Add(1)
		}
		if call == 2 {
			r.publishView()
		}
		stage.ServeHTTP(w, req)
		if call == 1 {
			r.restart("s-1", false)
		}
	})))
	e := &standin.Endpoint{ID: "m-1", NeedsInputs: true, Answer: func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.WriteEvents(w, 1, 2)
	}}
	r.add("model", "m-1", serve(t, e))
	req := r.request(http.MethodPost, "/staged/", "prompt")
	req.Header.Set("Mangostage-Segments", "2")
	got := r.do(req)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamBody(2))
	assert.Equal(t, len(e.Runs()), 1)
	first := []string{"s/s-1-1", "s/s-1-2"}
	for _, h := range strings.Split(e.Runs()[0].Header.Get("Mangostage-Inputs"), ",") {
		for _, old := range first {
			assert.Assert(t, h != old, "%s was made by the process that has ended", h)
		}
	}
}

// A prompt stalls each engine that reads it, and a watchdog restarts the engine under
// its ID. The client keeps retrying: after three crashes the prompt must reach no
// engine. The new process is listed before the connection has ended.
func TestContentThatRestartsEngineIsRefused(t *testing.T) {
	r := newRig(t)
	e := r.addStallingEngine(100)
	for i := range 3 {
		var running sync.WaitGroup
		running.Go(func() { r.do(r.request(http.MethodPost, "/stream/", "prompt")) })
		testwait.For(t, waitTimeout, func() bool { return len(e.Runs()) == i+1 })
		r.restart("m-1", true)
		running.Wait()
		// Crashes less than minCrashGap apart count as one.
		time.Sleep(350 * time.Millisecond)
	}
	got := r.do(r.request(http.MethodPost, "/stream/", "prompt"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(e.Runs()), 3)
}

// Guards against a stream that is cut during planned maintenance: its engine left the
// list and finishes its requests while an endpoint with another ID is listed at the
// same address. Only a restart under the same ID shows that the old process has ended.
func TestStreamSurvivesAddressReuse(t *testing.T) {
	r := newRig(t)
	finish := make(chan struct{})
	e := r.startEndpoint("model", "m-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.WriteEvents(w, 1, 2)
		<-finish
		standin.WriteEvents(w, 3, 6)
	})
	var got clientResult
	var running sync.WaitGroup
	running.Go(func() { got = r.do(r.request(http.MethodPost, "/stream/", "prompt")) })
	testwait.For(t, waitTimeout, func() bool { return len(e.Runs()) == 1 })
	r.mu.Lock()
	addr := r.endpoints[0].Addr
	r.mu.Unlock()
	r.remove("m-1")
	r.add("model", "m-2", addr)
	r.restart("m-2", true)
	close(finish)
	running.Wait()
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamBody(6))
}

// As TestOnceRequestAtRestartedEndpoint, but the endpoint's entry expires before the
// endpoint is listed again.
func TestOnceRequestAtRestartedEndpointAfterLeaseExpiry(t *testing.T) {
	r := newRig(t)
	ended := make(chan struct{})
	e := r.startEndpoint("plain", "p-1", func(http.ResponseWriter, standin.Run) { <-ended })
	t.Cleanup(func() { close(ended) })
	var got clientResult
	var running sync.WaitGroup
	began := time.Now()
	running.Go(func() { got = r.do(r.request(http.MethodPost, "/once/", "order")) })
	testwait.For(t, waitTimeout, func() bool { return len(e.Runs()) == 1 })
	r.mu.Lock()
	addr := r.endpoints[0].Addr
	r.mu.Unlock()
	r.remove("p-1")
	r.add("plain", "p-1", addr)
	r.restart("p-1", true)
	running.Wait()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < promptLimit)
}
