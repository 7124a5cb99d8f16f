package endpoint_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/endpoint"
)

// cutPoint is the point of a call at which a cutter closes the connection.
type cutPoint int

const (
	cutNever cutPoint = iota
	cutBeforeRead
	cutAfterHeaders
	cutAfterBody
	cutMidReply
)

// cutter is a raw HTTP server that closes the connection of each call at point.
type cutter struct {
	t        *testing.T
	ln       net.Listener
	protocol string
	point    atomic.Int32
	// accepted counts connections; arrived counts the calls whose headers were
	// read, and leaves out requests to cancel.
	accepted, arrived atomic.Int32
}

func startCutter(t *testing.T, protocol string) *cutter {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &cutter{t: t, ln: ln, protocol: protocol}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.accepted.Add(1)
			go c.serve(conn.(*net.TCPConn))
		}
	}()
	return c
}

func (c *cutter) url() string { return "http://" + c.ln.Addr().String() }

func (c *cutter) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	for {
		if cutPoint(c.point.Load()) == cutBeforeRead {
			_ = conn.SetLinger(0)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		call := req.Header.Get(endpoint.HeaderCall)
		if call != "" || req.Header.Get("Idempotency-Key") != "" {
			c.arrived.Add(1)
		}
		point := cutPoint(c.point.Load())
		if point == cutAfterHeaders || point == cutBeforeRead {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || point == cutAfterBody {
			return
		}
		if c.reply(conn, call, point); point == cutMidReply {
			return
		}
	}
}

func (c *cutter) reply(w io.Writer, call string, point cutPoint) {
	body := fmt.Sprintf(`{"call":%q,"output":{"ok":true},"cost_ns":1}`, call)
	if c.protocol == "engine" {
		body = fmt.Sprintf("event: token\ndata: {\"call\":%q,\"seq\":0,\"text\":\"a\"}\n\n"+
			"event: done\ndata: {\"call\":%q,\"tokens\":1,\"output\":{\"ok\":true}}\n\n", call, call)
	}
	reply := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if point == cutMidReply {
		reply = reply[:len(reply)-len(body)/2]
	}
	_, _ = io.WriteString(w, reply)
}

func withDeadline(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var cutPoints = map[string]cutPoint{
	"before read":   cutBeforeRead,
	"after headers": cutAfterHeaders,
	"after body":    cutAfterBody,
	"mid reply":     cutMidReply,
}

// Guards against an order that is sent twice: an earlier call leaves a kept
// connection, the endpoint receives the order and dies before it replies, and the
// HTTP client retries by itself on a new connection. Unrepeatable calls must not
// be sent by a client that retries.
func TestUnrepeatableCallArrivesOnce(t *testing.T) {
	for _, protocol := range []string{"service", "engine"} {
		for name, point := range cutPoints {
			t.Run(protocol+" "+name, func(t *testing.T) {
				c := startCutter(t, protocol)
				p, err := endpoint.New(protocol, c.url())
				assert.NilError(t, err)
				_, err = p.Run(withDeadline(t), endpoint.Call{ID: "first"}, nil)
				assert.NilError(t, err)
				accepted, arrived := c.accepted.Load(), c.arrived.Load()

				c.point.Store(int32(point))
				_, err = p.Run(withDeadline(t), endpoint.Call{ID: "order", Unrepeatable: true}, nil)
				var failed *endpoint.Error
				assert.Assert(t, errors.As(err, &failed), "%v", err)
				assert.Assert(t, !failed.Refused)
				if protocol == "service" {
					// An engine's client cancels lost calls on another connection.
					assert.Equal(t, c.accepted.Load()-accepted, int32(1))
				}
				if point == cutBeforeRead {
					assert.Equal(t, c.arrived.Load(), arrived)
					return
				}
				assert.Assert(t, bool(failed.Written) && failed.Lost, "%v", err)
				assert.Equal(t, c.arrived.Load()-arrived, int32(1))
			})
		}
	}
}

// Shows the fault of the test above with a plain http.Client and the idempotency
// header that callers of such services set: the order arrives twice.
func TestPlainClientSendsTwice(t *testing.T) {
	c := startCutter(t, "service")
	plain := &http.Client{Transport: &http.Transport{}}
	send := func() error {
		req, err := http.NewRequestWithContext(withDeadline(t), http.MethodPost, c.url()+endpoint.PathRun, bytes.NewReader([]byte(`{}`)))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "order")
		resp, err := plain.Do(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return errors.Join(err, resp.Body.Close())
	}
	assert.NilError(t, send())
	arrived := c.arrived.Load()
	c.point.Store(int32(cutAfterBody))
	assert.Assert(t, send() != nil)
	assert.Equal(t, c.arrived.Load()-arrived, int32(2))
}

// A repeatable call may use a kept connection, but Written must be correct: a
// call that is reported as unwritten is run elsewhere, which doubles its cost.
func TestRepeatableCallReportsWhatWasWritten(t *testing.T) {
	c := startCutter(t, "service")
	p, err := endpoint.New("service", c.url())
	assert.NilError(t, err)
	_, err = p.Run(withDeadline(t), endpoint.Call{ID: "first"}, nil)
	assert.NilError(t, err)
	arrived := c.arrived.Load()
	c.point.Store(int32(cutAfterBody))
	_, err = p.Run(withDeadline(t), endpoint.Call{ID: "second"}, nil)
	var failed *endpoint.Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, bool(failed.Written) && failed.Lost)
	assert.Equal(t, c.arrived.Load()-arrived, int32(1))
}

func TestDialFailureProvesNothingWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + ln.Addr().String()
	assert.NilError(t, ln.Close())
	for _, unrepeatable := range []bool{true, false} {
		p, err := endpoint.New("service", url)
		assert.NilError(t, err)
		_, err = p.Run(withDeadline(t), endpoint.Call{ID: "c", Unrepeatable: unrepeatable}, nil)
		var failed *endpoint.Error
		assert.Assert(t, errors.As(err, &failed))
		assert.Assert(t, !bool(failed.Written) && !failed.Lost && !failed.Refused)
	}
}

// Guards against an order that is written after its caller was told that it did
// not run: the agent is paused between its last check and the write, and writes
// when it resumes. The guard, which runs before the first byte, must prevent it.
func TestGuardStopsTheFirstByte(t *testing.T) {
	for _, unrepeatable := range []bool{true, false} {
		c := startCutter(t, "service")
		p, err := endpoint.New("service", c.url())
		assert.NilError(t, err)
		errPaused := errors.New("the process was stopped")
		ctx := endpoint.WithGuard(withDeadline(t), func() error { return errPaused })
		_, err = p.Run(ctx, endpoint.Call{ID: "c", Unrepeatable: unrepeatable}, nil)
		var failed *endpoint.Error
		assert.Assert(t, errors.As(err, &failed))
		assert.ErrorIs(t, err, errPaused)
		assert.Assert(t, !bool(failed.Written))
		assert.Equal(t, c.arrived.Load(), int32(0))
	}
}
