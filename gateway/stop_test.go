package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

// A customer's order is half sent when the gateway is stopped, and its body is
// whole only just before the end. Nobody asks again whether the order can end
// in time: it goes to its endpoint, is cut with the process, and the customer
// cannot tell whether it was placed.
func TestStopSendsNothingLateThatCannotEnd(t *testing.T) {
	const usual, grace = 300 * time.Millisecond, 400 * time.Millisecond
	r := newRig(t)
	engine := r.endpoint("plain", "i-1", func(w http.ResponseWriter, _ standin.Run) {
		<-time.After(usual)
		standin.Seal(w)
		_, _ = io.WriteString(w, "placed")
	})
	assert.Equal(t, r.do(r.request(http.MethodPost, "/once/", "order")).status, http.StatusOK)
	body, rest := io.Pipe()
	req := r.request(http.MethodPost, "/once/", "order")
	req.Body, req.ContentLength = body, 2
	go func() {
		_, _ = rest.Write([]byte("o"))
		testwait.For(t, patience, func() bool { return r.gateway.InFlight() == 1 })
		r.gateway.Leave(time.Now().Add(grace))
		<-time.After(grace / 2)
		_, _ = rest.Write([]byte("r"))
		_ = rest.Close()
	}()
	got := r.do(req)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(engine.Runs()), 1, "no endpoint gets what cannot end in time")
}

// An endpoint fails a request that may be repeated, shortly before the end of
// a planned stop. A second endpoint would need longer than is left: its work
// would be cut, so the client gets the failure at once.
func TestStopRepeatsNothingThatCannotEnd(t *testing.T) {
	const usual, grace = 300 * time.Millisecond, 500 * time.Millisecond
	r := newRig(t)
	var runs atomic.Int64
	answer := func(w http.ResponseWriter, _ standin.Run) {
		n := runs.Add(1)
		<-time.After(usual)
		standin.Seal(w)
		if n > 1 {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	r.endpoint("plain", "i-1", answer)
	assert.Equal(t, r.do(r.request(http.MethodGet, "/idem/", "")).status, http.StatusOK)
	r.endpoint("plain", "i-2", answer)
	r.gateway.Leave(time.Now().Add(grace))
	got := r.do(r.request(http.MethodGet, "/idem/", ""))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, runs.Load(), int64(2))
}

// A client has sent half of its request when the planned stop ends, or when its
// own time does. It gets an answer, which says that the request has not run,
// and not just the end of its connection.
func TestHalfSentRequestGetsAnAnswer(t *testing.T) {
	for _, stop := range []bool{true, false} {
		r := newRig(t)
		engine := r.endpoint("plain", "i-1", func(w http.ResponseWriter, _ standin.Run) { standin.Seal(w) })
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
		_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n"+
			"Mangostage-Attempt-Id: half\r\nMangostage-Deadline-Ms: 500\r\nContent-Length: 9\r\n\r\nhalf")
		assert.NilError(t, err)
		if stop {
			testwait.For(t, patience, func() bool { return r.gateway.InFlight() == 1 })
			r.gateway.Leave(time.Now().Add(100 * time.Millisecond))
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, "stop %v", stop)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.NilError(t, resp.Body.Close())
		assert.NilError(t, conn.Close())
		testwait.For(t, patience, func() bool { return r.gateway.InFlight() == 0 })
		assert.Equal(t, len(engine.Runs()), 0)
	}
}

// The engines of a route fail at once for a while. A stopping process must not
// take from these quick failures that streams of the route are short.
func TestFailuresSayNothingOfHowLongStreamsLast(t *testing.T) {
	const usual, grace = 300 * time.Millisecond, 200 * time.Millisecond
	r := newRig(t)
	var failing atomic.Bool
	engine := r.endpoint("model", "m-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		standin.Events(w, 1, 1)
		<-time.After(usual)
		standin.Events(w, 2, 2)
	})
	ask := func() answered { return r.do(r.request(http.MethodPost, "/stream/", "prompt")) }
	assert.Equal(t, ask().status, http.StatusOK)
	failing.Store(true)
	for range 40 {
		assert.Equal(t, ask().status, http.StatusInternalServerError)
	}
	failing.Store(false)
	ran := len(engine.Runs())
	r.gateway.Leave(time.Now().Add(grace))
	got := ask()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(engine.Runs()), ran)
}
