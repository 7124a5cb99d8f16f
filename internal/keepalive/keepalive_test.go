package keepalive_test

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

	"github.com/mangostage/mangostage/internal/keepalive"
	"github.com/mangostage/mangostage/internal/testwait"
)

// patience bounds each wait of these tests.
const patience = 10 * time.Second

// server is an HTTP server that notes which requests its handler got.
type server struct {
	conns   *keepalive.Conns
	addr    string
	handled sync.Map
}

// start starts a server that answers at once.
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
	h := &http.Server{ReadHeaderTimeout: patience, Handler: handler}
	s.conns = keepalive.Attach(h)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l.Addr().String()
	go func() { _ = h.Serve(s.conns.Listener(l)) }()
	t.Cleanup(func() { _ = h.Close() })
}

// client is one connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	return &client{Conn: conn, in: bufio.NewReader(conn)}
}

// ask sends a request and tells whether it was answered.
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

// A client uses an old connection at the moment at which a stopping server
// closes idle ones. The server has read the request, but has not noted yet that
// the connection is in use: it closes it and runs the request all the same, and
// the client gets nothing. Whatever the order, a request that is not answered
// must not have reached the handler.
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
		s.conns.CloseIdle()
		asking.Wait()
		// Only when the server has ended is it sure what has run.
		defer func() {
			for _, id := range unanswered {
				_, ran := s.handled.Load(id)
				assert.Check(t, !ran, "request %s of round %d ran, and its client got nothing", id, round)
			}
		}()
	}
}

// closed tells whether the server has closed the connection.
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
	testwait.For(t, patience, func() bool {
		s.conns.CloseIdle()
		return used.closed(t) && fresh.closed(t)
	})
	assert.Assert(t, s.dial(t).ask("2"), "a new connection is served")
}

// A request is being served while idle connections are closed.
func TestCloseIdleLeavesWhatIsInUse(t *testing.T) {
	began, goOn := make(chan struct{}), make(chan struct{})
	var s server
	s.serve(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, keepalive.Earlier(r.Context()) == 0)
		close(began)
		<-goOn
		_, _ = fmt.Fprint(w, "ok")
	})
	c := s.dial(t)
	answered := make(chan bool)
	go func() { answered <- c.ask("1") }()
	<-began
	s.conns.CloseIdle()
	close(goOn)
	assert.Assert(t, <-answered)
}

// A client sends its second request right behind the first, in one packet. The
// server has both in its buffer and reads nothing more, so that the connection
// counts as idle while the second runs, and a planned stop closes it: the client
// gets half of its answers.
func TestCloseIdleLeavesWhatWasReadAhead(t *testing.T) {
	began, goOn := make(chan struct{}), make(chan struct{})
	var s server
	s.serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "2" {
			close(began)
			<-goOn
		}
		_, _ = fmt.Fprint(w, "ok")
	})
	c := s.dial(t)
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nId: 2\r\n\r\n")
	assert.NilError(t, err)
	<-began
	s.conns.CloseIdle()
	close(goOn)
	for range 2 {
		resp, err := http.ReadResponse(c.in, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
}
