package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// lateAfter is the time from the start of a shutdown after which only a known bound counts,
	// and a little more.
	lateAfter = 2700 * time.Millisecond
	// lateShutdown is the duration of these shutdowns.
	lateShutdown = 3600 * time.Millisecond
	// shortWork and longWork are the times that the endpoints take for a request. Long work
	// outlasts the shutdown.
	shortWork = 10 * time.Millisecond
	longWork  = 1500 * time.Millisecond
)

// work takes the time that the body of a run names.
func work(run standin.Run) {
	d, _ := time.ParseDuration(strings.TrimSpace(string(run.Body)))
	<-time.After(d)
}

// newLateRig returns a rig whose endpoints take as long as a request's body says: before the
// head of a plain answer, inside its body, or inside a stream.
func newLateRig(t *testing.T) *rig {
	r := newRig(t)
	for i := range r.config.Routes {
		r.config.Routes[i].Timeout = time.Minute
	}
	r.startEndpoint("model", "m-1", func(w http.ResponseWriter, run standin.Run) {
		standin.Seal(w)
		standin.WriteEvents(w, 1, 1)
		work(run)
		standin.WriteEvents(w, 2, 2)
	})
	r.startEndpoint("plain", "i-1", func(w http.ResponseWriter, run standin.Run) {
		standin.Seal(w)
		if strings.HasPrefix(run.Target, "/events") {
			w.Header().Set("Content-Type", "text/event-stream")
			standin.WriteEvents(w, 1, 1)
		}
		if strings.HasPrefix(run.Target, "/idem/body") {
			w.Header().Set("Content-Length", "4")
			_, _ = io.WriteString(w, "do")
			_ = http.NewResponseController(w).Flush()
		}
		work(run)
		if strings.HasPrefix(run.Target, "/events") {
			standin.WriteEvents(w, 2, 2)
			return
		}
		if strings.HasPrefix(run.Target, "/idem/body") {
			_, _ = io.WriteString(w, "ne")
			return
		}
		_, _ = io.WriteString(w, "done")
	})
	return r
}

// ask sends a request for work with a deadline.
func (r *rig) ask(path string, d, deadline time.Duration) clientResult {
	req := r.request(http.MethodPost, path, d.String())
	req.Header.Set("Mangostage-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	return r.do(req)
}

// Guards against a request that is taken late in a shutdown because the latest ones of its
// route were short, and is cut at the end.
func TestLateRequestIsNotTakenByGuess(t *testing.T) {
	r := newLateRig(t)
	paths := []string{"/stream/", "/resume/", "/once/", "/idem/", "/idem/body/", "/events/", "/events-resume/"}
	for _, path := range paths {
		for range 3 {
			assert.Equal(t, r.ask(path, shortWork, time.Minute).status, http.StatusOK, path)
		}
	}
	r.gateway.BeginShutdown(time.Now().Add(lateShutdown))
	<-time.After(lateAfter)
	var asking sync.WaitGroup
	for _, path := range paths {
		asking.Go(func() {
			began := time.Now()
			got := r.ask(path, longWork, time.Minute)
			assert.Check(t, got.err == nil && got.status == http.StatusServiceUnavailable, "%s: status %d, %v", path, got.status, got.err)
			assert.Check(t, got.closes, "%s: the connection is kept", path)
			assert.Check(t, time.Since(began) < 500*time.Millisecond, "%s: refused at once", path)
		})
	}
	asking.Wait()
	r.logs.waitForLine(t, `"event":"taken_while_stopping"`, `"bound":"none"`, `"taken":false`)
}

// Guards against a request that is taken early in a shutdown because the latest ones of its route
// were short, and is cut at the end, while another gateway would serve it.
func TestRequestInAShutdownIsNotTakenByGuessWhileOthersStay(t *testing.T) {
	r := newLateRig(t)
	r.othersStay.Store(true)
	paths := []string{"/stream/", "/resume/", "/once/", "/idem/", "/events/"}
	for _, path := range paths {
		for range 3 {
			assert.Equal(t, r.ask(path, shortWork, time.Minute).status, http.StatusOK, path)
		}
	}
	r.gateway.BeginShutdown(time.Now().Add(lateShutdown))
	<-time.After(shortWork)
	var asking sync.WaitGroup
	for _, path := range paths {
		asking.Go(func() {
			got := r.ask(path, lateShutdown+longWork, time.Minute)
			assert.Check(t, got.err == nil && got.status == http.StatusServiceUnavailable, "%s: status %d, %v", path, got.status, got.err)
			assert.Check(t, got.header.Get("Retry-After") != "", "%s: when to come back", path)
		})
		asking.Go(func() { assert.Check(t, r.ask(path, shortWork, time.Second).status == http.StatusOK, path) })
	}
	asking.Wait()
	r.logs.waitForLine(t, `"event":"taken_while_stopping"`, `"bound":"none"`, `"taken":false`)
}

// Guards against a request whose head came early in a shutdown and whose body came late, and
// which is taken by a guess.
func TestLateBodyIsNotTakenByGuess(t *testing.T) {
	r := newLateRig(t)
	for _, path := range []string{"/once/", "/stream/"} {
		assert.Equal(t, r.ask(path, shortWork, time.Minute).status, http.StatusOK)
	}
	r.gateway.BeginShutdown(time.Now().Add(lateShutdown))
	var asking sync.WaitGroup
	for _, path := range []string{"/once/", "/stream/"} {
		asking.Go(func() {
			body, rest := io.Pipe()
			req := r.request(http.MethodPost, path, "x")
			req.Body, req.ContentLength = body, int64(len(longWork.String()))
			req.Header.Set("Mangostage-Deadline-Ms", "60000")
			go func() {
				<-time.After(lateAfter)
				_, _ = io.WriteString(rest, longWork.String())
				_ = rest.Close()
			}()
			got := r.do(req)
			assert.Check(t, got.err == nil && got.status == http.StatusServiceUnavailable, "%s: status %d, %v", path, got.status, got.err)
		})
	}
	asking.Wait()
}

// Guards against a late request that is refused although its deadline or its route's timeout
// ends it before the shutdown does, whatever its route's latest answers took.
func TestLateBoundedRequestIsServed(t *testing.T) {
	r := newLateRig(t)
	r.config.Routes[1].Timeout = 700 * time.Millisecond
	r.startEndpoint("plain", "i-2", nil)
	for _, path := range []string{"/stream/", "/once/"} {
		assert.Equal(t, r.ask(path, lateShutdown/4, time.Minute).status, http.StatusOK)
	}
	r.gateway.BeginShutdown(time.Now().Add(lateShutdown))
	r.gateway.OutOfRotation()
	<-time.After(lateAfter)
	var asking sync.WaitGroup
	for _, path := range []string{"/stream/", "/resume/", "/once/"} {
		asking.Go(func() { assert.Check(t, r.ask(path, shortWork, 700*time.Millisecond).status == http.StatusOK, path) })
	}
	asking.Go(func() {
		assert.Check(t, r.ask("/idem/", shortWork, time.Minute).status == http.StatusOK, "bound by its route")
	})
	asking.Wait()
	r.logs.waitForLine(t, `"event":"taken_while_stopping"`, `"bound":"deadline"`, `"taken":true`)
	r.logs.waitForLine(t, `"event":"taken_while_stopping"`, `"bound":"route_timeout"`, `"taken":true`)
}

// Guards against a queued request that a shutdown gives up although its deadline ends it
// before: it waits for its stages while its time gets less.
func TestQueuedBoundedRequestOutlivesItsWait(t *testing.T) {
	const wait, deadline = 400 * time.Millisecond, 2500 * time.Millisecond
	r := newLateRig(t)
	r.config.Services[2].Batch.CallTime = wait / 4
	r.add("stage", "s-1", serve(t, &standin.StageEndpoint{ID: "s-1", Addr: "s", Fault: func(standin.Piece) string {
		<-time.After(wait)
		return ""
	}}))
	r.gateway.BeginShutdown(time.Now().Add(deadline + 100*time.Millisecond))
	req := r.request(http.MethodPost, "/staged/", "0s")
	req.Header.Set("Mangostage-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Mangostage-Segments", "1")
	req.Header.Set("Mangostage-Segment-Key", "key")
	got := r.do(req)
	assert.Equal(t, got.status, http.StatusOK, got.body)
}
