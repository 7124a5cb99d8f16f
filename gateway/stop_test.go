package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform/standin"
)

// silent answers nothing until its caller has left.
func silent(called chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		close(called)
		<-req.Context().Done()
	}
}

// A workshop order is at an endpoint that says nothing when the planned stop
// ends. The process must not go with the order's connection open: the client
// is told that the order may have run, and support finds a line for it.
func TestStopAnswersWhatMayHaveRun(t *testing.T) {
	r := newRig(t)
	called := make(chan struct{})
	r.add("plain", "i-1", serve(t, silent(called)))
	go func() {
		<-called
		r.gateway.Leave(time.Now().Add(100 * time.Millisecond))
	}()
	began := time.Now()
	got := r.do(r.request(http.MethodPost, "/once/", "order"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < time.Second)
	testwait.For(t, patience, func() bool { return r.gateway.InFlight() == 0 })
	r.logs.has(t, `"event":"answered"`, `"may_have_run":true`)
}

// A chat is in the middle of its stream when the planned stop ends. It cannot
// go on elsewhere, so it is broken off; the log says that the stop did it.
func TestStopBreaksOffWhatStillStreams(t *testing.T) {
	r := newRig(t)
	sent := make(chan struct{})
	release := make(chan struct{})
	defer close(release)
	r.endpoint("model", "m-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.Events(w, 1, 2)
		close(sent)
		<-release
	})
	go func() {
		<-sent
		r.gateway.Leave(time.Now().Add(100 * time.Millisecond))
	}()
	got := r.do(r.request(http.MethodPost, "/stream/", "prompt"))
	assert.Assert(t, got.err != nil, "a stream that ends early must not look whole")
	testwait.For(t, patience, func() bool { return r.gateway.InFlight() == 0 })
	r.logs.has(t, `"event":"answered"`, `"broken_off"`, `"stopping":true`)
}

// Streams of 400 ms are usual on a route. A stopping process takes them as long
// as they fit, and refuses them from then on, without any engine seeing them.
func TestStopTakesWhatFits(t *testing.T) {
	r := newRig(t)
	engine := r.endpoint("model", "m-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.Events(w, 1, 1)
		<-time.After(400 * time.Millisecond)
		standin.Events(w, 2, 2)
	})
	ask := func() answered { return r.do(r.request(http.MethodPost, "/stream/", "prompt")) }
	assert.Equal(t, ask().body, pieces(2))
	end := time.Now().Add(stopTime)
	r.gateway.Leave(end)
	taken := 0
	got := ask()
	for ; got.status == http.StatusOK; got = ask() {
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, pieces(2), "what was taken is answered whole")
		taken++
	}
	assert.Assert(t, taken >= 1, "the first one fits")
	assert.Assert(t, time.Now().Before(end), "refused at once, not at the end of the stop")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(engine.Runs()), 1+taken)
	r.logs.has(t, `"event":"taken_while_stopping"`, `"taken":false`)
}
