package endpoint_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/internal/rawhttp"
)

// soundReply returns the whole reply of a protocol to the call "order".
func soundReply(protocol string) rawhttp.Answer {
	if protocol == "engine" {
		return rawhttp.Answer{Body: "event: token\ndata: {\"call\":\"order\",\"seq\":0,\"text\":\"a\"}\n\n" +
			"event: done\ndata: {\"call\":\"order\",\"tokens\":1,\"output\":{\"ok\":true}}\n\n"}
	}
	return rawhttp.Answer{Body: `{"call":"order","output":{"ok":true},"cost_ns":1}`}
}

// startReplying starts an endpoint that replies to calls in the way of the case, and to requests to
// cancel soundly.
func startReplying(t *testing.T, c rawhttp.Case, reply rawhttp.Answer) *rawhttp.Server {
	t.Helper()
	return rawhttp.Start(t, func(conn *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == endpoint.PathCancel {
			rawhttp.Sound()[0].Write(conn, rawhttp.Answer{})
			return
		}
		c.Write(conn, reply)
	})
}

// Guards against a broken reply that counts as a result, a refusal or a failure of its endpoint, or
// for which the call is sent again.
func TestBrokenRepliesAreLost(t *testing.T) {
	t.Parallel()
	refused := rawhttp.Answer{Body: `{"call":"order","refused":true,"error":"full"}`}
	for _, c := range rawhttp.Broken() {
		for _, protocol := range []string{"service", "engine"} {
			for _, refuses := range []bool{false, true} {
				for _, once := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s refuses=%v once=%v %s", protocol, refuses, once, c.Name), func(t *testing.T) {
						t.Parallel()
						c, reply := c, soundReply(protocol)
						if refuses {
							c, reply = c.WithStatus(http.StatusServiceUnavailable), refused
						}
						checkReplyIsLost(t, protocol, startReplying(t, c, reply), once)
					})
				}
			}
		}
	}
}

// checkReplyIsLost checks that a call ends as one that may have run.
func checkReplyIsLost(t *testing.T, protocol string, s *rawhttp.Server, once bool) {
	t.Helper()
	p, err := endpoint.New(protocol, "http://"+s.Addr)
	assert.NilError(t, err)
	result, err := p.Run(withDeadline(t), endpoint.Call{ID: "order", Unrepeatable: once}, nil)
	var failed *endpoint.Error
	assert.Assert(t, errors.As(err, &failed), "%+v", result)
	assert.Assert(t, bool(failed.Written) && failed.Lost && !failed.Refused, "%+v %v", failed, err)
}

// Guards against an order that counts as obeyed because of a broken reply.
func TestBrokenRepliesToOrdersAreErrors(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			p, err := endpoint.New("engine", "http://"+startReplying(t, c, rawhttp.Answer{Body: "{}"}).Addr)
			assert.NilError(t, err)
			engine, ok := p.(endpoint.Orderer)
			assert.Assert(t, ok)
			assert.Assert(t, engine.Order(withDeadline(t), endpoint.Order{}) != nil)
		})
	}
}

// Guards against a state of an endpoint that is believed although its answer is broken.
func TestBrokenHealthAnswersAreNotBelieved(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := rawhttp.StartCase(t, c, func(*http.Request) rawhttp.Answer { return rawhttp.Answer{Body: `{"up":true,"in_flight":1}`} })
			p, err := endpoint.New("service", "http://"+s.Addr)
			assert.NilError(t, err)
			health, err := p.Health(withDeadline(t))
			assert.Assert(t, err != nil, "%+v", health)
		})
	}
}

// Guards against sound replies that count as lost.
func TestSoundRepliesAreResults(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Sound() {
		if strings.Contains(c.Name, "203") || strings.Contains(c.Name, "299") {
			continue
		}
		for _, protocol := range []string{"service", "engine"} {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s once=%v %s", protocol, once, c.Name), func(t *testing.T) {
					t.Parallel()
					s := startReplying(t, c, soundReply(protocol))
					p, err := endpoint.New(protocol, "http://"+s.Addr)
					assert.NilError(t, err)
					for range 2 {
						result, err := p.Run(withDeadline(t), endpoint.Call{ID: "order", Unrepeatable: once}, nil)
						assert.NilError(t, err)
						assert.Equal(t, string(result.Output), `{"ok":true}`)
					}
				})
			}
		}
	}
}

// Guards against a reply whose content is complete and that is lost because its end does not come before
// the deadline of the call.
func TestCompleteReplyAtItsDeadlineIsAResult(t *testing.T) {
	t.Parallel()
	s := rawhttp.Start(t, func(conn *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, strings.TrimSuffix(soundReply("engine").Chunked(""), "0\r\n\r\n"))
		_, _ = io.Copy(io.Discard, conn)
	})
	p, err := endpoint.New("engine", "http://"+s.Addr)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	result, err := p.Run(ctx, endpoint.Call{ID: "order", Unrepeatable: true}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(result.Output), `{"ok":true}`)
}

// Guards against a reply that came whole and is lost because its endpoint reset the connection while
// the call was being written.
func TestWholeReplyBeforeAResetIsAResult(t *testing.T) {
	t.Parallel()
	const rounds = 4
	input := []byte(`"` + strings.Repeat("u", 8<<20) + `"`)
	for _, protocol := range []string{"service", "engine"} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s once=%v", protocol, pause, once), func(t *testing.T) {
					s := rawhttp.Start(t, func(conn *net.TCPConn, _ *http.Request) {
						rawhttp.Sound()[0].Write(conn, soundReply(protocol))
						time.Sleep(pause)
						_ = conn.SetLinger(0)
						_ = conn.Close()
					})
					p, err := endpoint.New(protocol, "http://"+s.Addr)
					assert.NilError(t, err)
					for range rounds {
						result, err := p.Run(withDeadline(t), endpoint.Call{ID: "order", Unrepeatable: once, Input: input}, nil)
						assert.NilError(t, err)
						assert.Equal(t, string(result.Output), `{"ok":true}`)
					}
				})
			}
		}
	}
}
