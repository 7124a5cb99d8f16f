package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/rawhttp"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform/standin"
)

// road is a route with the service that serves it.
type road struct {
	streamRoute
	// streams is true if its answers are streams of events, repeatable if a request may run twice.
	streams, repeatable bool
}

var roads = []road{
	{streamRoute{"/once/", "plain"}, false, false},
	{streamRoute{"/idem/", "plain"}, false, true},
	{streamRoute{"/events/", "plain"}, true, false},
	{streamRoute{"/events-resume/", "plain"}, true, true},
	{streamRoute{"/stream/", "model"}, true, false},
	{streamRoute{"/resume/", "model"}, true, true},
}

// idOf returns the ID of a request.
func idOf(req *http.Request) string { return req.Header.Get("Mangostage-Attempt-Id") }

// soundAnswer returns what an endpoint answers on the road.
func (d road) soundAnswer(req *http.Request) rawhttp.Answer {
	a := rawhttp.Answer{Fields: []string{"Mangostage-Attempt-Id: " + idOf(req), sealLine}, Body: "whole answer"}
	if d.streams {
		a.Fields = append(a.Fields, eventsLine)
		a.Body = events(1, 3, "\n")
	}
	return a
}

// claims are what an endpoint says of itself and of the request.
var claims = []string{
	"Mangostage-Not-Executed: 1", "Retry-After: 30", "Server-Leaving: 1", "Server-Limit: 0.5", "Mangostage-Instance-Load: 0,0,4",
}

// refusing returns the case as an endpoint writes it that refuses the request.
func refusing(c rawhttp.Case) rawhttp.Case {
	whole := c.Bytes
	c.Bytes = func(a rawhttp.Answer) string {
		a.Fields = append(a.Fields, claims...)
		return whole(a)
	}
	return c.WithStatus(http.StatusServiceUnavailable)
}

// onRoads runs a test of each case on each road.
func onRoads(t *testing.T, cases []rawhttp.Case, check func(t *testing.T, d road, c rawhttp.Case)) {
	t.Helper()
	for _, c := range cases {
		for _, d := range roads {
			t.Run(d.path+" "+c.Name, func(t *testing.T) {
				t.Parallel()
				check(t, d, c)
			})
		}
	}
}

// checkNoAnswer checks that the caller got neither an answer nor a promise.
func checkNoAnswer(t *testing.T, got clientResult) {
	t.Helper()
	if got.err != nil {
		return
	}
	assert.Equal(t, got.status, http.StatusBadGateway, "%q", got.body)
	assert.Assert(t, strings.Contains(got.body, `"ran":"unknown"`), "%d %q", got.status, got.body)
}

// Guards against a broken answer that reaches a caller as an answer, and a request that runs twice
// because of it.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	t.Parallel()
	onRoads(t, rawhttp.Broken(), func(t *testing.T, d road, c rawhttp.Case) {
		r := newRig(t)
		s := rawhttp.StartCase(t, c, d.soundAnswer)
		r.add(d.service, "bad", s.Addr)
		req := r.request(http.MethodPost, d.path, "body")
		checkNoAnswer(t, r.do(req))
		if !d.repeatable {
			assert.Equal(t, s.Requests.Load(), int64(1))
		}
	})
}

// Guards against a refusal that is believed although it is broken: that the request has not run,
// and what the endpoint says about itself.
func TestBrokenRefusalsAreNotBelieved(t *testing.T) {
	t.Parallel()
	onRoads(t, rawhttp.Broken(), func(t *testing.T, d road, c rawhttp.Case) {
		r := newRig(t)
		s := rawhttp.StartCase(t, refusing(c), d.soundAnswer)
		r.add(d.service, "bad", s.Addr)
		checkNoAnswer(t, r.do(r.request(http.MethodPost, d.path, "body")))
		if !d.repeatable {
			assert.Equal(t, s.Requests.Load(), int64(1))
		}
		assert.Equal(t, r.signals.believed.Load(), int64(0))
		assert.Assert(t, r.backoffs.Empty())
	})
}

// claiming returns an answer on the road that makes the claims.
func (d road) claiming(req *http.Request) rawhttp.Answer {
	a := d.soundAnswer(req)
	a.Fields = append(a.Fields, claims...)
	return a
}

// Guards against what an answer says about its endpoint that is believed before the answer is whole,
// or before the first event of a stream has come.
func TestBrokenSuccessesAreNotBelieved(t *testing.T) {
	t.Parallel()
	onRoads(t, rawhttp.BrokenBodies(), func(t *testing.T, d road, c rawhttp.Case) {
		if d.streams && strings.Contains(c.Bytes(rawhttp.Answer{Body: "id: 1"}), "id: 1") {
			// Its first event may have come.
			return
		}
		r := newRig(t)
		s := rawhttp.StartCase(t, c, d.claiming)
		r.add(d.service, "bad", s.Addr)
		checkNoAnswer(t, r.do(r.request(http.MethodPost, d.path, "body")))
		assert.Equal(t, r.signals.believed.Load(), int64(0))
	})
}

// Guards against an answer without a seal whose claims are believed.
func TestUnsealedSuccessesAreNotBelieved(t *testing.T) {
	t.Parallel()
	onRoads(t, rawhttp.Sound()[:3], func(t *testing.T, d road, c rawhttp.Case) {
		r := newRig(t)
		s := rawhttp.StartCase(t, c, func(req *http.Request) rawhttp.Answer {
			a := d.claiming(req)
			a.Fields = slices.DeleteFunc(a.Fields, func(line string) bool { return line == sealLine })
			return a
		})
		r.add(d.service, "bad", s.Addr)
		req := r.request(http.MethodPost, d.path, "body")
		checkNoAnswer(t, r.do(req))
		assert.Equal(t, r.signals.believed.Load(), int64(0))
		r.logs.waitForLine(t, `"event":"sent"`, idOf(req), "without a seal")
	})
}

// Guards against claims of sound answers that are not believed: in answers of each framing, and in
// the head of a stream that goes on.
func TestClaimsOfSoundAnswersAreBelieved(t *testing.T) {
	t.Parallel()
	onRoads(t, rawhttp.Sound()[:3], func(t *testing.T, d road, c rawhttp.Case) {
		r := newRig(t)
		s := rawhttp.StartCase(t, c, d.claiming)
		r.add(d.service, "e-1", s.Addr)
		got := r.do(r.request(http.MethodPost, d.path, "body"))
		assert.NilError(t, got.err)
		testwait.For(t, waitTimeout, func() bool { return r.signals.believed.Load() == 1 })
	})
	t.Run("a stream that goes on", func(t *testing.T) {
		t.Parallel()
		d := roads[4]
		r := newRig(t)
		s := rawhttp.Start(t, func(conn *net.TCPConn, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, d.claiming(req).Connection())
			_, _ = io.Copy(io.Discard, conn)
		})
		r.add(d.service, "e-1", s.Addr)
		ctx, leave := context.WithCancel(t.Context())
		left := make(chan struct{})
		go func() {
			defer close(left)
			r.do(r.request(http.MethodPost, d.path, "body").WithContext(ctx))
		}()
		testwait.For(t, waitTimeout, func() bool { return r.signals.believed.Load() == 1 })
		leave()
		<-left
	})
}

// Guards against a request that may be repeated and ends with the endpoint whose answer is broken,
// although a sound one is there, and a broken answer that is joined with a sound one.
func TestRequestsGoOnAfterABrokenHead(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.BrokenHeads() {
		for _, d := range roads {
			if !d.repeatable {
				continue
			}
			for _, refuses := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s refuses=%v", d.path, c.Name, refuses), func(t *testing.T) {
					t.Parallel()
					c := c
					if refuses {
						c = refusing(c)
					}
					r := newRig(t)
					bad := rawhttp.StartCase(t, c, d.soundAnswer)
					r.add(d.service, "bad", bad.Addr)
					r.addIn("south", d.service, "sound", serve(t, &standin.Endpoint{ID: "sound"}))
					for n := 0; bad.Requests.Load() == 0; n++ {
						assert.Assert(t, n < 50, "the bad endpoint got no request")
						got := r.do(r.request(http.MethodPost, d.path, "body"))
						assert.NilError(t, got.err)
						assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
						assert.Equal(t, got.body, "ok")
					}
				})
			}
		}
	}
}

// Guards against a broken answer that goes on with a stream which another endpoint began, or looks
// like its end.
func TestStreamsDoNotGoOnWithABrokenAnswer(t *testing.T) {
	t.Parallel()
	onRoads(t, rawhttp.Broken(), func(t *testing.T, d road, c rawhttp.Case) {
		if !d.streams || !d.repeatable {
			return
		}
		r := newRig(t)
		var sends atomic.Int64
		answer := func(conn *net.TCPConn, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			if sends.Add(1) > 1 {
				a := d.soundAnswer(req)
				a.Body = "id: 4\ndata: piece 4\n\n"
				c.Write(conn, a)
				return
			}
			a := d.soundAnswer(req)
			a.Body += "id: 4\nda"
			_, _ = io.WriteString(conn, a.Connection())
			_ = conn.CloseWrite()
		}
		r.add(d.service, "e-1", rawhttp.Start(t, answer).Addr)
		r.add(d.service, "e-2", rawhttp.Start(t, answer).Addr)
		got := r.do(r.request(http.MethodPost, d.path, "body"))
		assert.Assert(t, got.err != nil, "%q looks whole", got.body)
		assert.Equal(t, sends.Load(), int64(2))
		assert.Assert(t, strings.HasPrefix(events(1, 3, "\n")+"id: 4\ndata: piece 4\n\n", got.body), "%q", got.body)
	})
}

// Guards against a broken answer over a kept connection for which the HTTP client sends the request
// again by itself.
func TestBrokenAnswerOnAKeptConnection(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.BrokenHeads() {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodTrace} {
			t.Run(method+" "+c.Name, func(t *testing.T) {
				t.Parallel()
				d := roads[0]
				r := newRig(t)
				s := rawhttp.Start(t, func(conn *net.TCPConn, req *http.Request) {
					if strings.HasSuffix(req.URL.Path, "first") {
						rawhttp.Sound()[0].Write(conn, d.soundAnswer(req))
						return
					}
					c.Write(conn, d.soundAnswer(req))
				})
				r.add(d.service, "bad", s.Addr)
				first := r.do(r.request(method, d.path+"first", ""))
				assert.NilError(t, first.err)
				assert.Equal(t, first.body, "whole answer")
				checkNoAnswer(t, r.do(r.request(method, d.path, "")))
				assert.Equal(t, s.Requests.Load(), int64(2))
			})
		}
	}
}

// Guards against sound answers that are given up, and such whose bytes are changed.
func TestSoundAnswersStayWhole(t *testing.T) {
	t.Parallel()
	onRoads(t, rawhttp.Sound(), func(t *testing.T, d road, c rawhttp.Case) {
		r := newRig(t)
		s := rawhttp.StartCase(t, c, d.soundAnswer)
		r.add(d.service, "e-1", s.Addr)
		for range 2 {
			req := r.request(http.MethodPost, d.path, "body")
			got := r.do(req)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, d.soundAnswer(req).Body)
			assert.Assert(t, got.status/100 == 2)
		}
		assert.Equal(t, s.Requests.Load(), int64(2))
	})
}

// Guards against fields of a sound answer that do not reach its caller.
func TestFieldsOfSoundAnswersReachTheCaller(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("v", 8<<10)
	fields := map[string]string{"!#$%&'*+-.^_`|~09azAZ": "v", "X-Empty": "", "X-Long": long, "X-Text": "\x80\xff", "X-Tab": "a\tb"}
	d := roads[0]
	r := newRig(t)
	s := rawhttp.StartCase(t, rawhttp.Sound()[0], func(req *http.Request) rawhttp.Answer {
		a := d.soundAnswer(req)
		for name, value := range fields {
			a.Fields = append(a.Fields, name+": "+value)
		}
		return a
	})
	r.add(d.service, "e-1", s.Addr)
	got := r.do(r.request(http.MethodPost, d.path, "body"))
	assert.NilError(t, got.err)
	for name, value := range fields {
		values, ok := got.header[http.CanonicalHeaderKey(name)]
		assert.Assert(t, ok, "no field %q", name)
		assert.Equal(t, values[0], value)
	}
}

// Guards against the answer to HEAD, 204 or 304 that is given up because no body comes.
func TestAnswersWithoutABodyStayWhole(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		method string
		status int
		line   string
		fields []string
	}{
		"HEAD, length":  {http.MethodHead, http.StatusOK, "HTTP/1.1 200 OK", []string{"Content-Length: 5"}},
		"HEAD, chunked": {http.MethodHead, http.StatusOK, "HTTP/1.1 200 OK", []string{chunkedLine}},
		"204":           {http.MethodPost, http.StatusNoContent, "HTTP/1.1 204 No Content", nil},
		"204, length 0": {http.MethodPost, http.StatusNoContent, "HTTP/1.1 204 No Content", []string{"Content-Length: 0"}},
		"304, length":   {http.MethodGet, http.StatusNotModified, "HTTP/1.1 304 Not Modified", []string{"Content-Length: 5"}},
		"304, chunked":  {http.MethodGet, http.StatusNotModified, "HTTP/1.1 304 Not Modified", []string{chunkedLine}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			c := rawhttp.Case{Bytes: func(a rawhttp.Answer) string { return a.Framed(test.line, "", test.fields...) }}
			s := rawhttp.StartCase(t, c, roads[0].soundAnswer)
			r.add("plain", "e-1", s.Addr)
			for range 3 {
				got := r.do(r.request(test.method, "/once/", ""))
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, test.status)
				assert.Equal(t, got.body, "")
			}
			assert.Equal(t, s.Requests.Load(), int64(3))
			assert.Equal(t, s.Carried.Load(), int64(3))
		})
	}
}

// Guards against a log that does not say what was wrong with an answer.
func TestLogSaysWhatWasWrongWithAnAnswer(t *testing.T) {
	t.Parallel()
	const maxLine = 1500
	wrong := map[string]string{
		"status line \"HTTP/1.1 000 OK\"":                  "status",
		"field \"X Y: 1\"":                                 "field name",
		"field \"X-Y: a\\x00b\"":                           "field value",
		"framed HTTP/1.0 [\"Transfer-Encoding: chunked\"]": "Transfer-Encoding",
	}
	found := 0
	for _, c := range rawhttp.BrokenHeads() {
		text, ok := wrong[c.Name]
		if !ok {
			continue
		}
		found++
		for _, d := range roads {
			t.Run(d.path+" "+c.Name, func(t *testing.T) {
				t.Parallel()
				r := newRig(t)
				s := rawhttp.StartCase(t, c, func(req *http.Request) rawhttp.Answer {
					a := d.soundAnswer(req)
					a.Fields = append(a.Fields, "X-Long: "+filler)
					return a
				})
				r.add(d.service, "bad", s.Addr)
				req := r.request(http.MethodPost, d.path, "body")
				r.do(req)
				r.logs.waitForLine(t, `"event":"sent"`, idOf(req), `"error":`, text)
				r.logs.mu.Lock()
				defer r.logs.mu.Unlock()
				for line := range strings.Lines(r.logs.text.String()) {
					assert.Assert(t, len(line) < maxLine, "%d bytes", len(line))
				}
			})
		}
	}
	assert.Equal(t, found, len(wrong))
}

// Guards against an endpoint that keeps its standing although its answers are broken.
func TestBrokenAnswerCountsAgainstItsEndpoint(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.BrokenHeads()[:1] {
		d := roads[0]
		r := newRig(t)
		s := rawhttp.StartCase(t, c, d.soundAnswer)
		r.add(d.service, "bad", s.Addr)
		r.do(r.request(http.MethodPost, d.path, "body"))
		sends := r.metrics.Sends.String()
		assert.Assert(t, strings.Contains(sends, `"plain silent"`), sends)
		assert.Assert(t, !strings.Contains(sends, `"plain served"`), sends)
	}
}

// Guards against a connection that carries another request after a broken answer.
func TestConnectionOfABrokenAnswerCarriesNothingMore(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			d := roads[0]
			r := newRig(t)
			s := rawhttp.StartCase(t, c, d.soundAnswer)
			r.add(d.service, "bad", s.Addr)
			for range 2 {
				r.do(r.request(http.MethodPost, d.path, "body"))
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, s.Carried.Load(), int64(1))
		})
	}
}
