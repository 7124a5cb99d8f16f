package clientconn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/intake"
	"github.com/mangostage/mangostage/internal/clientconn"
	"github.com/mangostage/mangostage/internal/testwait"
)

// waitTimeout is the timeout of each wait in these tests.
const waitTimeout = 10 * time.Second

// server is an HTTP server that records which requests reached its handler.
type server struct {
	conns *clientconn.Conns
	addr  string
	// handled holds the IDs of the requests that reached the handler.
	handled sync.Map
}

// start starts a server that answers immediately.
func start(t *testing.T) *server {
	t.Helper()
	s := &server{}
	s.serve(t, func(w http.ResponseWriter, r *http.Request) {
		s.handled.Store(r.Header.Get("Id"), true)
		_, _ = fmt.Fprint(w, "ok")
	})
	return s
}

func (s *server) serve(t *testing.T, handler http.HandlerFunc) {
	t.Helper()
	h := &http.Server{ReadHeaderTimeout: waitTimeout, Handler: handler}
	s.conns = clientconn.Attach(h, intake.Limits{Conns: 1000, Bytes: 1 << 20}, clientconn.Limits{HeadBytes: 1 << 20, HeadTimeout: waitTimeout, IdleTimeout: waitTimeout})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l.Addr().String()
	go func() { _ = h.Serve(s.conns.Listener(l)) }()
	t.Cleanup(func() { _ = h.Close() })
}

// client is one client connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &client{Conn: conn, in: bufio.NewReader(conn)}
}

// ask sends a request and reports whether it was answered.
func (c *client) ask(id string) bool {
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\nId: %s\r\n\r\n", id); err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil
}

// A client sends a request on a kept connection while a stopping server closes
// idle ones. If the server has read the request but not yet marked the connection
// as in use, it closes the connection and still runs the request, and the client
// gets no answer. In every interleaving, a request without an answer must not
// have reached the handler.
func TestRequestThatCrossesTheClose(t *testing.T) {
	const rounds, clients = 60, 32
	const step = 20 * time.Microsecond
	for round := range rounds {
		s := start(t)
		var asking sync.WaitGroup
		begin := make(chan struct{})
		var mu sync.Mutex
		var unanswered []string
		for i := range clients {
			c := s.dial(t)
			assert.Assert(t, c.ask("first"))
			asking.Go(func() {
				<-begin
				<-time.After(time.Duration(i) * step)
				if id := fmt.Sprint(i); !c.ask(id) {
					mu.Lock()
					defer mu.Unlock()
					unanswered = append(unanswered, id)
				}
			})
		}
		close(begin)
		<-time.After(time.Duration(round%clients) * step)
		s.conns.CloseIdle(0)
		asking.Wait()
		// Only after the server has ended is it certain which requests ran.
		defer func() {
			for _, id := range unanswered {
				_, ran := s.handled.Load(id)
				assert.Check(t, !ran, "request %s of round %d ran, and its client got nothing", id, round)
			}
		}()
	}
}

// closed reports whether the server has closed the connection.
func (c *client) closed(t *testing.T) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := c.in.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func TestCloseIdle(t *testing.T) {
	s := start(t)
	used, fresh := s.dial(t), s.dial(t)
	assert.Assert(t, used.ask("1"))
	testwait.For(t, waitTimeout, func() bool {
		s.conns.CloseIdle(0)
		return used.closed(t) && fresh.closed(t)
	})
	assert.Assert(t, s.dial(t).ask("2"), "a new connection is served")
}

// CloseIdle must not close a connection whose request is being served.
func TestCloseIdleKeepsConnectionInUse(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	var s server
	s.serve(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, clientconn.EarlierRequests(r.Context()) == 0)
		close(began)
		<-release
		_, _ = fmt.Fprint(w, "ok")
	})
	c := s.dial(t)
	answered := make(chan bool)
	go func() { answered <- c.ask("1") }()
	<-began
	s.conns.CloseIdle(0)
	close(release)
	assert.Assert(t, <-answered)
}

// A client pipelines two requests in one packet. The server has both in its
// buffer and reads nothing more. If the connection were marked as in use only
// by reads, it would count as idle while the second request runs, and a planned
// stop would close it: the client would get only one of its two answers.
func TestCloseIdleKeepsPipelinedRequest(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	var s server
	s.serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "2" {
			close(began)
			<-release
		}
		_, _ = fmt.Fprint(w, "ok")
	})
	c := s.dial(t)
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nId: 2\r\n\r\n")
	assert.NilError(t, err)
	<-began
	s.conns.CloseIdle(0)
	close(release)
	for range 2 {
		resp, err := http.ReadResponse(c.in, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
}

// Guards against a new connection that a stopping server closes before its client can have
// sent a request.
func TestCloseIdleLeavesNewConnectionsTheirTime(t *testing.T) {
	s := start(t)
	fresh := s.dial(t)
	for range 50 {
		s.conns.CloseIdle(waitTimeout)
		<-time.After(time.Millisecond)
	}
	assert.Assert(t, fresh.ask("1"))
	s.conns.CloseIdle(waitTimeout)
	assert.Assert(t, fresh.ask("2"), "idle for less than the time given")
}
