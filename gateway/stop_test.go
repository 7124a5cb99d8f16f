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

// hangUntilCallerLeaves returns a handler that closes called and answers nothing until
// its caller has left.
func hangUntilCallerLeaves(called chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		close(called)
		<-req.Context().Done()
	}
}

// An endpoint has not answered a request when the shutdown ends. The process must not
// end with the client's connection open: the client is told that the request may have
// run, and support finds a log line for it.
func TestShutdownAnswersRequestThatMayHaveRun(t *testing.T) {
	r := newRig(t)
	called := make(chan struct{})
	r.add("plain", "i-1", serve(t, hangUntilCallerLeaves(called)))
	go func() {
		<-called
		r.gateway.BeginShutdown(time.Now().Add(100 * time.Millisecond))
	}()
	began := time.Now()
	got := r.do(r.request(http.MethodPost, "/once/", "order"))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < time.Second)
	testwait.For(t, waitTimeout, func() bool { return r.gateway.InFlight() == 0 })
	r.logs.waitForLine(t, `"event":"answered"`, `"may_have_run":true`)
}

// A stream is running when the shutdown ends. It is not resumable, so it is aborted,
// and the log says that the shutdown did it.
func TestShutdownAbortsRunningStream(t *testing.T) {
	r := newRig(t)
	sent := make(chan struct{})
	release := make(chan struct{})
	defer close(release)
	r.startEndpoint("model", "m-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.WriteEvents(w, 1, 2)
		close(sent)
		<-release
	})
	go func() {
		<-sent
		r.gateway.BeginShutdown(time.Now().Add(100 * time.Millisecond))
	}()
	got := r.do(r.request(http.MethodPost, "/stream/", "prompt"))
	assert.Assert(t, got.err != nil, "a stream that ends early must not look complete")
	testwait.For(t, waitTimeout, func() bool { return r.gateway.InFlight() == 0 })
	r.logs.waitForLine(t, `"event":"answered"`, `"broken_off"`, `"stopping":true`)
}

// A route's streams usually take 400 ms. A process that shuts down admits them while
// they can finish in time, and then refuses them without calling any engine.
func TestShutdownAdmitsRequestsThatFinishInTime(t *testing.T) {
	r := newRig(t)
	engine := r.startEndpoint("model", "m-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.WriteEvents(w, 1, 1)
		<-time.After(400 * time.Millisecond)
		standin.WriteEvents(w, 2, 2)
	})
	ask := func() clientResult { return r.do(r.request(http.MethodPost, "/stream/", "prompt")) }
	assert.Equal(t, ask().body, streamBody(2))
	end := time.Now().Add(shutdownTime)
	r.gateway.BeginShutdown(end)
	admitted := 0
	got := ask()
	for ; got.status == http.StatusOK; got = ask() {
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, streamBody(2), "an admitted request is answered completely")
		admitted++
	}
	assert.Assert(t, admitted >= 1, "the first request finishes in time")
	assert.Assert(t, time.Now().Before(end), "refused at once, not at the end of the shutdown")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(engine.Runs()), 1+admitted)
	r.logs.waitForLine(t, `"event":"taken_while_stopping"`, `"taken":false`)
}

// A request is half sent when the shutdown begins, and its body is complete only
// shortly before the end. Guards against sending it to an endpoint without checking
// again that it can finish: it would be cut with the process, and the client could not
// tell whether it has run.
func TestShutdownDoesNotSendLateBody(t *testing.T) {
	const usual, grace = 300 * time.Millisecond, 400 * time.Millisecond
	r := newRig(t)
	engine := r.startEndpoint("plain", "i-1", func(w http.ResponseWriter, _ standin.Run) {
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
		testwait.For(t, waitTimeout, func() bool { return r.gateway.InFlight() == 1 })
		r.gateway.BeginShutdown(time.Now().Add(grace))
		<-time.After(grace / 2)
		_, _ = rest.Write([]byte("r"))
		_ = rest.Close()
	}()
	got := r.do(req)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(engine.Runs()), 1, "a request that cannot finish in time reaches no endpoint")
}

// An endpoint fails a retryable request shortly before the shutdown ends. A second
// endpoint would need more time than is left and would be cut, so the client gets the
// error at once.
func TestShutdownDoesNotRetryWithoutTime(t *testing.T) {
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
	r.startEndpoint("plain", "i-1", answer)
	assert.Equal(t, r.do(r.request(http.MethodGet, "/idem/", "")).status, http.StatusOK)
	r.startEndpoint("plain", "i-2", answer)
	r.gateway.BeginShutdown(time.Now().Add(grace))
	got := r.do(r.request(http.MethodGet, "/idem/", ""))
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, runs.Load(), int64(2))
}

// A client has sent half of its request when the shutdown ends or its deadline passes.
// It gets an answer, which says that the request has not run, and not only the end of
// its connection.
func TestPartialBodyGetsAnAnswer(t *testing.T) {
	for _, stop := range []bool{true, false} {
		r := newRig(t)
		engine := r.startEndpoint("plain", "i-1", func(w http.ResponseWriter, _ standin.Run) { standin.Seal(w) })
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
		_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n"+
			"Mangostage-Attempt-Id: half\r\nMangostage-Deadline-Ms: 500\r\nContent-Length: 9\r\n\r\nhalf")
		assert.NilError(t, err)
		if stop {
			testwait.For(t, waitTimeout, func() bool { return r.gateway.InFlight() == 1 })
			r.gateway.BeginShutdown(time.Now().Add(100 * time.Millisecond))
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, "stop %v", stop)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.NilError(t, resp.Body.Close())
		assert.NilError(t, conn.Close())
		testwait.For(t, waitTimeout, func() bool { return r.gateway.InFlight() == 0 })
		assert.Equal(t, len(engine.Runs()), 0)
	}
}

// A route's engines fail at once for a while. A process that shuts down must not
// conclude from these quick failures that the route's streams are short.
func TestFailuresDoNotShortenDurationEstimates(t *testing.T) {
	const usual, grace = 300 * time.Millisecond, 200 * time.Millisecond
	r := newRig(t)
	var failing atomic.Bool
	engine := r.startEndpoint("model", "m-1", func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		standin.WriteEvents(w, 1, 1)
		<-time.After(usual)
		standin.WriteEvents(w, 2, 2)
	})
	ask := func() clientResult { return r.do(r.request(http.MethodPost, "/stream/", "prompt")) }
	assert.Equal(t, ask().status, http.StatusOK)
	failing.Store(true)
	for range 40 {
		assert.Equal(t, ask().status, http.StatusInternalServerError)
	}
	failing.Store(false)
	ran := len(engine.Runs())
	r.gateway.BeginShutdown(time.Now().Add(grace))
	got := ask()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(engine.Runs()), ran)
}
